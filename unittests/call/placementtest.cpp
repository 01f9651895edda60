// Plays the load of a fleet with many entry nodes against the choice of endpoints and counts what callers get: targets
// differ in speed, one zone has few, and one target sits behind a narrow link. Each node sees little of each target.
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
constexpr Duration Aim = 600ms;
constexpr Duration Patience = 4s;
constexpr Duration Warmup = 5s; ///< nodes that have seen nothing place blindly
constexpr Duration Length = 25s;
constexpr double Utilisation = 0.6; ///< of the slots of all targets

struct Target
{
    Candidate candidate;
    double speed = 1;
    Duration transfer {0}; ///< of the answer over the way to the target, on top of the work
};

/// Three zones with 6, 6 and 2 targets of the speeds that deployments show; the last one's link is narrow.
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
    targets.back().transfer = 1'500ms;
    return targets;
}

struct Tally
{
    int asked = 0;
    int inTime = 0;
    int answered = 0;
};

/// The fleet on a test clock. Calls of the nodes follow each other at random distances.
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
            m_nodes.emplace_back(ZoneId(std::to_string(i % Zones)), RegionId("r"), limits);
            m_nodes.back().setCandidates(candidates, Start);
        }
    }

    Tally play()
    {
        double capacity = 0;
        for (const Target &target : m_targets) {
            capacity += Slots * target.speed / std::chrono::duration<double>(WorkTime).count();
        }
        const double meanGap = 1 / (capacity * Utilisation);
        TimePoint at = Start;
        while (at < Start + Length) {
            const double uniform = static_cast<double>(m_random.nextBelow(1'000'000) + 1) / 1'000'001;
            at += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(-std::log(uniform) * meanGap));
            m_calls.push_back({m_random.nextBelow(m_nodes.size()), 0, at});
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
        EndpointSelector &choice = m_nodes[call.node];
        const auto picked = choice.pick({}, event.at, m_random);
        ASSERT_TRUE(picked.has_value());
        call.target = m_indexes.at(*picked);
        m_tally.asked += counts(call) ? 1 : 0;
        choice.began(*picked);
        apply(m_admissions[call.target].offer(attempt(event.call), call.began + Patience, event.at), event.at);
    }

    void end(const Event &event)
    {
        const Call &call = m_calls[event.call];
        const Target &target = m_targets[call.target];
        EndpointSelector &choice = m_nodes[call.node];
        const Duration took = event.at + target.transfer - call.began;
        choice.reported(target.candidate.id, m_admissions[call.target].load(), event.at);
        choice.ended(target.candidate.id, AttemptResult::Success, event.at);
        choice.took(target.candidate.id, RouteId("r"), took, event.at);
        if (counts(call)) {
            ++m_tally.answered;
            m_tally.inTime += took <= Aim ? 1 : 0;
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
            m_nodes[call.node].ended(m_targets[call.target].candidate.id, AttemptResult::Neutral, now);
        }
    }

    [[nodiscard]] static bool counts(const Call &call)
    {
        return call.began >= Start + Warmup;
    }

    Random m_random;
    std::vector<Target> m_targets;
    std::map<EndpointId, std::size_t> m_indexes;
    std::vector<Admission> m_admissions;
    std::vector<EndpointSelector> m_nodes;
    std::vector<Call> m_calls;
    std::priority_queue<Event> m_events;
    Tally m_tally;
};

/// Near endpoints until they are full, and all taken for equally fast.
EndpointSelectorLimits simpleLimits()
{
    EndpointSelectorLimits limits;
    limits.zoneSpillAt = 0.95;
    limits.zoneReturnAt = 0.75;
    limits.mostSlowness = 1;
    return limits;
}

double shareInTime(const Tally &tally)
{
    return static_cast<double>(tally.inTime) / tally.asked;
}

} // namespace

// At three fifths of what the targets can do, nobody needs to wait: the users' target for such a day is 95 in 100.
TEST(PlacementTest, callersOfAFleetWithUnequalTargetsAreServedInTime)
{
    const Tally tally = Fleet(EndpointSelectorLimits {}).play();
    EXPECT_GE(shareInTime(tally), 0.95) << tally.inTime << " of " << tally.asked;
}

TEST(PlacementTest, serveMoreInTimeThanPlacingByDistanceAlone)
{
    const Tally simple = Fleet(simpleLimits()).play();
    const Tally now = Fleet(EndpointSelectorLimits {}).play();
    EXPECT_GT(shareInTime(now), shareInTime(simple)) << shareInTime(now) << " against " << shareInTime(simple);
    EXPECT_GE(now.answered, simple.answered);
}
