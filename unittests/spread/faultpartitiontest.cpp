// Zones are cut off from each other and from the platform, both ways and one way.
#include "faults.h"

#include <gtest/gtest.h>

using namespace jasminemast;

class FaultPartition : public testing::TestWithParam<std::tuple<Fault, std::uint64_t>>
{
};

TEST_P(FaultPartition, keepsPromises1And9)
{
    const auto &[fault, seed] = GetParam();
    expectPromises({fault}, seed);
}

INSTANTIATE_TEST_SUITE_P(Table, FaultPartition,
                         testing::Combine(testing::Values(zoneFromZones(), zoneFromPlatform(), regionsApart(),
                                                          zoneDeaf(), zoneMute()),
                                          testing::Range<std::uint64_t>(1, 6)));
