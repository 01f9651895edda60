// Messages in flight or a share of the datagrams are lost.
#include "faults.h"

#include <gtest/gtest.h>

using namespace jasminemast;

class FaultSilent : public testing::TestWithParam<std::tuple<Fault, std::uint64_t>>
{
};

TEST_P(FaultSilent, StaysConsistentAndConverges)
{
    const auto &[fault, seed] = GetParam();
    expectConsistencyAndConvergence({fault}, seed);
}

INSTANTIATE_TEST_SUITE_P(Faults, FaultSilent,
                         testing::Combine(testing::Values(inFlightMessagesLost(), datagramLoss()),
                                          testing::Range<std::uint64_t>(1, 6)));
