// Smooth weighted round robin.
#include "jasminemast/call/split.h"

#include <algorithm>

namespace jasminemast
{

const ServiceId &RouteSplit::next(const Route &route)
{
    if (route.split.empty()) {
        m_states.erase(route.id);
        return route.service;
    }
    RouteState &state = m_states[route.id];
    if (state.services != route.split) {
        state = RouteState {route.split, std::vector<double>(route.split.size(), 0)};
    }
    double sum = 0;
    for (std::size_t i = 0; i < state.services.size(); ++i) {
        state.credits[i] += state.services[i].weight;
        sum += state.services[i].weight;
    }
    const auto highest = std::max_element(state.credits.begin(), state.credits.end());
    *highest -= sum;
    return route.split[static_cast<std::size_t>(highest - state.credits.begin())].service;
}

} // namespace jasminemast
