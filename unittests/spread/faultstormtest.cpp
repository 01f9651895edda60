// All processes restart at once.
#include "faults.h"

#include <gtest/gtest.h>

using namespace jasminemast;

class FaultStorm : public testing::TestWithParam<std::tuple<Fault, std::uint64_t>>
{
};

TEST_P(FaultStorm, StaysConsistentAndConverges)
{
    const auto &[fault, seed] = GetParam();
    expectConsistencyAndConvergence({fault}, seed);
}

INSTANTIATE_TEST_SUITE_P(Faults, FaultStorm,
                         testing::Combine(testing::Values(restartAll()), testing::Range<std::uint64_t>(1, 6)));
