// The steps of a drain on a test clock.
#include "jasminemast/node/nodedrain.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace jasminemast;
using namespace std::chrono_literals;
using testing::Contains;
using testing::ElementsAre;
using testing::Not;

namespace
{

const TimePoint Start {1h};
const DrainSettings WithExitTime {500ms, 1'000ms, 5'000ms, 200ms};
const DrainSettings WithoutExitTime {0ms, 500ms, 0ms, 200ms};

DrainWork runningAttempt()
{
    DrainWork work;
    work.attempts = 1;
    work.finishingLinks = 1;
    return work;
}

} // namespace

TEST(NodeDrainTest, LeavesInOrder)
{
    NodeDrain drain(WithExitTime, Start);
    const DrainWork work = runningAttempt();
    EXPECT_TRUE(drain.tick(work, Start + 499ms).empty());
    EXPECT_THAT(drain.tick(work, Start + 500ms), ElementsAre(DrainStep::DrainTarget, DrainStep::DrainEntry));
    EXPECT_FALSE(drain.isExitAnnounced());
    EXPECT_THAT(drain.tick(work, Start + 1s),
                ElementsAre(DrainStep::AnnounceExit, DrainStep::DrainTarget, DrainStep::DrainEntry,
                            DrainStep::StopAccepting, DrainStep::CloseIdleConnections));
    EXPECT_TRUE(drain.isExitAnnounced());
    EXPECT_THAT(drain.tick(work, Start + 1'020ms), Not(Contains(DrainStep::AnnounceExit)));
}

// Responses that other nodes have not read yet are lost if the process ends with open links.
TEST(NodeDrainTest, LinksAreFinishedBeforeTheExitOfABusyNode)
{
    NodeDrain drain(WithExitTime, Start);
    const DrainWork work = runningAttempt();
    EXPECT_THAT(drain.tick(work, Start + 5s), Contains(DrainStep::RefuseQueued));
    EXPECT_THAT(drain.tick(work, Start + 5'100ms), Contains(DrainStep::StopAcceptingLinks));
    EXPECT_THAT(drain.tick(work, Start + 5'199ms), Not(Contains(DrainStep::FinishLinks)));
    const DrainSteps atEnd = drain.tick(work, Start + 5'200ms);
    EXPECT_THAT(atEnd, Contains(DrainStep::FinishLinks));
    EXPECT_THAT(atEnd, Not(Contains(DrainStep::Exit)));
    EXPECT_TRUE(drain.tick(work, Start + 5'299ms).empty()) << "the peer has not read everything";
    EXPECT_THAT(drain.tick(work, Start + 5'300ms), ElementsAre(DrainStep::Exit));
}

// Calls that were open before the pause would get no answer.
TEST(NodeDrainTest, PausedNodeHasTimeForItsLastResponsesAfterThePause)
{
    NodeDrain drain(WithExitTime, Start);
    DrainWork work = runningAttempt();
    work.calls = 1;
    drain.tick(work, Start + 4s);
    EXPECT_THAT(drain.tick(work, Start + 8s), Not(Contains(DrainStep::Exit)));
    EXPECT_THAT(drain.tick(work, Start + 8'199ms), Not(Contains(DrainStep::FinishLinks)));
    EXPECT_THAT(drain.tick(work, Start + 8'200ms), Contains(DrainStep::FinishLinks));
    EXPECT_THAT(drain.tick(work, Start + 8'300ms), ElementsAre(DrainStep::Exit));
}

TEST(NodeDrainTest, ExitsOncePeersHaveClosedTheirLinks)
{
    NodeDrain drain(WithExitTime, Start);
    drain.tick(DrainWork {}, Start + 1s);
    drain.tick(DrainWork {}, Start + 1'020ms);
    EXPECT_THAT(drain.tick(DrainWork {}, Start + 2s), Contains(DrainStep::FinishLinks));
    DrainWork slowPeer;
    slowPeer.finishingLinks = 1;
    EXPECT_TRUE(drain.tick(slowPeer, Start + 2'040ms).empty());
    EXPECT_THAT(drain.tick(DrainWork {}, Start + 2'060ms), ElementsAre(DrainStep::Exit));
}

// Other nodes can't tell a dropped attempt from one that ran.
TEST(NodeDrainTest, AttemptsOnLinksAcceptedLastAreRefusedBeforeTheLinksFinish)
{
    constexpr Milliseconds TwoRoundTrips {80};
    for (const DrainSettings &settings : {WithExitTime, WithoutExitTime}) {
        NodeDrain drain(settings, Start);
        drain.tick(runningAttempt(), Start + 1s);
        const DrainSteps steps = drain.tick(DrainWork {}, Start + 1'020ms);
        EXPECT_THAT(steps, Contains(DrainStep::StopAcceptingLinks));
        EXPECT_THAT(steps, Not(Contains(DrainStep::FinishLinks)));
        DrainWork refusal;
        refusal.hasQueuedFrames = true;
        EXPECT_THAT(drain.tick(refusal, Start + 1'020ms + TwoRoundTrips), Not(Contains(DrainStep::FinishLinks)));
        EXPECT_THAT(drain.tick(refusal, Start + 3s), Not(Contains(DrainStep::FinishLinks)));
        EXPECT_THAT(drain.tick(DrainWork {}, Start + 3'020ms), Contains(DrainStep::FinishLinks));
    }
}

// Until the exit, callers are without their node.
TEST(NodeDrainTest, IdleNodeExitsOnceLingeringIsOver)
{
    NodeDrain drain(WithExitTime, Start);
    EXPECT_THAT(drain.tick(DrainWork {}, Start + 799ms), Not(Contains(DrainStep::StopAcceptingLinks)));
    EXPECT_THAT(drain.tick(DrainWork {}, Start + 800ms), Contains(DrainStep::StopAcceptingLinks));
    drain.tick(DrainWork {}, Start + 1s);
    EXPECT_THAT(drain.tick(DrainWork {}, Start + 1'020ms), Contains(DrainStep::FinishLinks));
    EXPECT_THAT(drain.tick(DrainWork {}, Start + 1'040ms), ElementsAre(DrainStep::Exit));
}

// A request that arrives just before its connection is closed would get no answer.
TEST(NodeDrainTest, RequestReadWhileClosingIdleConnectionsIsAnsweredBeforeTheLinksFinish)
{
    for (const DrainSettings &settings : {WithExitTime, WithoutExitTime}) {
        NodeDrain drain(settings, Start);
        const DrainSteps first = drain.tick(DrainWork {}, Start + 1s);
        EXPECT_THAT(first, Contains(DrainStep::CloseIdleConnections));
        EXPECT_THAT(first, Not(Contains(DrainStep::FinishLinks)));
        DrainWork request;
        request.calls = 1;
        request.lastActivity = Start + 1'010ms;
        EXPECT_THAT(drain.tick(request, Start + 1'020ms), Not(Contains(DrainStep::FinishLinks)));
        EXPECT_THAT(drain.tick(request, Start + 2s), Not(Contains(DrainStep::FinishLinks)));
        request.calls = 0;
        EXPECT_THAT(drain.tick(request, Start + 2'020ms), Contains(DrainStep::FinishLinks));
    }
}

// The request that comes next on a connection that has just become idle would be read, and not be passed on.
TEST(NodeDrainTest, LinksAreNotFinishedWhileACallerHasAnOpenConnection)
{
    for (const DrainSettings &settings : {WithExitTime, WithoutExitTime}) {
        NodeDrain drain(settings, Start);
        DrainWork work;
        work.callerConnections = 1;
        EXPECT_THAT(drain.tick(work, Start + 1s), Contains(DrainStep::CloseIdleConnections));
        const DrainSteps next = drain.tick(work, Start + 2s);
        EXPECT_THAT(next, Contains(DrainStep::CloseIdleConnections));
        EXPECT_THAT(next, Not(Contains(DrainStep::FinishLinks)));
        work.callerConnections = 0;
        EXPECT_THAT(drain.tick(work, Start + 2'020ms), Contains(DrainStep::FinishLinks));
    }
}

TEST(NodeDrainTest, WithoutExitTimeWaitsForOpenCalls)
{
    NodeDrain drain(WithoutExitTime, Start);
    const DrainSteps steps = drain.tick(runningAttempt(), Start + 10min);
    EXPECT_THAT(steps, Contains(DrainStep::StopAccepting));
    EXPECT_THAT(steps, Not(Contains(DrainStep::CloseIdleConnections))) << "callers may be about to send a request";
    EXPECT_THAT(steps, Not(Contains(DrainStep::AnnounceExit)));
    EXPECT_THAT(drain.tick(runningAttempt(), Start + 11min), Not(Contains(DrainStep::StopAcceptingLinks)));
}

// Which calls a node with an exit time may still take, at any time, of any route, behind any backlog.
RC_GTEST_PROP(NodeDrainProperty, AcceptsNoCallThatMayOutlastTheNode, ())
{
    const auto anyTime = [](int maxMs) {
        return Milliseconds(*rc::gen::inRange(0, maxMs));
    };
    const DrainSettings settings {anyTime(3'000), anyTime(6'000), anyTime(10'000), anyTime(500)};
    const NodeDrain drain(settings, Start);
    const TimePoint now = Start + anyTime(12'000);
    const CallForecast call {now + anyTime(10'000), anyTime(5'000), anyTime(2'000)};
    const TimePoint exit = Start + settings.grace;
    const bool isAccepted = drain.acceptsCall(call, now);
    const bool mayCallerBeUnaware = now < Start + settings.linger;
    const bool endsInTime = call.deadline <= exit;
    if (settings.grace == 0ms || endsInTime) {
        RC_ASSERT(isAccepted);
        return;
    }
    RC_ASSERT(!isAccepted || mayCallerBeUnaware);
    RC_ASSERT(!isAccepted || now + call.duration + call.backlog <= exit);
    RC_ASSERT(isAccepted || !mayCallerBeUnaware || now + 2 * call.duration + call.backlog > exit);
    // What is accepted stays acceptable if it is shorter, or earlier.
    if (isAccepted) {
        RC_ASSERT(drain.acceptsCall({call.deadline - anyTime(1'000), call.duration, call.backlog}, now));
        RC_ASSERT(drain.acceptsCall(call, now - anyTime(1'000)));
        RC_ASSERT(drain.acceptsCall({call.deadline, call.duration / 2, call.backlog / 2}, now));
    }
}

// crin-mast-grown, planned-after-growth seed 14: taken 2.34 s after SIGTERM, cut 5.51 s after it.
TEST(NodeDrainTest, RefusesACallWhoseResponseMayNotBeSentBeforeTheExit)
{
    const NodeDrain drain({1'400ms, 2'400ms, 5'500ms, 250ms}, Start);
    const TimePoint now = Start + 2'340ms;
    const TimePoint deadline = now + 4s;
    EXPECT_FALSE(drain.acceptsCall({deadline, 3'170ms, 0ms}, now));
    EXPECT_FALSE(drain.acceptsCall({deadline, 1s, 3s}, now)) << "its response waits for the link";
    EXPECT_TRUE(drain.acceptsCall({deadline, 1s, 0ms}, now)) << "the caller cannot know yet";
    EXPECT_TRUE(drain.acceptsCall({deadline, 3'170ms, 0ms}, Start));
}

TEST(NodeDrainTest, RefusesLateCallsThatMayOutlastTheNode)
{
    const NodeDrain drain(WithExitTime, Start);
    EXPECT_TRUE(drain.acceptsCall({Start + 60s}, Start + 999ms)) << "the caller cannot know yet";
    EXPECT_FALSE(drain.acceptsCall({Start + 60s}, Start + 1s));
    EXPECT_FALSE(drain.acceptsCall({Start + 5'001ms}, Start + 1s));
    EXPECT_TRUE(drain.acceptsCall({Start + 5s}, Start + 1s)) << "it has its response before the exit";
    EXPECT_TRUE(NodeDrain(WithoutExitTime, Start).acceptsCall({Start + 60s, 60s}, Start + 59s)) << "the node waits";
}
