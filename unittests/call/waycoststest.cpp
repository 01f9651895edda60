// Plays uneven demand of small and large calls on a fleet of two regions and counts what is answered in time and the
// bytes that leave a region: with thresholds of load, and with costs of ways.
#include "jasminemast/call/admission.h"
#include "jasminemast/call/endpointselector.h"

#include <gtest/gtest.h>

#include <cmath>
#include <queue>

using namespace jasminemast;
using namespace std::chrono_literals;

namespace
{

const TimePoint Start {1h};
constexpr Duration RunTime = 20s;
constexpr Duration Uncounted = 4s; ///< nodes have no measurements yet
constexpr Duration RegionLatency = 40ms; ///< there and back
constexpr unsigned Slots = 9;
constexpr std::size_t TargetsPerZone = 3;
constexpr std::size_t NodesPerZone = 4;
constexpr int MaxAttempts = 6;

struct Kind
{
    RouteId route;
    Duration work;
    Duration softTimeout;
    double bytes;
};

struct Tally
{
    int issued = 0;
    int inTime = 0;
    int refused = 0;
    double bytesBetweenRegions = 0;

    [[nodiscard]] double shareInTime() const
    {
        return static_cast<double>(inTime) / issued;
    }
};

class Fleet
{
public:
    Fleet(const WayCosts &ways, double load)
        : m_load(load)
    {
        EndpointSelectorLimits limits;
        limits.ways = ways;
        std::vector<Candidate> candidates;
        for (std::size_t zone = 0; zone < Zones.size(); ++zone) {
            for (std::size_t i = 0; i < TargetsPerZone; ++i) {
                const std::string id = std::to_string(m_admissions.size());
                candidates.push_back({EndpointId(id), HostId(id), Zones.at(zone), regionOf(zone), Slots, false});
                m_admissions.emplace_back(AdmissionLimits {Slots, 1.0, 200ms, 4.0});
            }
        }
        for (std::size_t i = 0; i < Zones.size() * NodesPerZone; ++i) {
            const std::size_t zone = i % Zones.size();
            m_selectors.emplace_back(Zones.at(zone), regionOf(zone), limits);
            m_selectors.back().setCandidates(candidates, Start - 10s);
        }
    }

    Tally run()
    {
        const double capacity = static_cast<double>(m_admissions.size()) * Slots / 0.2;
        TimePoint at = Start;
        while (at < Start + RunTime) {
            const double uniform = static_cast<double>(m_random.nextBelow(1'000'000) + 1) / 1'000'001;
            const std::chrono::duration<double> gap(-std::log(uniform) / (capacity * m_load));
            at += std::chrono::duration_cast<Duration>(gap);
            // The first zone has twice the demand of each other.
            const std::size_t zone = m_random.nextBelow(Zones.size() + 1) % Zones.size();
            const std::size_t node = zone + Zones.size() * m_random.nextBelow(NodesPerZone);
            m_calls.push_back({node, m_random.nextBelow(10) == 0 ? 1U : 0U, at, {}, 0, 0, {}});
            m_events.push({at, m_calls.size() - 1, false});
        }
        while (!m_events.empty()) {
            const Event event = m_events.top();
            m_events.pop();
            if (event.isEnd) {
                end(event);
            } else {
                send(event.call, event.at);
            }
        }
        return m_tally;
    }

private:
    struct Call
    {
        std::size_t node;
        std::size_t kind;
        TimePoint began;
        TimePoint sentAt;
        std::size_t target;
        int attempts;
        std::set<EndpointId> excluded;
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

    static RegionId regionOf(std::size_t zone)
    {
        return RegionId(zone < 2 ? "a" : "b");
    }
    [[nodiscard]] bool isFar(const Call &call) const
    {
        return (call.node % Zones.size() < 2) != (call.target / TargetsPerZone < 2);
    }
    [[nodiscard]] static bool isCounted(const Call &call)
    {
        return call.began >= Start + Uncounted;
    }
    static AttemptId attempt(std::size_t call)
    {
        return {CallId {HostId("h"), Incarnation(1), call}, 1};
    }

    void send(std::size_t index, TimePoint now)
    {
        Call &call = m_calls[index];
        const Kind &kind = Kinds.at(call.kind);
        m_tally.issued += call.attempts == 0 && isCounted(call) ? 1 : 0;
        const auto full
            = call.attempts == 0 ? EndpointSelector::FullEndpoints::Allowed : EndpointSelector::FullEndpoints::Excluded;
        EndpointSelector &selector = m_selectors[call.node];
        const TimePoint soft = call.began + kind.softTimeout;
        const auto picked = ++call.attempts > MaxAttempts
            ? std::nullopt
            : selector.pick({call.excluded, {}}, now, m_random, full, {kind.route, kind.bytes, soft - now});
        if (!picked || call.excluded.contains(*picked)) {
            m_tally.refused += isCounted(call) ? 1 : 0;
            return;
        }
        call.target = std::stoul(picked->value());
        call.sentAt = now;
        selector.recordStart(*picked);
        apply(m_admissions[call.target].submit(attempt(index), call.began + 6s, now, {0, soft}), now);
    }

