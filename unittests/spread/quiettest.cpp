// Spreading when nothing fails: promptness, the call limit, the region rule, readiness.
#include "fakefleet.h"

#include <gtest/gtest.h>

using namespace jasminemast;

TEST(QuietFleet, aTicketIsInForceEverywhereWithinSeconds)
{
    FakeFleet fleet({.settings = testSettings()});
    fleet.run(Milliseconds(5000));
    for (int i = 0; i < 5; ++i) {
        const auto number = fleet.accept();
        EXPECT_TRUE(fleet.runUntilInForce(number, fleet.liveNodes(), Milliseconds(2000))) << number;
        fleet.run(Milliseconds(3000));
    }
    EXPECT_TRUE(fleet.violations().empty()) << fleet.violations().front();
    for (const auto node : fleet.liveNodes()) {
        EXPECT_EQ(fleet.core(node).readiness(), Readiness::Ready);
    }
}
