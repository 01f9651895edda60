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
