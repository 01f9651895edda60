// Every two faults together.
#include "faults.h"

#include <gtest/gtest.h>

using namespace jasminemast;

TEST(FaultPairs, keepPromises1And9)
{
    const auto faults = allFaults();
    for (std::size_t first = 0; first < faults.size(); ++first) {
        for (std::size_t second = first + 1; second < faults.size(); ++second) {
            SCOPED_TRACE(faults[first].name + " and " + faults[second].name);
            expectPromises({faults[first], faults[second]}, 100 + first * faults.size() + second);
        }
    }
}
