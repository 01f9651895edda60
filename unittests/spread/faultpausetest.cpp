// Processes are frozen and wake up late.
#include "faults.h"

#include <gtest/gtest.h>

using namespace jasminemast;

class FaultPause : public testing::TestWithParam<std::tuple<Fault, std::uint64_t>>
{
};

TEST_P(FaultPause, keepsPromises1And9)
{
    const auto &[fault, seed] = GetParam();
    expectPromises({fault}, seed);
}

INSTANTIATE_TEST_SUITE_P(Table, FaultPause,
                         testing::Combine(testing::Values(pauseHalf(), pauseOneZone()),
                                          testing::Range<std::uint64_t>(1, 6)));

TEST(FaultPause, aNodeThatWakesUpIsNotReadyBeforeItHasTheHead)
{
    for (const auto &settings : profiles()) {
        FakeFleet fleet({.settings = settings});
        fleet.accept();
        fleet.run(Milliseconds(5000));
        constexpr std::size_t Sleeper = 8;
        ASSERT_EQ(fleet.core(Sleeper).readiness(), Readiness::Ready);
        fleet.pause(Sleeper);
        fleet.run(Milliseconds(60'000));
        const auto last = fleet.accept();
        fleet.run(Milliseconds(5000));
        fleet.resume(Sleeper);
        EXPECT_EQ(fleet.core(Sleeper).readiness(), Readiness::Joining);
        while (fleet.core(Sleeper).readiness() != Readiness::Ready && fleet.now() < TimePoint(std::chrono::hours(2))) {
            fleet.run(Milliseconds(10));
        }
        EXPECT_EQ(fleet.state(Sleeper)->number, last);
    }
}
