// Flows go silent, datagrams are lost.
#include "faults.h"

#include <gtest/gtest.h>

using namespace jasminemast;

class FaultSilent : public testing::TestWithParam<std::tuple<Fault, std::uint64_t>>
{
};

TEST_P(FaultSilent, keepsPromises1And9)
{
    const auto &[fault, seed] = GetParam();
    expectPromises({fault}, seed);
}

INSTANTIATE_TEST_SUITE_P(Table, FaultSilent,
                         testing::Combine(testing::Values(flowsSilent(), datagramLoss()),
                                          testing::Range<std::uint64_t>(1, 6)));
