// Processes die: one, the readers, half, all.
#include "faults.h"

#include <gtest/gtest.h>

using namespace jasminemast;

class FaultKill : public testing::TestWithParam<std::tuple<Fault, std::uint64_t>>
{
};

TEST_P(FaultKill, keepsPromises1And9)
{
    const auto &[fault, seed] = GetParam();
    expectPromises({fault}, seed);
}

INSTANTIATE_TEST_SUITE_P(Table, FaultKill,
                         testing::Combine(testing::Values(killOne(), killReaders(), killHalf(), killAll()),
                                          testing::Range<std::uint64_t>(1, 6)));
