// Runs a fault case on one fleet per shipped profile.
#include "faultcase.h"

#include "jasminemast/settings/nodesettings.h"

#include <gtest/gtest.h>

namespace jasminemast
{

namespace
{

std::string laggingNodes(const FakeFleet &fleet, const std::vector<std::size_t> &nodes, TicketNumber number)
{
    std::string text;
    for (const auto node : nodes) {
        if (fleet.state(node)->number < number) {
            text += " " + fleet.hostOf(node).value() + "@" + std::to_string(fleet.state(node)->number.value());
        }
    }
    return text;
}

void runFaultCase(const SpreadSettings &settings, const std::vector<Fault> &faults, std::uint64_t seed)
{
    FakeFleet fleet({.settings = settings, .seed = seed});
    for (int i = 0; i < 3; ++i) {
        fleet.accept();
        fleet.run(Milliseconds(500));
    }
    fleet.run(Milliseconds(5000));

    std::vector<std::size_t> reachable;
    for (const auto &fault : faults) {
        fault.inject(fleet);
    }
    for (const auto node : fleet.liveNodes()) {
        bool isReachable = true;
        for (const auto &fault : faults) {
            isReachable = isReachable && fault.reachable && fault.reachable(fleet, node);
        }
        if (isReachable) {
            reachable.push_back(node);
        }
    }
    fleet.run(Milliseconds(100));
    const auto acceptedDuringFault = fleet.accept();
    EXPECT_TRUE(fleet.runUntilApplied(acceptedDuringFault, reachable, MaxReachableDelay))
        << "during the fault:" << laggingNodes(fleet, reachable, acceptedDuringFault);
    fleet.run(FaultDuration);
    const auto last = fleet.accept();
    fleet.run(Milliseconds(300));

    for (const auto &fault : faults) {
        fault.clear(fleet);
    }
    EXPECT_TRUE(fleet.runUntilApplied(last, fleet.liveNodes(), MaxRecoveryTime))
        << "after the fault:" << laggingNodes(fleet, fleet.liveNodes(), last);
    fleet.run(Milliseconds(5000));
    for (const auto node : fleet.liveNodes()) {
        EXPECT_EQ(fleet.state(node)->number, last) << fleet.hostOf(node);
        EXPECT_EQ(fleet.core(node).readiness(), Readiness::Ready) << fleet.hostOf(node);
    }
    EXPECT_TRUE(fleet.violations().empty()) << fleet.violations().front();
    EXPECT_LT(fleet.peakServiceCalls(), 2000U);
}

} // namespace

std::ostream &operator<<(std::ostream &out, const Fault &fault)
{
    return out << fault.name;
}

std::vector<SpreadSettings> profiles()
{
    std::vector<SpreadSettings> all;
    for (const auto *name : {"consorzio", "haengselvaerket"}) {
        auto settings = readNodeSettings(std::string(EXAMPLES_FOLDER "/") + name + ".json").control;
        settings.storeRegion = RegionId("r0");
        all.push_back(settings);
    }
    return all;
}

void expectConsistencyAndConvergence(const std::vector<Fault> &faults, std::uint64_t seed)
{
    int profile = 0;
    for (const auto &settings : profiles()) {
        SCOPED_TRACE("profile " + std::to_string(profile++) + ", seed " + std::to_string(seed));
        runFaultCase(settings, faults, seed);
    }
}

bool everyNode(const FakeFleet &, std::size_t)
{
    return true;
}

} // namespace jasminemast
