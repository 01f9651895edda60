// One node, the readers, half of the nodes or all of them are killed.
#include "faults.h"

#include <gtest/gtest.h>

using namespace jasminemast;

class FaultKill : public testing::TestWithParam<std::tuple<Fault, std::uint64_t>>
{
};

TEST_P(FaultKill, StaysConsistentAndConverges)
{
    const auto &[fault, seed] = GetParam();
    expectConsistencyAndConvergence({fault}, seed);
}

INSTANTIATE_TEST_SUITE_P(Faults, FaultKill,
                         testing::Combine(testing::Values(killOne(), killReaders(), killHalf(), killAll()),
                                          testing::Range<std::uint64_t>(1, 6)));
