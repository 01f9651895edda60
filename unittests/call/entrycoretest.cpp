// The calls of an entry node whose attempts are on a host that cannot be reached.
#include "jasminemast/call/entry.h"

#include <gtest/gtest.h>

#include <algorithm>

using namespace jasminemast;
using namespace std::chrono_literals;

namespace
{

const TimePoint Start {std::chrono::hours(1)};
const HostId Host("target-host");
constexpr std::size_t Calls = 3;

template<class Action>
std::size_t countOf(const EntryActions &actions)
{
    return static_cast<std::size_t>(std::count_if(actions.begin(), actions.end(), [](const EntryAction &action) {
        return std::holds_alternative<Action>(action);
    }));
}

/// Several non-repeatable calls were sent to one host, and the link to it was lost.
class EntryCoreTest : public testing::Test
{
protected:
    EntryCoreTest()
    {
        m_core.setServices({{ServiceId("s"), {Candidate {EndpointId("e"), Host, ZoneId("z"), RegionId("r"), 8}}}},
                           Start);
        m_core.onLinkUp(Host, Incarnation(7), Start);
        for (std::size_t i = 0; i < Calls; ++i) {
            CallSpec spec;
            spec.service = ServiceId("s");
            spec.deadline = Start + 4s;
            EXPECT_EQ(countOf<entryaction::SendOpen>(m_core.begin(spec, Start).actions), 1U);
        }
        EXPECT_EQ(countOf<entryaction::Connect>(m_core.onLinkDown(Host, Start + 1s)), Calls);
    }

    ManualClock m_clock;
    Metrics m_metrics {m_clock};
    EntryCore m_core {{HostId("entry"), Incarnation(1), ZoneId("z"), RegionId("r")}, EntryLimits {}, 1, m_metrics};
};

} // namespace

// One Connect per call led to as many onUnreachable() reports, each of which led to one Connect per call again: a node
// used 115 MB within 0.4 s (hvf-mesh, reuse-beside-cut.toml --vary --seed 803721316292).
TEST_F(EntryCoreTest, ConnectsOnceToAnUnreachableHostForAllCalls)
{
    const EntryActions actions = m_core.onUnreachable(Host, false, Start + 1'100ms);
    EXPECT_EQ(countOf<entryaction::Connect>(actions), 1U);
    EXPECT_EQ(countOf<entryaction::Finish>(actions), 0U) << "the host may come back";
}

// A host that was removed from the registry has no known address.
TEST_F(EntryCoreTest, FinishesCallsAtAGoneHostAtOnceAsUnknown)
{
    const EntryActions actions = m_core.onUnreachable(Host, true, Start + 1'100ms);
    EXPECT_EQ(countOf<entryaction::Connect>(actions), 0U);
    ASSERT_EQ(countOf<entryaction::Finish>(actions), Calls);
    for (const EntryAction &action : actions) {
        if (const auto *end = std::get_if<entryaction::Finish>(&action)) {
            EXPECT_EQ(end->outcome, Outcome::Unknown);
        }
    }
    EXPECT_TRUE(m_core.onUnreachable(Host, true, Start + 1'200ms).empty());
}

// A response that arrives after the node's exit can no longer be delivered.
TEST_F(EntryCoreTest, EndsCallsWhenTheNodeExitsBeforeTheirDeadline)
{
    const TimePoint exit = Start + 2s;
    m_core.onLinkUp(Host, Incarnation(7), Start + 1s);
    m_core.limitDeadlines(exit, 100ms);
    CallSpec spec;
    spec.service = ServiceId("s");
    spec.deadline = Start + 4s;
    const EntryActions begun = m_core.begin(spec, Start + 1'500ms).actions;
    ASSERT_EQ(countOf<entryaction::SendOpen>(begun), 1U);
    EXPECT_EQ(std::get<entryaction::SendOpen>(begun.front()).request.remaining, 500ms)
        << "the node of the target knows the limit";
    EXPECT_TRUE(m_core.tick(exit - 1ms).empty());
    const EntryActions withdrawn = m_core.tick(exit);
    EXPECT_EQ(countOf<entryaction::SendWithdraw>(withdrawn), 1U) << "the others wait for the reply to their fence";
    EXPECT_EQ(countOf<entryaction::Finish>(withdrawn), Calls);
    EXPECT_EQ(countOf<entryaction::Finish>(m_core.tick(exit + 100ms)), 1U);
    EXPECT_EQ(m_core.openCalls(), 0U);
}

TEST_F(EntryCoreTest, ReportsWithdrawnAttemptAsNotRunWhenItsNodeRepliesSo)
{
    const TimePoint exit = Start + 2s;
    m_core.onLinkUp(Host, Incarnation(7), Start + 1s);
    m_core.limitDeadlines(exit, 100ms);
    CallSpec spec;
    spec.service = ServiceId("s");
    spec.deadline = Start + 4s;
    const CallId call = m_core.begin(spec, Start + 1'500ms).call;
    m_core.tick(exit);
    const AttemptId attempt {call, 1};
    EXPECT_FALSE(m_core.awaits(attempt)) << "a response that begins now cannot be delivered";
    const EntryActions actions = m_core.onRefused(attempt, ResultCode::CallWithdrawn, exit + 20ms);
    ASSERT_EQ(countOf<entryaction::Finish>(actions), 1U);
    EXPECT_EQ(actions.size(), 1U) << "no other attempt is made";
    EXPECT_EQ(std::get<entryaction::Finish>(actions.front()).outcome, Outcome::NotRun);
}

// The caller may have stopped waiting by the start deadline, but only its deadline shows that it has.
TEST_F(EntryCoreTest, StartsNothingAfterTheStartDeadlineAndAwaitsResponsesUntilTheDeadline)
{
    m_core.onLinkUp(Host, Incarnation(7), Start + 1s);
    CallSpec spec;
    spec.service = ServiceId("s");
    spec.repeatable = true;
    spec.startDeadline = Start + 3s;
    spec.deadline = Start + 6s;
    const EntryCore::BeginResult awaited = m_core.begin(spec, Start + 2s);
    ASSERT_EQ(countOf<entryaction::SendOpen>(awaited.actions), 1U);
    const OpenRequest &request = std::get<entryaction::SendOpen>(awaited.actions.front()).request;
    EXPECT_EQ(request.remaining, 1s);
    EXPECT_EQ(request.responseTimeout, 4s);
    const AttemptId refused {m_core.begin(spec, Start + 2s).call, 1};

    const EntryActions afterRefusal = m_core.onRefused(refused, ResultCode::TargetShed, Start + 3s);
    ASSERT_EQ(afterRefusal.size(), 1U) << "there is no time for another attempt";
    EXPECT_EQ(std::get<entryaction::Finish>(afterRefusal.front()).outcome, Outcome::NotRun);
    m_core.tick(Start + 5'999ms);
    EXPECT_TRUE(m_core.awaits({awaited.call, 1}));
    EXPECT_EQ(countOf<entryaction::Finish>(m_core.tick(Start + 6s)), 1U);
}
