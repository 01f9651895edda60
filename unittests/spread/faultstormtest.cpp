// All processes reconnect at once.
#include "faults.h"

#include <gtest/gtest.h>

using namespace jasminemast;

class FaultStorm : public testing::TestWithParam<std::tuple<Fault, std::uint64_t>>
{
};

TEST_P(FaultStorm, keepsPromises1And9)
{
    const auto &[fault, seed] = GetParam();
    expectPromises({fault}, seed);
}

INSTANTIATE_TEST_SUITE_P(Table, FaultStorm,
                         testing::Combine(testing::Values(restartAll()), testing::Range<std::uint64_t>(1, 6)));
