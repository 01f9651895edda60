// Simulates overload on admission control and counts the calls completed in time: one target gets 1.4 times the load
// that it can handle, from callers of two priorities that retry twice after a refusal.
#include "jasminemast/call/admission.h"
#include "jasminemast/call/callerwaitestimator.h"
#include "jasminemast/support/random.h"

#include <gtest/gtest.h>

#include <map>
#include <queue>

using namespace jasminemast;
using namespace std::chrono_literals;

namespace
{

const TimePoint Start {std::chrono::hours(1)};
constexpr unsigned Slots = 12;
constexpr Duration ServiceTime = 200ms;
constexpr Duration SoftTimeout = 600ms;
constexpr Duration CallerTimeout = 4s;
constexpr Duration RunTime = 20s;
constexpr double Overload = 1.4;
constexpr int MaxRetries = 2;

struct Caller
{
    unsigned priority = 0;
    TimePoint began;
    int retriesLeft = MaxRetries;
};

struct Tally
{
    int issued = 0;
    int inTime = 0;
    int completed = 0;

    [[nodiscard]] double shareInTime() const
    {
        return static_cast<double>(inTime) / issued;
    }
};

/// One target and its callers on a test clock.
class OverloadedTarget
{
public:
    explicit OverloadedTarget(bool useRanks)
        : m_useRanks(useRanks)
    {
    }

    std::map<unsigned, Tally> run()
    {
        const double callsPerSecond = Overload * Slots / std::chrono::duration<double>(ServiceTime).count();
        const Duration gap = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / callsPerSecond));
        for (TimePoint at = Start; at < Start + RunTime; at += gap) {
            // One call in three has the higher priority.
            const std::uint64_t id = ++m_lastId;
            m_callers[id] = Caller {id % 3 == 0 ? 1U : 2U, at};
            ++m_tallies[m_callers[id].priority].issued;
            m_events.push({at, id, false});
        }
        while (!m_events.empty()) {
            const Event event = m_events.top();
            m_events.pop();
            if (event.isEnd) {
                end(event);
            } else {
                arrive(event);
            }
        }
        return m_tallies;
    }

private:
    struct Event
    {
        TimePoint at;
        std::uint64_t id;
        bool isEnd; ///< end of an attempt; otherwise an arrival

        bool operator<(const Event &other) const
        {
            return std::tie(other.at, other.id) < std::tie(at, id);
        }
    };

    static AttemptId attempt(std::uint64_t id)
    {
        return {CallId {HostId("h"), Incarnation(1), id}, 1};
    }

    void arrive(const Event &event)
    {
        const Caller &caller = m_callers.at(event.id);
        const TimePoint deadline = caller.began + CallerTimeout;
        AdmissionRank rank;
        if (m_useRanks) {
            const RouteId route(std::to_string(caller.priority));
            const Duration waited = m_callerWait.observe(route, deadline - event.at, event.at);
            rank = {caller.priority, event.at + SoftTimeout - waited};
        }
        apply(m_admission.submit(attempt(event.id), deadline, event.at, rank), event.at);
    }

    void end(const Event &event)
    {
        const Caller &caller = m_callers.at(event.id);
        Tally &tally = m_tallies[caller.priority];
        ++tally.completed;
        tally.inTime += event.at - caller.began <= SoftTimeout ? 1 : 0;
        apply(m_admission.release(attempt(event.id), ServiceTime, event.at), event.at);
    }

    void apply(const AdmissionActions &actions, TimePoint now)
    {
        for (const AdmissionAction &action : actions) {
            if (const auto *start = std::get_if<AdmissionStart>(&action)) {
                m_events.push({now + ServiceTime, start->attempt.call.sequence, true});
                continue;
            }
            const std::uint64_t id = std::get<AdmissionRefuse>(action).attempt.call.sequence;
            Caller &caller = m_callers.at(id);
            const Duration wait = Milliseconds(150 + m_random.nextBelow(150));
            if (caller.retriesLeft-- > 0 && now + wait < caller.began + CallerTimeout) {
                m_events.push({now + wait, id, false});
            }
        }
    }

    bool m_useRanks;
    Admission m_admission {AdmissionLimits {Slots, 1.0, ServiceTime}};
    CallerWaitEstimator m_callerWait;
    Random m_random {1};
    std::uint64_t m_lastId = 0;
    std::map<std::uint64_t, Caller> m_callers;
    std::map<unsigned, Tally> m_tallies;
    std::priority_queue<Event> m_events;
};

} // namespace

TEST(OverloadTest, RanksServeUrgentCallersInTimeWithoutStarvingOthers)
{
    std::map<unsigned, Tally> unranked = OverloadedTarget(false).run();
    std::map<unsigned, Tally> ranked = OverloadedTarget(true).run();
    EXPECT_GE(ranked[1].shareInTime(), 0.95) << "the urgent third fits into the capacity and is completed in time";
    EXPECT_LT(unranked[1].shareInTime(), 0.9) << "without ranks the urgent third is not completed in time";
    const int unrankedInTime = unranked[1].inTime + unranked[2].inTime;
    const int rankedInTime = ranked[1].inTime + ranked[2].inTime;
    EXPECT_GE(rankedInTime, unrankedInTime);
    // Share of the other two thirds that fits into the capacity left by the urgent third.
    const double remainingShare = (1 / Overload - 1.0 / 3) / (2.0 / 3);
    EXPECT_GE(ranked[2].shareInTime(), remainingShare * 2 / 3) << "the less urgent callers are not starved";
    RecordProperty("plainInTime", unrankedInTime);
    RecordProperty("rankedInTime", rankedInTime);
}

