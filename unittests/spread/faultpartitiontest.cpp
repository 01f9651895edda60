// Zones are cut off from each other and from the configuration service, in one or both directions.
#include "faults.h"

#include <gtest/gtest.h>

using namespace jasminemast;

class FaultPartition : public testing::TestWithParam<std::tuple<Fault, std::uint64_t>>
{
};

TEST_P(FaultPartition, StaysConsistentAndConverges)
{
    const auto &[fault, seed] = GetParam();
    expectConsistencyAndConvergence({fault}, seed);
}

INSTANTIATE_TEST_SUITE_P(Faults, FaultPartition,
                         testing::Combine(testing::Values(zoneCutFromZones(), zoneCutFromPlatform(),
                                                          regionsPartitioned(), zoneInboundCut(), zoneOutboundCut()),
                                          testing::Range<std::uint64_t>(1, 6)));
