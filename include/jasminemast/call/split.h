// Divides the calls of a route among its services exactly by weight.
#pragma once

#include "jasminemast/config/state.h"

#include <map>
#include <vector>

namespace jasminemast
{

/// Smooth weighted round robin for each route of one node.
///
/// Invariant: after any number of calls, each service's count is less than one call per service away from its share.
class RouteSplit
{
public:
    /// The service of the next call on \p route.
    const ServiceId &next(const Route &route);

private:
    struct Turn
    {
        std::vector<WeightedService> parts; ///< weights that the credits belong to
        std::vector<double> credits; ///< of each part; their sum is zero
    };

    std::map<RouteId, Turn> m_turns;
};

} // namespace jasminemast
