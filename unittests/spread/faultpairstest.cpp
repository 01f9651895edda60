// All pairs of faults, injected together.
#include "faults.h"

#include <gtest/gtest.h>

using namespace jasminemast;

TEST(FaultPairs, StayConsistentAndConverge)
{
    const auto faults = allFaults();
    for (std::size_t first = 0; first < faults.size(); ++first) {
        for (std::size_t second = first + 1; second < faults.size(); ++second) {
            SCOPED_TRACE(faults[first].name + " and " + faults[second].name);
            expectConsistencyAndConvergence({faults[first], faults[second]}, 100 + first * faults.size() + second);
        }
    }
}
