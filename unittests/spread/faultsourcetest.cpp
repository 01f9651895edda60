// The configuration service is down, stale, out of order or runs backwards.
#include "faults.h"

#include <gtest/gtest.h>

using namespace jasminemast;

class FaultSource : public testing::TestWithParam<std::tuple<Fault, std::uint64_t>>
{
};

TEST_P(FaultSource, keepsPromises1And9)
{
    const auto &[fault, seed] = GetParam();
    expectPromises({fault}, seed);
}

INSTANTIATE_TEST_SUITE_P(Table, FaultSource,
                         testing::Combine(testing::Values(serviceDown(), serviceStale(), serviceBackwards(),
                                                          serviceDisordered()),
                                          testing::Range<std::uint64_t>(1, 6)));
