// The fleet-wide limit of service calls, and the traffic between regions.
#include "faultcase.h"

#include "jasminemast/spread/servicebudget.h"

#include <gtest/gtest.h>

#include <deque>

using namespace jasminemast;

namespace
{

constexpr std::size_t FleetSize = 1300;
constexpr std::size_t ServiceLimit = 2000;
constexpr std::size_t TransfersPerRegion = 1;

} // namespace

TEST(ServiceLimit, BudgetsOfFullFleetStayBelowLimit)
{
    ManualClock clock;
    std::vector<ServiceBudget> budgets(FleetSize, ServiceBudget(SpreadSettings().serviceCallsPerSecond, FleetSize));
    std::deque<TimePoint> calls;
    for (int step = 0; step < 1000; ++step) {
        clock.advance(Milliseconds(20));
        for (auto &budget : budgets) {
            if (budget.take(clock.now())) {
                calls.push_back(clock.now());
            }
        }
        while (!calls.empty() && clock.now() - calls.front() >= std::chrono::seconds(1)) {
            calls.pop_front();
        }
        ASSERT_LT(calls.size(), ServiceLimit) << "after " << step << " steps";
    }
    EXPECT_GT(calls.size(), FleetSize / 3) << "the budget must not starve the fleet";
}

TEST(ServiceLimit, SimultaneousStartStaysBelowLimit)
{
    // A tenth of the fleet with a tenth of the limit.
    constexpr unsigned Zones = 6;
    constexpr unsigned NodesPerZone = FleetSize / 10 / Zones;
    for (auto settings : profiles()) {
        // Every node is a reader: the worst case when nodes disagree on the host list.
        settings.readersPerZone = FleetSize;
        settings.awayReadersPerZone = FleetSize;
        settings.serviceCallsPerSecond /= 10;
        settings.fleetSizeUnknown /= 10;
        FakeFleet fleet({.regions = 2, .zonesPerRegion = 3, .nodesPerZone = NodesPerZone, .settings = settings});
        const auto number = fleet.accept();
        fleet.run(Milliseconds(2500));
        EXPECT_LT(fleet.peakServiceCalls(), ServiceLimit / 10);
        EXPECT_TRUE(fleet.runUntilApplied(number, fleet.liveNodes(), MaxRecoveryTime));
    }
}

TEST(RegionTraffic, SendsTicketOncePerRegion)
{
    for (const auto &settings : profiles()) {
        FakeFleet fleet({.nodesPerZone = 20, .settings = settings});
        std::string sections = R"(,"endpoints":{)";
        for (int i = 0; i < 600; ++i) {
            const auto id = sha256(std::to_string(i)).hex().substr(0, 12);
            sections += (i == 0 ? "\"" : ",\"") + id + R"(":{"host":"h1","port":9000,"slots":5})";
        }
        fleet.accept();
        fleet.run(Milliseconds(10'000));
        const auto before = fleet.bytes().ticketsBetweenRegions;
        fleet.acceptSections(sections + "}");
        fleet.run(Milliseconds(3000));
        PullReply singleReply;
        singleReply.tickets = {{fleet.chain().head().number, fleet.chain().bytes(fleet.chain().size())}};
        const auto compressed = encodePullReply(singleReply).size();
        const auto otherRegions = 2 * TransfersPerRegion;
        EXPECT_LT(static_cast<double>(fleet.bytes().ticketsBetweenRegions - before),
                  1.2 * static_cast<double>(compressed * otherRegions));
        EXPECT_EQ(fleet.ticketFetchesAcrossRegions(), 0U);
    }
}
