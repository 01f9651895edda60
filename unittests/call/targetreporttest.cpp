// What targets say about themselves, and what entry nodes make of it: load headers, targets that turn calls away while
// they look idle, and how long work takes now.
#include "jasminemast/call/endpointselector.h"
#include "jasminemast/call/failureshare.h"
#include "jasminemast/call/targetload.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace jasminemast;
using namespace std::chrono_literals;

namespace
{

const TimePoint Start {1h};

/// Entry nodes send calls to targets of 6 slots, most of which turn half of them away at once. Work takes 140 ms.
class SheddingFleet
{
public:
    explicit SheddingFleet(bool sendsFailureShares)
        : m_sendsFailureShares(sendsFailureShares)
        , m_targets(Targets)
    {
        std::vector<Candidate> candidates;
        for (std::size_t i = 0; i < Targets; ++i) {
            const std::string id = std::to_string(i);
            candidates.push_back({EndpointId(id), HostId(id), ZoneId("z"), RegionId("r"), Slots, false});
        }
        for (std::size_t i = 0; i < Nodes; ++i) {
            m_selectors.emplace_back(ZoneId("z"), RegionId("r"), EndpointSelectorLimits {});
            m_selectors.back().setCandidates(candidates, Start - 10s);
        }
    }

    /// The share of first attempts that a target turned away, without the first two seconds.
    double run()
    {
        int attempts = 0;
        int shed = 0;
        for (TimePoint now = Start; now < Start + 10s; now += 2ms) {
            finish(now);
            const std::size_t node = m_random.nextBelow(Nodes);
            const auto picked = m_selectors[node].pick({}, now, m_random);
            const std::size_t index = std::stoul(picked->value());
            Target &target = m_targets[index];
            const bool isShed = index % 5 != 0 && m_random.nextBelow(2) == 0;
            target.failures.record(isShed, now);
            m_selectors[node].recordStart(*picked);
            if (now >= Start + 2s) {
                ++attempts;
                shed += isShed ? 1 : 0;
            }
            if (isShed) {
                end({node, index, now}, AttemptResult::Failure, now);
            } else {
                ++target.running;
                m_running.push_back({node, index, now + 140ms});
            }
        }
        return static_cast<double>(shed) / attempts;
    }

private:
    struct Target
    {
        FailureShare failures;
        unsigned running = 0;
    };
    struct Run
    {
        std::size_t node;
        std::size_t target;
        TimePoint end;
    };

    void finish(TimePoint now)
    {
        while (!m_running.empty() && m_running.front().end <= now) {
            const Run run = m_running.front();
            m_running.erase(m_running.begin());
            --m_targets[run.target].running;
            end(run, AttemptResult::Success, now);
        }
    }

    void end(const Run &run, AttemptResult result, TimePoint now)
    {
        const EndpointId id(std::to_string(run.target));
        const Target &target = m_targets[run.target];
        TargetReport report;
        report.load = static_cast<float>(target.running) / Slots;
        report.failureShare = m_sendsFailureShares ? static_cast<float>(target.failures.value(now)) : 0;
        m_selectors[run.node].recordReport(id, report, now);
        m_selectors[run.node].recordEnd(id, result, now);
    }

    static constexpr std::size_t Nodes = 20;
    static constexpr std::size_t Targets = 30;
    static constexpr unsigned Slots = 6;
    bool m_sendsFailureShares;
    Random m_random {3};
    std::vector<Target> m_targets;
    std::vector<EndpointSelector> m_selectors;
    std::vector<Run> m_running;
};

} // namespace

// Four of five targets shed half of what reaches them and look idle for it. Each entry node sees few of their failures;
// the node beside each target sees all.
TEST(TargetReportTest, TargetsThatShedDrawFewerCallsOnceTheirNodesSaySo)
{
    const double without = SheddingFleet(false).run();
    const double with = SheddingFleet(true).run();
    EXPECT_LT(with, 0.85 * without);
}

TEST(FailureShareTest, FollowsTheLatestAttemptsAndFadesWithoutAny)
{
    FailureShare share;
    EXPECT_EQ(share.value(Start), 0);
    for (int i = 0; i < 100; ++i) {
        share.record(i % 2 == 0, Start + i * 10ms);
    }
    EXPECT_NEAR(share.value(Start + 1s), 0.5, 0.1);
    EXPECT_NEAR(share.value(Start + 1s + 3 * FailureShare::HalfLife), 0.06, 0.03);
    for (int i = 0; i < 100; ++i) {
        share.record(false, Start + 1s + i * 10ms);
    }
    EXPECT_LT(share.value(Start + 2s), 0.01);
}

TEST(TargetLoadTest, ReadsThreeOrFourNumbers)
{
    const auto three = parseTargetLoad("3,0,8");
    ASSERT_TRUE(three);
    EXPECT_EQ(three->running, 3U);
    EXPECT_EQ(three->slots, 8U);
    EXPECT_EQ(three->pace, 1);
    const auto four = parseTargetLoad("3,1,8,250");
    ASSERT_TRUE(four);
    EXPECT_EQ(four->waiting, 1U);
    EXPECT_EQ(four->pace, 2.5);
}

TEST(TargetLoadTest, RefusesAnythingElse)
{
    for (const char *text : {"", ",", "3", "3,0", "3,0,0", "3,0,8,", "3,0,8,0", "3,0,8,100,1", "3, 0,8", "-3,0,8",
                             "3,0,8x", "3,0,8,1e2", "99999999999,0,8", "3,0,8,10001", "a,b,c"}) {
        EXPECT_FALSE(parseTargetLoad(text)) << text;
    }
}

RC_GTEST_PROP(TargetLoadProperty, NoTextGivesAnImpossibleLoad, (const std::string &text))
{
    const auto load = parseTargetLoad(text);
    RC_ASSERT(!load || (load->slots > 0 && load->pace > 0 && load->pace <= 100));
}

// The report is old within a fraction of a second.
TEST(TargetReportTest, PaceCountsOnlyWhileItIsFresh)
{
    EndpointSelector selector(ZoneId("z"), RegionId("r"), {});
    selector.setCandidates({{EndpointId("slow"), HostId("a"), ZoneId("z"), RegionId("r"), 6, false},
                            {EndpointId("usual"), HostId("b"), ZoneId("z"), RegionId("r"), 6, false}},
                           Start);
    const auto picksOfSlow = [&selector](TimePoint now) {
        Random random(2);
        int picks = 0;
        for (int i = 0; i < 200; ++i) {
            picks += selector.pick({}, now, random) == EndpointId("slow") ? 1 : 0;
        }
        return picks;
    };
    selector.recordReport(EndpointId("slow"), {0.1F, 4, 0}, Start);
    selector.recordReport(EndpointId("usual"), {0.1F, 1, 0}, Start);
    EXPECT_EQ(picksOfSlow(Start + 10ms), 0);
    selector.recordReport(EndpointId("usual"), {0.2F, 1, 0}, Start + 1s);
    EXPECT_EQ(picksOfSlow(Start + 1s), 200) << "it has the lower load";
}
