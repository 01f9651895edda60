// Distribution of a route's calls by weight.
#include "jasminemast/call/split.h"

#include <gtest/gtest.h>

#include <cmath>

using namespace jasminemast;

namespace
{

Route splitRoute(std::vector<WeightedService> services)
{
    Route route;
    route.id = RouteId("r");
    route.service = ServiceId("plain");
    route.split = std::move(services);
    return route;
}

} // namespace

TEST(RouteSplitTest, DistributesEveryPrefixOfCallsByWeight)
{
    const std::vector<WeightedService> services {{ServiceId("a"), 90}, {ServiceId("b"), 10}, {ServiceId("c"), 0}};
    const Route route = splitRoute(services);
    RouteSplit split;
    std::map<ServiceId, int> counts;
    constexpr int Calls = 1'000;
    for (int call = 1; call <= Calls; ++call) {
        ++counts[split.next(route)];
        for (const WeightedService &weighted : services) {
            EXPECT_LT(std::abs(counts[weighted.service] - call * weighted.weight / 100.0), 2.0);
        }
    }
    EXPECT_EQ(counts[ServiceId("a")], 900);
    EXPECT_EQ(counts[ServiceId("c")], 0);
}

TEST(RouteSplitTest, AppliesNewWeightsToTheNextCall)
{
    RouteSplit split;
    split.next(splitRoute({{ServiceId("a"), 1}, {ServiceId("b"), 1}}));
    for (int call = 0; call < 10; ++call) {
        EXPECT_EQ(split.next(splitRoute({{ServiceId("a"), 0}, {ServiceId("b"), 1}})), ServiceId("b"));
    }
    EXPECT_EQ(split.next(splitRoute({})), ServiceId("plain"));
}