    void end(const Event &event)
    {
        const Call &call = m_calls[event.call];
        const Kind &kind = Kinds.at(call.kind);
        const Duration latency = isFar(call) ? RegionLatency : 0ms;
        reply(call, AttemptResult::Success, event.at);
        m_selectors[call.node].recordDuration(EndpointId(std::to_string(call.target)), kind.route,
                                              event.at + latency - call.sentAt, event.at);
        if (isCounted(call)) {
            m_tally.inTime += event.at + latency - call.began <= kind.softTimeout ? 1 : 0;
            m_tally.bytesBetweenRegions += isFar(call) ? kind.bytes : 0;
        }
        apply(m_admissions[call.target].release(attempt(event.call), kind.work, event.at), event.at);
    }

    void reply(const Call &call, AttemptResult result, TimePoint now)
    {
        const EndpointId id(std::to_string(call.target));
        m_selectors[call.node].recordReport(id, {static_cast<float>(m_admissions[call.target].load(now))}, now);
        m_selectors[call.node].recordEnd(id, result, now);
    }

    void apply(const AdmissionActions &actions, TimePoint now)
    {
        for (const AdmissionAction &action : actions) {
            if (const auto *start = std::get_if<AdmissionStart>(&action)) {
                const std::size_t index = start->attempt.call.sequence;
                m_events.push({now + Kinds.at(m_calls[index].kind).work, index, true});
                continue;
            }
            const std::size_t index = std::get<AdmissionRefuse>(action).attempt.call.sequence;
            reply(m_calls[index], AttemptResult::Neutral, now);
            m_calls[index].excluded.insert(EndpointId(std::to_string(m_calls[index].target)));
            m_events.push({now + 1ms, index, false});
        }
    }

    inline static const std::array<ZoneId, 4> Zones {ZoneId("a1"), ZoneId("a2"), ZoneId("b1"), ZoneId("b2")};
    inline static const std::array<Kind, 2> Kinds {Kind {RouteId("small"), 200ms, 1s, 1'000},
                                                   Kind {RouteId("large"), 200ms, 2'500ms, 90'000}};
    double m_load;
    Random m_random {5};
    std::vector<Admission> m_admissions;
    std::vector<EndpointSelector> m_selectors;
    std::vector<Call> m_calls;
    std::priority_queue<Event> m_events;
    Tally m_tally;
};

const WayCosts Thresholds {};
const WayCosts Costs {true, {2ms, 5}, {100ms, 20}};

} // namespace

TEST(WayCostsTest, FewBytesLeaveTheRegionWhileItHasRoom)
{
    const Tally thresholds = Fleet(Thresholds, 0.7).run();
    const Tally costs = Fleet(Costs, 0.7).run();
    EXPECT_GE(costs.shareInTime(), thresholds.shareInTime() - 0.01);
    EXPECT_LT(costs.bytesBetweenRegions, 0.5 * thresholds.bytesBetweenRegions);
}

// Region a gets 1.14 times what it can do, region b has room for it.
TEST(WayCostsTest, NobodyIsRefusedOrLateWhileAFarTargetHasRoom)
{
    const Tally costs = Fleet(Costs, 0.95).run();
    EXPECT_GE(costs.shareInTime(), 0.97);
    EXPECT_LE(costs.refused, costs.issued / 100);
    EXPECT_GT(costs.bytesBetweenRegions, 0);
}

TEST(WayCostsTest, SizesAreLearnedForEachRoute)
{
    CallSizes sizes;
    EXPECT_EQ(sizes.expectedBytes(RouteId("r")), CallSizes::HeadBytes);
    for (int i = 0; i < 200; ++i) {
        sizes.record(RouteId("r"), 90'000);
        sizes.record(RouteId("other"), 100);
    }
    EXPECT_NEAR(sizes.expectedBytes(RouteId("r")), 90'000 + CallSizes::HeadBytes, 1);
    EXPECT_NEAR(sizes.expectedBytes(RouteId("other")), 100 + CallSizes::HeadBytes, 1);
    EXPECT_EQ((WayCost {100ms, 20}.of(90'000)), 1'900ms);
}
