// Distributes the calls of a route over its services in proportion to their weights.
#pragma once

#include "jasminemast/config/state.h"

#include <map>
#include <vector>

namespace jasminemast
{

/// Smooth weighted round robin for each route of one node.
///
/// Invariant: after any number of calls, the count of each service differs from its share by less than the number of
/// services.
class RouteSplit
{
public:
    /// The service for the next call on \p route.
    const ServiceId &next(const Route &route);

private:
    struct RouteState
    {
        std::vector<WeightedService> services; ///< with the weights that the credits were computed from
        std::vector<double> credits; ///< one for each service; their sum is zero
    };

    std::map<RouteId, RouteState> m_states;
};

} // namespace jasminemast