TEST(CallerWaitEstimatorTest, EstimatesWaitFromTheLongestRecentTimeout)
{
    CallerWaitEstimator estimator;
    const RouteId route("r");
    EXPECT_EQ(estimator.observe(route, 4s, Start), 0s);
    EXPECT_EQ(estimator.observe(route, 3300ms, Start + 1s), 700ms);
    EXPECT_EQ(estimator.observe(RouteId("other"), 3300ms, Start + 1s), 0s);
    EXPECT_EQ(estimator.observe(route, 2s, Start + 12s), 2s) << "remembered beyond the end of the window";
    EXPECT_EQ(estimator.observe(route, 2s, Start + 40s), 0s) << "callers may have changed since";
}

// It waited behind them until its deadline.
TEST(AdmissionRankTest, PatientAttemptIsRefusedOnceMoreUrgentOnesMakeItWaitTooLong)
{
    const auto attempt = [](std::uint64_t id) {
        return AttemptId {CallId {HostId("h"), Incarnation(1), id}, 1};
    };
    Admission admission(AdmissionLimits {1, 1.0, 100ms, 4.0});
    admission.submit(attempt(1), Start + 9s, Start, {1, Start + 9s});
    admission.submit(attempt(2), Start + 9s, Start, {1, Start + 1s});
    EXPECT_TRUE(admission.submit(attempt(3), Start + 9s, Start, {2, Start + 1'100ms}).empty())
        << "there is time for four times the wait";
    const AdmissionActions urgent = admission.submit(attempt(4), Start + 9s, Start, {0, Start + 1s});
    ASSERT_EQ(urgent.size(), 1U);
    EXPECT_EQ(std::get<AdmissionRefuse>(urgent.front()).attempt, attempt(3));
}

TEST(AdmissionRankTest, AttemptThatWasOvertakenDoesNotWaitForGood)
{
    const auto attempt = [](std::uint64_t id) {
        return AttemptId {CallId {HostId("h"), Incarnation(1), id}, 1};
    };
    Admission admission(AdmissionLimits {1, 1.0, 100ms, 4.0});
    admission.submit(attempt(1), Start + 9s, Start, {1, Start + 100ms});
    EXPECT_TRUE(admission.submit(attempt(2), Start + 9s, Start, {1, Start + 100ms}).empty());
    const AdmissionActions urgent = admission.submit(attempt(3), Start + 9s, Start, {0, Start + 100ms});
    ASSERT_EQ(urgent.size(), 1U) << "the queue has one place for each slot";
    EXPECT_EQ(std::get<AdmissionRefuse>(urgent.front()).attempt, attempt(2));
}

// What was accepted before a drain ends, also when an operator lowers the slots meanwhile.
TEST(AdmissionRankTest, LoweredSlotsRefuseNothingThatWaits)
{
    Admission admission(AdmissionLimits {2, 1.0, 100ms, 4.0});
    for (std::uint64_t id = 1; id <= 4; ++id) {
        admission.submit({CallId {HostId("h"), Incarnation(1), id}, 1}, Start + 9s, Start);
    }
    ASSERT_EQ(admission.queued(), 2U);
    EXPECT_TRUE(admission.resize(1, Start).empty());
    EXPECT_TRUE(admission.tick(Start + 10ms).empty());
    EXPECT_EQ(admission.queued(), 2U);
}

// Its caller got 504, and could not know that it may send the request again.
TEST(AdmissionDeadlineTest, QueuedAttemptIsRefusedWhileTheRefusalCanArriveBeforeTheDeadline)
{
    Admission admission(AdmissionLimits {1, 1.0, 200ms});
    const AttemptId first {CallId {HostId("h"), Incarnation(1), 1}, 1};
    const AttemptId second {CallId {HostId("h"), Incarnation(1), 2}, 1};
    admission.submit(first, Start + 9s, Start);
    EXPECT_TRUE(admission.submit(second, Start + 1s, Start).empty());
    EXPECT_TRUE(admission.tick(Start + 870ms).empty());
    const AdmissionActions actions = admission.tick(Start + 880ms);
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_EQ(std::get<AdmissionRefuse>(actions.front()).attempt, second);
    EXPECT_EQ(std::get<AdmissionRefuse>(actions.front()).code, ResultCode::StartTooLate);
}

TEST(AdmissionRankTest, FullQueueKeepsHigherPriority)
{
    const auto attempt = [](std::uint64_t id) {
        return AttemptId {CallId {HostId("h"), Incarnation(1), id}, 1};
    };
    Admission admission(AdmissionLimits {1, 1.0, 10ms});
    admission.submit(attempt(1), Start + 9s, Start, {2, Start + 1s});
    admission.submit(attempt(2), Start + 9s, Start, {2, Start + 1s});
    const AdmissionActions equal = admission.submit(attempt(3), Start + 9s, Start, {2, Start + 1s});
    ASSERT_EQ(equal.size(), 1U);
    EXPECT_EQ(std::get<AdmissionRefuse>(equal[0]).attempt, attempt(3))
        << "among attempts of equal rank the later one is refused";
    const AdmissionActions urgent = admission.submit(attempt(4), Start + 9s, Start, {1, Start + 1s});
    ASSERT_EQ(urgent.size(), 1U);
    EXPECT_EQ(std::get<AdmissionRefuse>(urgent[0]).attempt, attempt(2));
    const AdmissionActions next = admission.release(attempt(1), 10ms, Start + 10ms);
    EXPECT_EQ(std::get<AdmissionStart>(next.back()).attempt, attempt(4));
}
