// Calls that are open when their entry node gets SIGTERM. Each must end with a complete response from the node.
#include "fleet.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <csignal>

using namespace jasminemast;
using namespace jasminemast::fleet;

namespace
{

constexpr std::size_t EntryHost = 0;
constexpr std::size_t TargetHost = 1;
constexpr std::size_t OtherEntryHost = 2;
/// Far behind the exit of the entry node, however slow the machine is.
constexpr Milliseconds LateDeadline {60'000};
constexpr unsigned StatusOk = 200;
constexpr unsigned StatusBadGateway = 502;
constexpr unsigned StatusUnavailable = 503;
constexpr unsigned StatusGatewayTimeout = 504;
constexpr const char *ShortGraceSettings = R"({
    "drain": {"serveMs": 0, "lingerMs": 100, "graceMs": 1500, "killMarginMs": 40000},
    "calls": {"defaultDeadlineMs": 60000}
})";
constexpr const char *LongGraceSettings = R"({
    "drain": {"serveMs": 0, "lingerMs": 100, "graceMs": 4000, "killMarginMs": 40000},
    "calls": {"defaultDeadlineMs": 60000}
})";
constexpr const char *ShortExitSettings = R"({
    "drain": {"serveMs": 0, "lingerMs": 100, "graceMs": 1000, "killMarginMs": 1000},
    "calls": {"defaultDeadlineMs": 60000}
})";
constexpr const char *LateDeadlineSettings = R"({"calls": {"defaultDeadlineMs": 60000}})";
constexpr const char *NoGraceSettings = R"({
    "drain": {"serveMs": 0, "lingerMs": 100},
    "calls": {"defaultDeadlineMs": 60000}
})";
constexpr const char *AmpleGraceSettings = R"({
    "drain": {"serveMs": 0, "lingerMs": 100, "graceMs": 30000, "killMarginMs": 40000},
    "calls": {"defaultDeadlineMs": 60000}
})";
constexpr const char *HastySettings = R"({
    "drain": {"serveMs": 0, "lingerMs": 0, "graceMs": 1, "killMarginMs": 0},
    "calls": {"defaultDeadlineMs": 1000}
})";
constexpr const char *SlowUplinkSettings = R"({"links": {"megabitsPerSecond": 8}})";
const std::vector<std::string> NoViolation;

/// A call at the node of \p entryHost to the target of TargetHost.
CallPlan callTo(std::size_t entryHost, std::size_t paddingBytes)
{
    CallPlan plan;
    plan.entryHost = entryHost;
    plan.targetHost = TargetHost;
    plan.repeatable = false;
    plan.paddingBytes = paddingBytes;
    plan.deadline = LateDeadline;
    return plan;
}

/// Starts calls until the response to one waits at the target's node while \p overtaking later calls end. Returns its
/// key.
std::string startWaitingDownload(Fleet &fleet, std::size_t paddingBytes, std::size_t overtaking)
{
    while (true) {
        std::string key = fleet.startCall(callTo(EntryHost, paddingBytes));
        fleet.awaitState([&] { return fleet.runsOf(key) == 1; });
        const std::size_t before = fleet.records().size();
        fleet.awaitState([&] { return fleet.records().size() >= before + overtaking; });
        if (fleet.findRecord(key) == nullptr) {
            return key;
        }
    }
}

/// Runs the loop until \p text is in the log of the node, or the node has stopped; true if the text is there.
bool awaitLogged(Fleet &fleet, std::size_t host, const std::string &text, std::size_t times = 1)
{
    fleet.awaitState(
        [&] { return fleet.countLogged(host, text) >= times || fleet.countLogged(host, "NodeStopped") > 0; });
    return fleet.countLogged(host, text) >= times;
}

