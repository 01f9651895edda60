// Processes are paused and resumed.
#include "faults.h"

#include <gtest/gtest.h>

using namespace jasminemast;

class FaultPause : public testing::TestWithParam<std::tuple<Fault, std::uint64_t>>
{
};

TEST_P(FaultPause, StaysConsistentAndConverges)
{
    const auto &[fault, seed] = GetParam();
    expectConsistencyAndConvergence({fault}, seed);
}

INSTANTIATE_TEST_SUITE_P(Faults, FaultPause,
                         testing::Combine(testing::Values(pauseHalf(), pauseOneZone()),
                                          testing::Range<std::uint64_t>(1, 6)));

TEST(FaultPause, ResumedNodeIsNotReadyBeforeItHasTheHead)
{
    for (const auto &settings : profiles()) {
        FakeFleet fleet({.settings = settings});
        fleet.accept();
        fleet.run(Milliseconds(5000));
        constexpr std::size_t PausedNode = 8;
        ASSERT_EQ(fleet.core(PausedNode).readiness(), Readiness::Ready);
        fleet.pause(PausedNode);
        fleet.run(Milliseconds(60'000));
        const auto last = fleet.accept();
        fleet.run(Milliseconds(5000));
        fleet.resume(PausedNode);
        EXPECT_EQ(fleet.core(PausedNode).readiness(), Readiness::Joining);
        while (fleet.core(PausedNode).readiness() != Readiness::Ready
               && fleet.now() < TimePoint(std::chrono::hours(2))) {
            fleet.run(Milliseconds(10));
        }
        EXPECT_EQ(fleet.state(PausedNode)->number, last);
    }
}
