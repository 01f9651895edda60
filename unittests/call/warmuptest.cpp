// Targets that warm up: how many requests reach them in any second, and that none waits for good.
#include "jasminemast/call/admission.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

using namespace jasminemast;
using namespace std::chrono_literals;

namespace
{

const TimePoint Start {1h};
constexpr double Rate = 7.9; // requests a second
/// What the users' sites allow in any second: 1.5 times the rate and 8 more.
constexpr std::size_t MaxInAnySecond = 19;

AttemptId attempt(std::uint64_t sequence)
{
    return {CallId {HostId("h"), Incarnation(1), sequence}, 1};
}

AdmissionLimits nineSlots()
{
    AdmissionLimits limits;
    limits.slots = 9;
    return limits;
}

std::size_t mostInAnySecond(const std::vector<TimePoint> &starts)
{
    std::size_t most = 0;
    for (std::size_t first = 0; first < starts.size(); ++first) {
        const auto end = std::lower_bound(starts.begin(), starts.end(), starts[first] + 1s);
        most = std::max(most, static_cast<std::size_t>(end - starts.begin()) - first);
    }
    return most;
}

/// Offers a request every millisecond to the node beside a target, and ends each after 20 ms.
class WarmUpLoad
{
public:
    void restartNode()
    {
        m_admission = Admission(nineSlots());
        m_admission.warmUp().setRate(Rate, m_now);
        m_running.clear();
    }

    void run(Duration time)
    {
        for (const TimePoint end = m_now + time; m_now < end; m_now += 1ms) {
            while (!m_running.empty() && m_running.front().second <= m_now) {
                const AttemptId ended = m_running.front().first;
                m_running.erase(m_running.begin());
                record(m_admission.release(ended, 20ms, m_now));
            }
            record(m_admission.submit(attempt(++m_sequence), m_now + 1s, m_now));
            record(m_admission.tick(m_now));
        }
    }

    void record(const AdmissionActions &actions)
    {
        for (const AdmissionAction &action : actions) {
            if (const auto *start = std::get_if<AdmissionStart>(&action)) {
                starts.push_back(m_now);
                m_running.emplace_back(start->attempt, m_now + 20ms);
            }
        }
    }

    [[nodiscard]] WarmUpLimiter &limiter()
    {
        return m_admission.warmUp();
    }
    [[nodiscard]] TimePoint now() const
    {
        return m_now;
    }

    std::vector<TimePoint> starts;

private:
    TimePoint m_now = Start;
    Admission m_admission {nineSlots()};
    std::vector<std::pair<AttemptId, TimePoint>> m_running;
    std::uint64_t m_sequence = 0;
};

} // namespace

// The process beside the target restarts at any moment, reports are old, repeated or missing, assumptions come and go.
RC_GTEST_PROP(WarmUpProperty, NoSecondOfAWarmUpHasTooManyRequests, ())
{
    WarmUpLoad load;
    load.restartNode();
    const TimePoint coldUntil = Start + 3s;
    load.limiter().report(coldUntil, load.now());
    while (load.now() < coldUntil) {
        load.run(Milliseconds(*rc::gen::inRange(1, 900)));
        switch (*rc::gen::inRange(0, 5)) {
        case 0:
            load.restartNode();
            load.limiter().report(coldUntil + Milliseconds(*rc::gen::inRange(0, 800)), load.now());
            break;
        case 1:
            load.limiter().assume(load.now() + Milliseconds(*rc::gen::inRange(1, 3'000)), load.now());
            break;
        case 2:
            load.limiter().confirm(coldUntil, load.now());
            break;
        case 3:
            load.limiter().report(coldUntil, load.now());
            break;
        default:
            load.limiter().setRate(Rate, load.now());
        }
    }
    std::erase_if(load.starts, [coldUntil](TimePoint start) { return start >= coldUntil; });
    RC_ASSERT(mostInAnySecond(load.starts) <= MaxInAnySecond);
}

TEST(WarmUpTest, TargetThatWarmsUpGetsWhatItBearsAndThenAll)
{
    WarmUpLoad load;
    load.restartNode();
    load.limiter().report(Start + 3s, Start);
    load.run(3s);
    EXPECT_NEAR(static_cast<double>(load.starts.size()), 3 * Rate, 2);
    load.starts.clear();
    load.run(1s);
    EXPECT_GT(load.starts.size(), 300U);
}

TEST(WarmUpTest, WithoutARateNothingIsLimited)
{
    WarmUpLimiter limiter;
    limiter.report(Start + 3s, Start);
    limiter.assume(Start + 3s, Start);
    EXPECT_FALSE(limiter.isLimiting(Start));
    EXPECT_TRUE(limiter.mayStart(Start));
}

// The registry's report may have been written before the target started again.
TEST(WarmUpTest, AssumptionEndsByTheTargetsOwnWordOrWithItsTime)
{
    WarmUpLimiter limiter;
    limiter.setRate(Rate, Start);
    limiter.assume(Start + 3s, Start);
    limiter.report(Start, Start + 100ms);
    EXPECT_TRUE(limiter.isLimiting(Start + 200ms));
    limiter.confirm(Start + 200ms, Start + 200ms);
    EXPECT_FALSE(limiter.isLimiting(Start + 200ms));
    limiter.assume(Start + 3s, Start + 300ms);
    EXPECT_TRUE(limiter.isAssuming(Start + 2'999ms));
    EXPECT_FALSE(limiter.isLimiting(Start + 3s));
}

TEST(WarmUpTest, QueueOfATargetThatWarmsUpIsShortAndRefusesWithItsOwnCode)
{
    Admission admission(nineSlots());
    admission.warmUp().setRate(Rate, Start);
    admission.warmUp().report(Start + 3s, Start);
    EXPECT_TRUE(admission.submit(attempt(1), Start + 1s, Start).empty()) << "it waits for the first token";
    const AdmissionActions second = admission.submit(attempt(2), Start + 1s, Start);
    ASSERT_EQ(second.size(), 1U);
    EXPECT_EQ(std::get<AdmissionRefuse>(second.front()).code, ResultCode::TargetWarmingUp);
    EXPECT_GE(admission.load(Start), 1) << "callers are to look elsewhere";
    const AdmissionActions started = admission.tick(Start + 130ms);
    ASSERT_EQ(started.size(), 1U);
    EXPECT_TRUE(std::holds_alternative<AdmissionStart>(started.front()));
}

TEST(WarmUpTest, AttemptThatCannotStartInTimeIsRefusedAtOnce)
{
    Admission admission(nineSlots());
    admission.warmUp().setRate(Rate, Start);
    admission.warmUp().report(Start + 3s, Start);
    const AdmissionActions actions = admission.submit(attempt(1), Start + 100ms, Start);
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_EQ(std::get<AdmissionRefuse>(actions.front()).code, ResultCode::StartTooLate);
}
