// A fleet without faults: latency, readiness, control traffic and zone summaries.
#include "faultcase.h"

#include <gtest/gtest.h>

using namespace jasminemast;

TEST(HealthyFleet, AppliesTicketOnAllNodesWithinSeconds)
{
    FakeFleet fleet({.settings = testSettings()});
    fleet.run(Milliseconds(5000));
    for (int i = 0; i < 5; ++i) {
        const auto number = fleet.accept();
        EXPECT_TRUE(fleet.runUntilApplied(number, fleet.liveNodes(), Milliseconds(2000))) << number;
        fleet.run(Milliseconds(3000));
    }
    EXPECT_TRUE(fleet.violations().empty()) << fleet.violations().front();
    for (const auto node : fleet.liveNodes()) {
        EXPECT_EQ(fleet.core(node).readiness(), Readiness::Ready);
    }
}

TEST(HealthyFleet, ControlTrafficStaysBelowOneKilobytePerSecondPerNode)
{
    constexpr std::uint64_t MaxBytesPerSecond = 1000;
    constexpr std::uint64_t Seconds = 60;
    for (const auto &settings : profiles()) {
        FakeFleet fleet({.nodesPerZone = 40, .settings = settings});
        fleet.accept();
        fleet.run(Milliseconds(20'000));
        const auto before = fleet.bytes();
        fleet.run(std::chrono::seconds(Seconds));
        const auto &after = fleet.bytes();
        const auto sent = after.inZone + after.betweenZones + after.betweenRegions - before.inZone - before.betweenZones
            - before.betweenRegions;
        EXPECT_LT(sent / Seconds / fleet.size(), MaxBytesPerSecond);
        RecordProperty("bytes_a_second_a_node", static_cast<int>(sent / Seconds / fleet.size()));
    }
}

TEST(HealthyFleet, EveryNodeKnowsEveryZone)
{
    for (const auto &settings : profiles()) {
        FakeFleet fleet({.nodesPerZone = 40, .settings = settings});
        const auto number = fleet.accept();
        fleet.run(Milliseconds(30'000));
        for (const auto node : fleet.liveNodes()) {
            for (const auto &zone : fleet.core(node).topology().hostList().zones()) {
                ASSERT_TRUE(fleet.core(node).zoneKnown(zone, fleet.now())) << zone << " at " << fleet.hostOf(node);
                const auto summary = fleet.core(node).zoneSummary(zone, fleet.now());
                EXPECT_EQ(summary->lowest, number) << zone << " at " << fleet.hostOf(node);
                EXPECT_EQ(summary->liveHosts, 40U);
            }
        }
    }
}
