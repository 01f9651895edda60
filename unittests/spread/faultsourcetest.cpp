// The configuration service is down, or reports stale, older or reordered heads.
#include "faults.h"

#include <gtest/gtest.h>

using namespace jasminemast;

class FaultSource : public testing::TestWithParam<std::tuple<Fault, std::uint64_t>>
{
};

TEST_P(FaultSource, StaysConsistentAndConverges)
{
    const auto &[fault, seed] = GetParam();
    expectConsistencyAndConvergence({fault}, seed);
}

INSTANTIATE_TEST_SUITE_P(Faults, FaultSource,
                         testing::Combine(testing::Values(serviceDown(), serviceStale(), serviceHeadGoesBack(),
                                                          serviceHeadsReordered()),
                                          testing::Range<std::uint64_t>(1, 6)));
