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
