// How soon nodes that are in touch with the registry act on its changes, whatever happened to them or to others before.
#include "registryfleet.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace jasminemast;
using namespace std::chrono_literals;

namespace
{

/// From then on after a disturbance a node is bound again.
constexpr Milliseconds InTouchWindow {3'000};
/// A change is to be acted on within 2.5 s; calls that were sent just before need some of that.
constexpr Milliseconds MaxDelay {2'450};

TimePoint at(Milliseconds time)
{
    return RegistryFleet::Start + time;
}

/// Removals acknowledged by the registry, checked against what the nodes use.
class RemovalAudit
{
public:
    void remove(RegistryFleet &fleet, std::size_t target)
    {
        if (fleet.isRegistered(target)) {
            fleet.removeTarget(target);
            m_removedAt[target] = fleet.now();
        }
    }

    /// A node in touch that uses a target too long after its removal.
    [[nodiscard]] std::optional<std::size_t> findViolation(const RegistryFleet &fleet) const
    {
        for (const auto &[target, removedAt] : m_removedAt) {
            if (fleet.now() <= removedAt + MaxDelay || !fleet.isStable(removedAt, InTouchWindow)) {
                continue;
            }
            for (std::size_t node = 0; node < fleet.size(); ++node) {
                if (!fleet.isLost(node) && fleet.isInTouch(node, InTouchWindow) && fleet.usesTarget(node, target)) {
                    return node;
                }
            }
        }
        return std::nullopt;
    }

private:
    std::map<std::size_t, TimePoint> m_removedAt;
};

/// Configurations acknowledged by the registry, checked against what the nodes have.
class ConfigurationAudit
{
public:
    void publish(RegistryFleet &fleet)
    {
        fleet.publish();
        m_publishedAt[fleet.publishedNumber()] = fleet.now();
    }

    /// A node in touch that goes on with an older configuration for too long.
    [[nodiscard]] std::optional<std::size_t> findViolation(const RegistryFleet &fleet) const
    {
        for (const auto &[number, publishedAt] : m_publishedAt) {
            if (fleet.now() <= publishedAt + MaxDelay) {
                continue;
            }
            for (std::size_t node = 0; node < fleet.size(); ++node) {
                if (!fleet.isLost(node) && fleet.isInTouch(node, InTouchWindow) && fleet.numberAt(node) < number) {
                    return node;
                }
            }
        }
        return std::nullopt;
    }

private:
    std::map<TicketNumber, TimePoint> m_publishedAt;
};

/// The node that reads the registry for the others.
std::size_t readerOf(const RegistryFleet &fleet)
{
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        if (fleet.reads(i).upstreams().candidates().empty()) {
            return i;
        }
    }
    return 0;
}

Milliseconds anyTime(int fromMs, int untilMs)
{
    return Milliseconds(*rc::gen::inRange(fromMs / 10, untilMs / 10) * 10);
}

Period anyPeriod(int maxMs)
{
    const TimePoint from = at(anyTime(4'000, 12'000));
    return {from, from + anyTime(50, maxMs), *rc::gen::element(FailureMode::Silent, FailureMode::Reset),
            *rc::gen::element(false, true)};
}

std::string describe(const Period &period)
{
    const auto offset = [](TimePoint time) {
        return std::to_string(std::chrono::duration_cast<Milliseconds>(time - RegistryFleet::Start).count());
    };
    return offset(period.from) + " to " + offset(period.until)
        + (period.mode == FailureMode::Silent ? " silent" : " reset")
        + (period.isRegistryOnly ? " from the registry" : "");
}

/// A fleet with disturbances in its first 18 s, and changes that the registry acknowledges meanwhile.
struct Scenario
{
    Scenario()
        : fleet(*rc::gen::inRange<std::size_t>(2, 6), *rc::gen::inRange<std::size_t>(1, 3))
    {
        const auto anyNode = [this] {
            return *rc::gen::inRange<std::size_t>(0, fleet.size());
        };
        for (int i = *rc::gen::inRange(0, 4); i > 0; --i) {
            const std::size_t node = anyNode();
            const Period cut = anyPeriod(6'000);
            RC_LOG() << "node " << node << " is cut off from " << describe(cut) << "\n";
            fleet.cutOff(node, cut);
        }
        for (int i = *rc::gen::inRange(0, 2); i > 0; --i) {
            const Period outage = anyPeriod(6'000);
            RC_LOG() << "outage from " << describe(outage) << "\n";
            fleet.loseRegistry(outage);
        }
        for (int i = *rc::gen::inRange(0, 2); i > 0; --i) {
            const std::size_t node = anyNode();
            const Milliseconds time = anyTime(4'000, 12'000);
            RC_LOG() << "host " << node << " is lost at " << time.count() << "\n";
            events.emplace(time, [this, node] { fleet.loseHost(node); });
            // Its record expires.
            events.emplace(time + 4'500ms, [this, node] { fleet.removeTarget(node); });
        }
        if (*rc::gen::inRange(0, 4) == 0) {
            const Milliseconds time = anyTime(4'000, 14'000);
            RC_LOG() << "the history is discarded at " << time.count() << "\n";
            events.emplace(time, [this] { fleet.compact(); });
        }
    }

    /// Runs to the end; fails if \p audit finds a violation after any step.
    template<class Audit>
    void run(const Audit &audit)
    {
        while (fleet.now() < at(21s)) {
            fleet.step();
            while (!events.empty() && at(events.begin()->first) <= fleet.now()) {
                events.begin()->second();
                events.erase(events.begin());
            }
            if (const auto node = audit.findViolation(fleet)) {
                RC_LOG() << "node " << *node << " at " << (fleet.now() - RegistryFleet::Start) / 1ms << "\n";
                RC_FAIL("a node acts too late");
            }
        }
    }

    RegistryFleet fleet;
    std::multimap<Milliseconds, std::function<void()>> events;
};

} // namespace

// The reader was cut off for a moment and held removals back, while it told the others that its records are fresh: they
// used a removed target for over 2.5 s (review/2).
TEST(ReadScheduleTest, ReaderThatWasCutOffForAMomentPassesRemovalsOnAtOnce)
{
    RegistryFleet fleet(4, 1);
    fleet.runUntil(at(4s));
    const std::size_t reader = readerOf(fleet);
    const std::size_t leaving = (reader + 1) % fleet.size();
    fleet.cutOff(reader, {at(6s), at(6'600ms), FailureMode::Reset, true});
    fleet.runUntil(at(6'100ms));
    RemovalAudit audit;
    audit.remove(fleet, leaving);
    while (fleet.now() < at(12s)) {
        fleet.step();
        ASSERT_FALSE(audit.findViolation(fleet)) << (fleet.now() - at(6'100ms)) / 1ms << " ms after the removal";
    }
}

// A node was cut off from the registry while the node of its zone that it reads at was lost for good. It left the
// registry to its peers and called it only 3.2 s after the cut, so that it used an old configuration while in touch
// (review/4).
TEST(ReadScheduleTest, NodeWhosePeersAreLostReadsSoonAfterItsCut)
{
    for (Milliseconds cutEnd = 15s; cutEnd < 19s; cutEnd += 50ms) {
        RegistryFleet fleet(4, 2);
        fleet.runUntil(at(5s));
        // Nodes 0 and 2 are in one zone.
        const std::size_t cut = fleet.reads(0).upstreams().rank() > 0 ? 0 : 2;
        const std::size_t upstream = 2 - cut;
        fleet.cutOff(cut, {at(5s), at(cutEnd), FailureMode::Silent, true});
        fleet.loseHost(upstream);
        fleet.runUntil(at(9'500ms));
        fleet.removeTarget(upstream);
        fleet.runUntil(at(10s));
        ConfigurationAudit audit;
        audit.publish(fleet);
        while (fleet.now() < at(cutEnd + 5s)) {
            fleet.step();
            ASSERT_FALSE(audit.findViolation(fleet)) << "the cut ends at " << cutEnd.count();
        }
    }
}

// Guards against a node that never becomes ready since the registry only has a configuration that is refused.
TEST(ReadScheduleTest, NodeThatStartsBesideARefusedConfigurationGetsThatOfItsPeers)
{
    for (const TicketNumber number : {TicketNumber(9), TicketNumber(0)}) {
        RegistryFleet fleet(3, 1);
        fleet.runUntil(at(4'000ms));
        const std::size_t reader = readerOf(fleet);
        InvalidRecord refused;
        refused.configuration = number;
        fleet.publish(refused);
        fleet.runUntil(at(6'000ms));
        EXPECT_TRUE(fleet.reads(reader).follower().refusedConfiguration().has_value());
        for (std::size_t node = 0; node < fleet.size(); ++node) {
            fleet.restart(node);
            fleet.runUntil(fleet.now() + 3'000ms);
            EXPECT_EQ(fleet.numberAt(node), TicketNumber(1)) << "node " << node << " of which " << reader << " reads";
        }
        const std::size_t calls = fleet.registryCalls();
        fleet.runUntil(fleet.now() + 10'000ms);
        EXPECT_LT(fleet.registryCalls() - calls, 20U) << "the reader watches as before";
        fleet.publish();
        EXPECT_EQ(fleet.publishedNumber(), TicketNumber(2));
        fleet.runUntil(fleet.now() + 2'500ms);
        for (std::size_t node = 0; node < fleet.size(); ++node) {
            EXPECT_EQ(fleet.numberAt(node), TicketNumber(2));
            EXPECT_FALSE(fleet.reads(node).follower().refusedConfiguration().has_value());
        }
    }
}

// A fleet that starts beside a refused configuration has none, but reads on, and takes the next one at once.
TEST(ReadScheduleTest, FleetThatStartsBesideARefusedConfigurationTakesTheNextOne)
{
    RegistryFleet fleet(3, 1);
    InvalidRecord refused;
    refused.configuration = TicketNumber(9);
    fleet.publish(refused);
    fleet.runUntil(at(5'000ms));
    EXPECT_EQ(fleet.numberAt(readerOf(fleet)), TicketNumber(0));
    fleet.publish();
    fleet.runUntil(at(7'500ms));
    for (std::size_t node = 0; node < fleet.size(); ++node) {
        EXPECT_EQ(fleet.numberAt(node), TicketNumber(2));
    }
}

// Retry delays that count from the start of the call left no time between calls that time out, so that a node whose
// calls are lost never read at its peers.
TEST(ReadScheduleTest, NodeWhoseCallsAreLostReadsAtItsPeers)
{
    for (const FailureMode mode : {FailureMode::Silent, FailureMode::Reset}) {
        for (std::size_t cut = 0; cut < 4; ++cut) {
            RegistryFleet fleet(4, 1);
            fleet.cutOff(cut, {at(5s), at(15s), mode, true});
            fleet.runUntil(at(8s));
            fleet.publish();
            fleet.runUntil(at(12s));
            EXPECT_EQ(fleet.numberAt(cut), fleet.publishedNumber()) << cut;
        }
    }
}

// In an outage of the registry the records of all targets expire; the targets register again once it is back.
RC_GTEST_PROP(ReadScheduleProperty, NoNodeDropsTargetsThatRegisterAgainAfterAnOutage, ())
{
    RegistryFleet fleet(*rc::gen::inRange<std::size_t>(2, 6), *rc::gen::inRange<std::size_t>(1, 3));
    const TimePoint back = at(anyTime(9'000, 14'000));
    const Period outage {at(4s), back, *rc::gen::element(FailureMode::Silent, FailureMode::Reset)};
    RC_LOG() << "outage from " << describe(outage) << "\n";
    fleet.loseRegistry(outage);
    fleet.runUntil(at(8'500ms));
    for (std::size_t target = 0; target < fleet.size(); ++target) {
        fleet.removeTarget(target);
    }
    std::multimap<TimePoint, std::size_t> registrations;
    for (std::size_t target = 0; target < fleet.size(); ++target) {
        registrations.emplace(back + anyTime(0, 1'000), target);
    }
    while (fleet.now() < at(20s)) {
        fleet.step();
        while (!registrations.empty() && registrations.begin()->first <= fleet.now()) {
            fleet.registerTarget(registrations.begin()->second);
            registrations.erase(registrations.begin());
        }
        for (std::size_t node = 0; node < fleet.size(); ++node) {
            for (std::size_t target = 0; target < fleet.size(); ++target) {
                RC_ASSERT(fleet.usesTarget(node, target));
            }
        }
    }
}

// Cuts of any node, outages of the registry, lost hosts and lost history, in any order: no node in touch uses a target
// that left more than 2.5 s ago (review/2 and the drawn days in its claim).
RC_GTEST_PROP(ReadScheduleProperty, NodesInTouchDropRemovedTargetsInTime, ())
{
    Scenario scenario;
    RemovalAudit audit;
    for (int i = *rc::gen::inRange(1, 4); i > 0; --i) {
        const auto target = *rc::gen::inRange<std::size_t>(0, scenario.fleet.size());
        const Milliseconds time = anyTime(4'000, 16'000);
        RC_LOG() << "target " << target << " is removed at " << time.count() << "\n";
        scenario.events.emplace(time, [&audit, &scenario, target] { audit.remove(scenario.fleet, target); });
    }
    scenario.run(audit);
}

// The same disturbances: no node in touch goes on with a configuration that was replaced over 2.5 s ago (review/4).
RC_GTEST_PROP(ReadScheduleProperty, NodesInTouchHaveTheNewestConfigurationInTime, ())
{
    Scenario scenario;
    ConfigurationAudit audit;
    for (int i = *rc::gen::inRange(1, 4); i > 0; --i) {
        const Milliseconds time = anyTime(4'000, 16'000);
        RC_LOG() << "a configuration is published at " << time.count() << "\n";
        scenario.events.emplace(time, [&audit, &scenario] { audit.publish(scenario.fleet); });
    }
    scenario.run(audit);
}
