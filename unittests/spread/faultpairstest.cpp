// All pairs of faults, injected together.
#include "faults.h"

#include <gtest/gtest.h>

using namespace jasminemast;

class FaultPairs : public testing::TestWithParam<std::size_t>
{
};

TEST_P(FaultPairs, StayConsistentAndConverge)
{
    const auto faults = allFaults();
    const std::size_t first = GetParam();
    for (std::size_t second = first + 1; second < faults.size(); ++second) {
        SCOPED_TRACE(faults[first].name + " and " + faults[second].name);
        expectConsistencyAndConvergence({faults[first], faults[second]}, 100 + first * faults.size() + second);
    }
}

INSTANTIATE_TEST_SUITE_P(WithEachLaterFault, FaultPairs, testing::Range(std::size_t(0), allFaults().size()));
