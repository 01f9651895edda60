// What it costs to send a call to a target that is farther away, and how large calls are.
#pragma once

#include "jasminemast/support/clock.h"
#include "jasminemast/support/ids.h"

#include <cstdint>
#include <map>

namespace jasminemast
{

/// The way to one group of targets, as the expected time that a nearer target may take longer for the same call.
struct WayCost
{
    Milliseconds fixed {0}; ///< of each call, latency included
    double millisecondsPerKilobyte = 0; ///< of request and response, where their bytes are paid for

    [[nodiscard]] Duration of(double bytes) const;
    bool operator==(const WayCost &) const = default;
};

/// The ways out of a node's availability zone.
struct WayCosts
{
    bool isEnabled = false; ///< false: targets are chosen by distance and load alone
    WayCost zone; ///< to another zone of the region
    WayCost region; ///< to another region

    bool operator==(const WayCosts &) const = default;
};

/// Mean bytes of request and response of the calls of each route.
class CallSizes
{
public:
    static constexpr std::size_t MaxRoutes = 4'096; ///< when the table is full, a new route clears it
    static constexpr double HeadBytes = 600; ///< of both heads and their frames

    /// Records the body bytes of a call that has ended.
    void record(const RouteId &route, std::uint64_t bodyBytes);
    /// Bodies and heads; only heads while no call of the route has ended.
    [[nodiscard]] double expectedBytes(const RouteId &route) const;

private:
    std::map<RouteId, double> m_bodyBytes;
};

} // namespace jasminemast
