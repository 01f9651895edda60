// Smooth weighted round robin.
#include "jasminemast/call/split.h"

#include <algorithm>

namespace jasminemast
{

const ServiceId &RouteSplit::next(const Route &route)
{
    if (route.split.empty()) {
        m_turns.erase(route.id);
        return route.service;
    }
    Turn &turn = m_turns[route.id];
    if (turn.parts != route.split) {
        turn = Turn {route.split, std::vector<double>(route.split.size(), 0)};
    }
    double sum = 0;
    for (std::size_t i = 0; i < turn.parts.size(); ++i) {
        turn.credits[i] += turn.parts[i].weight;
        sum += turn.parts[i].weight;
    }
    const auto most = std::max_element(turn.credits.begin(), turn.credits.end());
    *most -= sum;
    return route.split[static_cast<std::size_t>(most - turn.credits.begin())].service;
}

} // namespace jasminemast
