// Calls that may only be sent to some regions, and zones whose targets take no calls.
#include "jasminemast/call/entry.h"
#include "jasminemast/call/target.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

using namespace jasminemast;
using namespace std::chrono_literals;

namespace
{

const TimePoint Start {1h};
const ServiceId Service("s");

/// Two targets in each of the zones a1, a2 (region a), b1, b2 (b) and c1, c2 (c).
std::vector<Candidate> twelveTargets(const std::set<std::string> &evacuated = {})
{
    std::vector<Candidate> result;
    for (const char *region : {"a", "b", "c"}) {
        for (const char *zone : {"1", "2"}) {
            for (const char *number : {"x", "y"}) {
                const std::string zoneName = std::string(region) + zone;
                const std::string id = zoneName + number;
                result.push_back(
                    {EndpointId(id), HostId(id), ZoneId(zoneName), RegionId(region), 4, evacuated.contains(zoneName)});
            }
        }
    }
    return result;
}

std::vector<RegionId> regions(std::initializer_list<const char *> names)
{
    return {names.begin(), names.end()};
}

/// The entry node of zone a1.
class PlacesTest : public testing::Test
{
protected:
    EntryCore::BeginResult begin(const std::vector<RegionId> &allowed, bool repeatable = true)
    {
        CallSpec spec;
        spec.route = RouteId("r");
        spec.service = Service;
        spec.repeatable = repeatable;
        spec.deadline = m_now + 4s;
        spec.maxAttempts = 10;
        spec.allowedRegions = allowed;
        return m_core.begin(spec, m_now);
    }

    void setTargets(const std::vector<Candidate> &candidates)
    {
        m_core.setServices({{Service, candidates}}, m_now);
        for (const Candidate &candidate : candidates) {
            m_core.onLinkUp(candidate.host, Incarnation(1), m_now);
        }
    }

    template<class Action>
    static const Action *find(const EntryActions &actions)
    {
        for (const EntryAction &action : actions) {
            if (const auto *found = std::get_if<Action>(&action)) {
                return found;
            }
        }
        return nullptr;
    }

    TimePoint m_now = Start;
    ManualClock m_clock;
    Metrics m_metrics {m_clock};
    EntryLimits m_limits = [] {
        EntryLimits limits;
        limits.retry.freeRefusals = 20;
        return limits;
    }();
    EntryCore m_core {{HostId("entry"), Incarnation(1), ZoneId("a1"), RegionId("a")}, m_limits, 1, m_metrics};
};

} // namespace

TEST_F(PlacesTest, CallIsRefusedAtOnceIfNoAllowedTargetIsLeft)
{
    setTargets(twelveTargets({"b1", "b2"}));
    const auto result = begin(regions({"b"}), false);
    ASSERT_EQ(result.actions.size(), 1U);
    const auto *end = find<entryaction::Finish>(result.actions);
    ASSERT_NE(end, nullptr);
    EXPECT_EQ(end->outcome, Outcome::NotRun);
    EXPECT_EQ(end->code, ResultCode::NoEndpoint);
}

