// Simulates endpoint selection in a fleet with many entry nodes and counts the calls completed in time. Targets differ
// in speed, one zone has few of them, and one target has a link of low bandwidth. Each entry node sends only few calls
// to each target.
#include "jasminemast/call/admission.h"
#include "jasminemast/call/endpointselector.h"

#include <gtest/gtest.h>

#include <cmath>
#include <queue>

using namespace jasminemast;
using namespace std::chrono_literals;

namespace
{

const TimePoint Start {std::chrono::hours(1)};
constexpr std::size_t Zones = 3;
constexpr std::size_t NodesPerZone = 10;
constexpr unsigned Slots = 11;
constexpr Duration WorkTime = 160ms;
constexpr Duration SoftTimeout = 600ms;
constexpr Duration CallerTimeout = 4s;
constexpr Duration WarmupTime = 5s; ///< not counted: nodes have no measurements yet
constexpr Duration RunTime = 25s;
constexpr double Utilization = 0.6; ///< of the slots of all targets

struct Target
{
    Candidate candidate;
    double speed = 1;
    Duration transferTime {0}; ///< of the response, in addition to the work
};

/// Three zones with 6, 6 and 2 targets of speeds as found in deployments; the last target has a link of low bandwidth.
std::vector<Target> unequalTargets()
{
    constexpr std::array<std::size_t, Zones> PerZone = {6, 6, 2};
    constexpr std::array<double, 3> Speeds = {0.7, 0.7, 1.6};
    std::vector<Target> targets;
    for (std::size_t zone = 0; zone < Zones; ++zone) {
        for (std::size_t i = 0; i < PerZone.at(zone); ++i) {
            const std::string name = std::to_string(zone) + "-" + std::to_string(i);
            const Candidate candidate {EndpointId(name), HostId(name), ZoneId(std::to_string(zone)),
                                       RegionId("r"),    Slots,        false};
            targets.push_back({candidate, Speeds.at(i % Speeds.size()), 0ms});
        }
    }
    targets.back().transferTime = 1'500ms;
    return targets;
}

struct Tally
{
    int issued = 0;
    int inTime = 0;
    int completed = 0;
};

/// The fleet on a test clock. The gaps between calls are exponentially distributed.
class Fleet
{
public:
    explicit Fleet(EndpointSelectorLimits limits)
        : m_random(11)
        , m_targets(unequalTargets())
    {
        std::vector<Candidate> candidates;
        for (std::size_t i = 0; i < m_targets.size(); ++i) {
            candidates.push_back(m_targets[i].candidate);
            m_indexes.emplace(m_targets[i].candidate.id, i);
            m_admissions.emplace_back(AdmissionLimits {Slots, 1.0, WorkTime});
        }
        for (std::size_t i = 0; i < Zones * NodesPerZone; ++i) {
            m_selectors.emplace_back(ZoneId(std::to_string(i % Zones)), RegionId("r"), limits);
            m_selectors.back().setCandidates(candidates, Start);
        }
    }

    Tally run()
    {
        double capacity = 0;
        for (const Target &target : m_targets) {
            capacity += Slots * target.speed / std::chrono::duration<double>(WorkTime).count();
        }
        const double meanGap = 1 / (capacity * Utilization);
        TimePoint at = Start;
        while (at < Start + RunTime) {
            const double uniform = static_cast<double>(m_random.nextBelow(1'000'000) + 1) / 1'000'001;
            at += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(-std::log(uniform) * meanGap));
            m_calls.push_back({m_random.nextBelow(m_selectors.size()), 0, at});
            m_events.push({at, m_calls.size() - 1, false});
        }
        while (!m_events.empty()) {
            const Event event = m_events.top();
            m_events.pop();
            event.isEnd ? end(event) : begin(event);
        }
        return m_tally;
    }

private:
    struct Call
    {
        std::size_t node;
        std::size_t target;
        TimePoint began;
        TimePoint started {};
    };
    struct Event
    {
        TimePoint at;
        std::size_t call;
        bool isEnd;