/// Starts calls on kept connections that the target runs, or that wait for it, and returns their keys.
std::vector<std::string> startWithheldCalls(Fleet &fleet, std::size_t count)
{
    fleet.withholdResponses(TargetHost);
    std::vector<std::string> keys;
    while (keys.size() < count) {
        keys.push_back(fleet.callOnKeptConnection(callTo(EntryHost, 20'000)).value());
        fleet.awaitState([&] { return fleet.acceptedAt(TargetHost) == keys.size(); });
    }
    return keys;
}

/// Has the draining node of \p host read changed settings, and sends it further signals.
void disturbDrain(Fleet &fleet, std::size_t host)
{
    fleet.changeSettings(host, HastySettings);
    EXPECT_TRUE(awaitLogged(fleet, host, "SettingsReloaded"));
    fleet.changeSettings(host, ShortGraceSettings);
    fleet.signalNode(host, SIGHUP);
    EXPECT_TRUE(awaitLogged(fleet, host, "SettingsReloaded", 2));
    fleet.replaceSettingsFile(host, "{");
    fleet.signalNode(host, SIGHUP);
    EXPECT_TRUE(awaitLogged(fleet, host, "SettingsRefused"));
    fleet.signalNode(host, SIGTERM);
    fleet.signalNode(host, SIGINT);
}

/// Runs the loop until \p isReached returns true, and meanwhile uses the connections that the entry node keeps open.
void useConnectionsUntil(Fleet &fleet, const std::function<bool()> &isReached)
{
    CallPlan anywhere = callTo(EntryHost, 20'000);
    anywhere.targetHost.reset();
    fleet.awaitState([&] {
        fleet.callOnKeptConnection(callTo(EntryHost, 20'000));
        fleet.callOnKeptConnection(anywhere);
        return isReached();
    });
}

/// Sends SIGTERM to the entry node and waits for its exit and for the end of the call \p key.
void drainEntryNode(Fleet &fleet, const std::string &key)
{
    fleet.signalNode(EntryHost, SIGTERM);
    EXPECT_EQ(fleet.waitForNode(EntryHost), 0);
    fleet.awaitState([&] { return fleet.findRecord(key) != nullptr; });
}

} // namespace

// A caller whose connection is closed can't tell whether its call ran, and has nothing to act on.
TEST(DrainFaultTest, CallsThatOutlastTheGraceAreAnsweredBeforeTheExit)
{
    Fleet fleet(2, FleetOptions {.targetSlots = 1, .settings = {{EntryHost, ShortGraceSettings}}});
    ASSERT_TRUE(fleet.start());
    fleet.withholdResponses(TargetHost);
    const std::string key = fleet.startCall(callTo(EntryHost, 0));
    fleet.awaitState([&] { return fleet.runsOf(key) == 1; });

    drainEntryNode(fleet, key);

    const CallRecord &record = *fleet.findRecord(key);
    EXPECT_THAT(record.status, testing::AnyOf(StatusBadGateway, StatusGatewayTimeout));
    EXPECT_EQ(record.outcome, "unknown");
    EXPECT_EQ(fleet.runsOf(key), 1U);
    EXPECT_EQ(fleet.violations(), NoViolation);
}

// A caller that isn't told that its call never ran can't safely repeat it.
TEST(DrainFaultTest, QueuedCallsThatOutlastTheGraceAreReportedAsNotRun)
{
    Fleet fleet(3,
                FleetOptions {.targetSlots = 1,
                              .settings = {{EntryHost, ShortGraceSettings}, {OtherEntryHost, LateDeadlineSettings}}});
    ASSERT_TRUE(fleet.start());
    fleet.withholdResponses(TargetHost);
    // From another node, so that the drain doesn't free the slot.
    const std::string occupant = fleet.startCall(callTo(OtherEntryHost, 0));
    fleet.awaitState([&] { return fleet.runsOf(occupant) == 1; });
    const std::string key = fleet.startCall(callTo(EntryHost, 0));
    fleet.awaitState([&] { return fleet.acceptedAt(TargetHost) == 2; });

    drainEntryNode(fleet, key);

    const CallRecord &record = *fleet.findRecord(key);
    EXPECT_EQ(record.status, StatusUnavailable);
    EXPECT_EQ(record.outcome, "not-run");
    EXPECT_EQ(fleet.runsOf(key), 0U);
    EXPECT_EQ(fleet.findRecord(occupant), nullptr);
    EXPECT_EQ(fleet.violations(), NoViolation);
}

// Short responses to others must not use up the grace of a draining node while a response to it waits at its target.
TEST(DrainFaultTest, ShortResponsesToOthersDoNotStarveTheResponseToADrainingNode)
{
    constexpr std::size_t ShortBytes = 20'000;
    constexpr std::size_t LongBytes = 350'000;
    constexpr std::size_t ConcurrentCalls = 64; // their responses fill the slow uplink for longer than a second
    Fleet fleet(3,
                FleetOptions {.targetSlots = 2 * ConcurrentCalls,
                              .settings = {{EntryHost, LongGraceSettings},
                                           {TargetHost, SlowUplinkSettings},
                                           {OtherEntryHost, LateDeadlineSettings}}});
    ASSERT_TRUE(fleet.start());
    fleet.keepCalling(callTo(OtherEntryHost, ShortBytes), ConcurrentCalls);
    fleet.awaitState([&] { return fleet.records().size() >= ConcurrentCalls; });
    const std::string key = startWaitingDownload(fleet, LongBytes, ConcurrentCalls);

    drainEntryNode(fleet, key);
    fleet.finishCalls();

    const CallRecord &record = *fleet.findRecord(key);
    EXPECT_EQ(record.status, StatusOk);
    EXPECT_EQ(record.body.size(), responseFor(key, LongBytes).size());
    EXPECT_EQ(fleet.violations(), NoViolation);
}

// The platform counts from the first signal when it ends the process.
TEST(DrainFaultTest, RepeatedSignalDoesNotRestartTheDrain)
{
    Fleet fleet(2, FleetOptions {.targetSlots = 1, .settings = {{EntryHost, ShortGraceSettings}}});
    ASSERT_TRUE(fleet.start());
    fleet.withholdResponses(TargetHost);
    const std::string key = fleet.startCall(callTo(EntryHost, 0));
    fleet.awaitState([&] { return fleet.runsOf(key) == 1; });
    fleet.signalNode(EntryHost, SIGTERM);
    fleet.awaitState([&] { return fleet.countLogged(EntryHost, "NodeDraining") == 1; });

    drainEntryNode(fleet, key);

    EXPECT_EQ(fleet.countLogged(EntryHost, "NodeDraining"), 1U);
    EXPECT_EQ(fleet.violations(), NoViolation);
}

// The node used to exit as soon as it went on, since its time was over.
TEST(DrainFaultTest, NodeThatIsPausedBeyondItsExitTimeAnswersItsCallsFirst)
{
    constexpr Milliseconds Pause {3'000};
    Fleet fleet(2, FleetOptions {.targetSlots = 1, .settings = {{EntryHost, ShortExitSettings}}});
    ASSERT_TRUE(fleet.start());
    fleet.withholdResponses(TargetHost);
    const std::string key = fleet.startCall(callTo(EntryHost, 0));
    fleet.awaitState([&] { return fleet.runsOf(key) == 1; });
    fleet.signalNode(EntryHost, SIGTERM);
    fleet.awaitState([&] { return fleet.countLogged(EntryHost, "NodeDraining") == 1; });
    fleet.signalNode(EntryHost, SIGSTOP);
    fleet.runFor(Pause);
    fleet.signalNode(EntryHost, SIGCONT);
    EXPECT_EQ(fleet.waitForNode(EntryHost), 0);
    fleet.awaitState([&] { return fleet.findRecord(key) != nullptr; });

    EXPECT_EQ(fleet.findRecord(key)->status, StatusGatewayTimeout);
    EXPECT_EQ(fleet.violations(), NoViolation);
}

// A caller that isn't told that its call never ran can't safely repeat it.
TEST(DrainFaultTest, CallsThatAreQueuedAtADrainingTargetAreReportedAsNotRun)
{
    Fleet fleet(2,
                FleetOptions {.targetSlots = 1,
                              .settings = {{EntryHost, LateDeadlineSettings}, {TargetHost, ShortExitSettings}}});
    ASSERT_TRUE(fleet.start());
    fleet.withholdResponses(TargetHost);
    const std::string occupant = fleet.startCall(callTo(EntryHost, 0));
    fleet.awaitState([&] { return fleet.runsOf(occupant) == 1; });
    const std::string key = fleet.startCall(callTo(EntryHost, 0));
    fleet.awaitState([&] { return fleet.acceptedAt(TargetHost) == 2; });

    fleet.signalNode(TargetHost, SIGTERM);
    EXPECT_EQ(fleet.waitForNode(TargetHost), 0);
    fleet.awaitState([&] { return fleet.findRecord(key) != nullptr && fleet.findRecord(occupant) != nullptr; });

    EXPECT_EQ(fleet.findRecord(key)->status, StatusUnavailable);
    EXPECT_EQ(fleet.findRecord(key)->outcome, "not-run");
    EXPECT_EQ(fleet.findRecord(occupant)->outcome, "unknown");
    EXPECT_EQ(fleet.runsOf(key), 0U);
    EXPECT_EQ(fleet.violations(), NoViolation);
}

// A caller whose request is read has its call run elsewhere, or lost, if the connection closes without a response.
TEST(DrainFaultTest, RequestsOnKeptConnectionsAreAnsweredOrNotReadDuringTheExit)
{
    constexpr std::size_t Connections = 8;
    for (const char *settings : {NoGraceSettings, AmpleGraceSettings}) {
        SCOPED_TRACE(settings);
        Fleet fleet(2, FleetOptions {.settings = {{EntryHost, settings}}});
        ASSERT_TRUE(fleet.start());
        fleet.keepConnections(callTo(EntryHost, 0), Connections);
        fleet.watchExit(EntryHost);
        // The exit takes as long as the other node keeps its link open.
        fleet.signalNode(TargetHost, SIGSTOP);
        fleet.signalNode(EntryHost, SIGTERM);
        fleet.awaitState([&] { return fleet.isExiting(EntryHost); });

        for (std::size_t i = 0; i < Connections; ++i) {
            fleet.callOnKeptConnection(callTo(EntryHost, 0));
        }

        EXPECT_EQ(fleet.waitForNode(EntryHost), 0);
        fleet.signalNode(TargetHost, SIGCONT);
        fleet.recordCutCalls(EntryHost);
        EXPECT_EQ(fleet.violations(), NoViolation);
    }
}

// Neither what operators change nor a repeated signal may shorten the time that the calls of a draining node have.
TEST(DrainFaultTest, ChangesAndSignalsDuringADrainCutNoCall)
{
    constexpr std::size_t Connections = 8;
    constexpr std::size_t Slots = 2; // as many calls wait for one
    const std::string changes = R"({
        "routes": {"h1": null},
        "endpoints": {"h1": {"host": "h1", "port": 7003, "slots": 1, "draining": true}}
    })";
    for (const std::size_t drainingHost : {EntryHost, TargetHost}) {
        for (const char *settings : {NoGraceSettings, AmpleGraceSettings}) {
            SCOPED_TRACE(std::to_string(drainingHost) + settings);
            Fleet fleet(
                2, FleetOptions {.targetSlots = Slots, .settings = {{EntryHost, settings}, {TargetHost, settings}}});
            ASSERT_TRUE(fleet.start());
            fleet.keepConnections(callTo(EntryHost, 0), Connections);
            const std::vector<std::string> keys = startWithheldCalls(fleet, 2 * Slots);
            fleet.signalNode(drainingHost, SIGTERM);
            EXPECT_TRUE(awaitLogged(fleet, drainingHost, "NodeDraining"));

            disturbDrain(fleet, drainingHost);
            const std::string applied = "number=" + std::to_string(fleet.publishTicket(changes)) + " ";
            EXPECT_TRUE(awaitLogged(fleet, EntryHost, applied));
            EXPECT_TRUE(awaitLogged(fleet, TargetHost, applied));
            fleet.releaseResponses(TargetHost);

            EXPECT_EQ(fleet.waitForNode(drainingHost), 0);
            fleet.recordCutCalls(EntryHost);
            for (const std::string &key : keys) {
                EXPECT_EQ(fleet.findRecord(key)->status, StatusOk) << key;
            }
            EXPECT_EQ(fleet.countLogged(drainingHost, "NodeDraining"), 1U);
            EXPECT_EQ(fleet.violations(), NoViolation);
        }
    }
}

// Calls of a node that drains must end well even while the node of their target drains and exits.
TEST(DrainFaultTest, OverlappingDrainsOfEntryAndTargetCutNoCall)
{
    constexpr std::size_t Connections = 30;
    for (const bool isTargetFirst : {false, true}) {
        for (const char *settings : {NoGraceSettings, AmpleGraceSettings}) {
            for (const bool isFirstExiting : {false, true}) {
                SCOPED_TRACE(std::to_string(isTargetFirst) + std::to_string(isFirstExiting) + settings);
                const std::size_t first = isTargetFirst ? TargetHost : EntryHost;
                Fleet fleet(3, FleetOptions {.settings = {{EntryHost, settings}, {TargetHost, settings}}});
                ASSERT_TRUE(fleet.start());
                fleet.keepConnections(callTo(EntryHost, 0), Connections);
                fleet.watchExit(first);
                fleet.signalNode(first, SIGTERM);
                useConnectionsUntil(fleet, [&] {
                    return isFirstExiting ? fleet.isExiting(first) : fleet.countLogged(first, "NodeDraining") == 1;
                });
                fleet.signalNode(isTargetFirst ? EntryHost : TargetHost, SIGTERM);
                useConnectionsUntil(fleet, [&] {
                    return fleet.countLogged(EntryHost, "NodeStopped") == 1
                        && fleet.countLogged(TargetHost, "NodeStopped") == 1;
                });

                EXPECT_EQ(fleet.waitForNode(EntryHost), 0);
                EXPECT_EQ(fleet.waitForNode(TargetHost), 0);
                fleet.recordCutCalls(EntryHost);
                EXPECT_GT(fleet.okResponses(), Connections);
                EXPECT_EQ(fleet.violations(), NoViolation);
            }
        }
    }
}