// Every way in which an attempt can end leads to another one in an allowed region, or to the end of the call.
RC_GTEST_FIXTURE_PROP(PlacesTest, NoAttemptLeavesTheAllowedRegionsOrEntersAnEvacuatedZone, ())
{
    const std::vector<std::vector<RegionId>> choices {
        {}, regions({"a"}), regions({"b"}), regions({"b", "c"}), regions({"elsewhere"})};
    const std::vector<std::string> zones {"a1", "a2", "b1", "b2", "c1", "c2"};
    std::set<std::string> evacuated;
    setTargets(twelveTargets());
    std::vector<std::pair<AttemptId, std::vector<RegionId>>> open;
    for (int step = 0; step < 60; ++step) {
        m_now += Milliseconds(*rc::gen::inRange(0, 300));
        EntryActions actions;
        const auto &allowed = choices[*rc::gen::inRange<std::size_t>(0, choices.size())];
        std::vector<RegionId> callRegions = allowed;
        const int kind = *rc::gen::inRange(0, 7);
        if (kind == 0 || open.empty()) {
            actions = begin(allowed).actions;
        } else if (kind == 1) {
            const std::string &zone = zones[*rc::gen::inRange<std::size_t>(0, zones.size())];
            if (evacuated.erase(zone) == 0) {
                evacuated.insert(zone);
            }
            m_core.setServices({{Service, twelveTargets(evacuated)}}, m_now);
        } else {
            const auto index = *rc::gen::inRange<std::size_t>(0, open.size());
            const auto [attempt, regionsOfCall] = open[index];
            open.erase(open.begin() + static_cast<std::ptrdiff_t>(index));
            callRegions = regionsOfCall;
            m_core.onReport(attempt, {*rc::gen::inRange(0, 30) / 10.0F}, m_now);
            switch (kind) {
            case 2:
                actions = m_core.onRefused(attempt, ResultCode::SlotsFull, m_now);
                break;
            case 3:
                actions = m_core.onRefused(attempt, ResultCode::TargetLeaving, m_now);
                break;
            case 4:
                actions = m_core.onResponseLost(attempt, ResultCode::OutcomeUnknown, m_now);
                break;
            case 5:
                actions = m_core.onResponseFailed(attempt, m_now);
                break;
            default:
                m_core.onResponseStarted(attempt, m_now);
                actions = m_core.onResponseCompleted(attempt, m_now);
            }
        }
        for (const EntryAction &action : actions) {
            const auto *send = std::get_if<entryaction::SendOpen>(&action);
            if (send == nullptr) {
                continue;
            }
            const std::string zone = send->host.value().substr(0, 2);
            const EndpointFilter filter {{}, callRegions};
            RC_ASSERT(filter.allows(RegionId(zone.substr(0, 1))));
            RC_ASSERT(!evacuated.contains(zone));
            open.emplace_back(send->request.attempt, callRegions);
        }
    }
}

TEST_F(PlacesTest, CallThatMustLeaveTheRegionDoesNotMoveOthers)
{
    setTargets(twelveTargets());
    for (int i = 0; i < 20; ++i) {
        begin(regions({"b", "c"}));
    }
    const auto result = begin({});
    const auto *send = find<entryaction::SendOpen>(result.actions);
    ASSERT_NE(send, nullptr);
    EXPECT_EQ(send->host.value().substr(0, 2), "a1");
}

TEST(EvacuatedTargetTest, RefusesWhatWaitsAndFinishesWhatRuns)
{
    const EndpointId endpoint("e");
    ManualClock clock;
    Metrics metrics {clock};
    TargetCore core {Incarnation(1), {}, metrics};
    core.setEndpoints({{endpoint, 1, false}}, Start);
    const auto open = [&](std::uint64_t sequence) {
        const AttemptId attempt {CallId {HostId("h"), Incarnation(1), sequence}, 1};
        return core.onOpen({attempt, endpoint, Incarnation(1), LinkGeneration(1), 1s, 1s, false}, {Start, Start},
                           Start);
    };
    open(1);
    open(2);
    ASSERT_EQ(core.accepted(), 2U);
    core.setLeaving(DrainReason::Evacuation, true, Start);
    const TargetActions refused = core.refuseQueued(Start);
    ASSERT_EQ(refused.size(), 1U);
    EXPECT_EQ(std::get<targetaction::Refuse>(refused.front()).code, ResultCode::TargetLeaving);
    EXPECT_EQ(core.accepted(), 1U);
    EXPECT_EQ(std::get<targetaction::Refuse>(open(3).front()).code, ResultCode::TargetLeaving);
    core.setLeaving(DrainReason::Evacuation, false, Start + 1s);
    open(4);
    EXPECT_EQ(core.accepted(), 2U);
}