        bool operator<(const Event &other) const
        {
            return std::tie(other.at, other.call) < std::tie(at, call);
        }
    };

    static AttemptId attempt(std::size_t call)
    {
        return {CallId {HostId("h"), Incarnation(1), call}, 1};
    }

    void begin(const Event &event)
    {
        Call &call = m_calls[event.call];
        EndpointSelector &selector = m_selectors[call.node];
        const auto picked = selector.pick({}, event.at, m_random);
        ASSERT_TRUE(picked.has_value());
        call.target = m_indexes.at(*picked);
        m_tally.issued += isCounted(call) ? 1 : 0;
        selector.recordStart(*picked);
        apply(m_admissions[call.target].submit(attempt(event.call), call.began + CallerTimeout, event.at), event.at);
    }

    void end(const Event &event)
    {
        const Call &call = m_calls[event.call];
        const Target &target = m_targets[call.target];
        EndpointSelector &selector = m_selectors[call.node];
        const Duration elapsed = event.at + target.transferTime - call.began;
        selector.recordReport(target.candidate.id, {static_cast<float>(m_admissions[call.target].load(event.at))},
                              event.at);
        selector.recordEnd(target.candidate.id, AttemptResult::Success, event.at);
        selector.recordDuration(target.candidate.id, RouteId("r"), elapsed, event.at);
        if (isCounted(call)) {
            ++m_tally.completed;
            m_tally.inTime += elapsed <= SoftTimeout ? 1 : 0;
        }
        apply(m_admissions[call.target].release(attempt(event.call), event.at - call.started, event.at), event.at);
    }

    void apply(const AdmissionActions &actions, TimePoint now)
    {
        for (const AdmissionAction &action : actions) {
            if (const auto *start = std::get_if<AdmissionStart>(&action)) {
                Call &call = m_calls[start->attempt.call.sequence];
                call.started = now;
                const auto work = std::chrono::duration_cast<Duration>(WorkTime / m_targets[call.target].speed);
                m_events.push({now + work, start->attempt.call.sequence, true});
                continue;
            }
            const auto &refusal = std::get<AdmissionRefuse>(action);
            const Call &call = m_calls[refusal.attempt.call.sequence];
            m_selectors[call.node].recordEnd(m_targets[call.target].candidate.id, AttemptResult::Neutral, now);
        }
    }

    [[nodiscard]] static bool isCounted(const Call &call)
    {
        return call.began >= Start + WarmupTime;
    }

    Random m_random;
    std::vector<Target> m_targets;
    std::map<EndpointId, std::size_t> m_indexes;
    std::vector<Admission> m_admissions;
    std::vector<EndpointSelector> m_selectors;
    std::vector<Call> m_calls;
    std::priority_queue<Event> m_events;
    Tally m_tally;
};

/// Limits for selection by distance alone: near endpoints until they are full, without regard to their slowness.
EndpointSelectorLimits nearestOnlyLimits()
{
    EndpointSelectorLimits limits;
    limits.zoneSpillThreshold = 0.95;
    limits.zoneReturnThreshold = 0.75;
    limits.maxSlowness = 1;
    return limits;
}

double shareInTime(const Tally &tally)
{
    return static_cast<double>(tally.inTime) / tally.issued;
}

} // namespace

// At 60 % of the capacity of the targets no call needs to wait; the users require 95 % of the responses in time.
TEST(PlacementTest, ServesCallsInTimeWithUnequalTargets)
{
    const Tally tally = Fleet(EndpointSelectorLimits {}).run();
    EXPECT_GE(shareInTime(tally), 0.95) << tally.inTime << " of " << tally.issued;
}

TEST(PlacementTest, ServesMoreCallsInTimeThanSelectionByDistanceAlone)
{
    const Tally nearestOnly = Fleet(nearestOnlyLimits()).run();
    const Tally adaptive = Fleet(EndpointSelectorLimits {}).run();
    EXPECT_GT(shareInTime(adaptive), shareInTime(nearestOnly))
        << shareInTime(adaptive) << " against " << shareInTime(nearestOnly);
    EXPECT_GE(adaptive.completed, nearestOnly.completed);
}
