// Longest timeout of each route over two windows.
#include "jasminemast/call/callerwaitestimator.h"

#include <algorithm>

namespace jasminemast
{

Duration CallerWaitEstimator::observe(const RouteId &route, Duration timeout, TimePoint now)
{
    if (m_timeouts.size() >= MaxRoutes && !m_timeouts.contains(route)) {
        m_timeouts.clear();
    }
    RouteTimeouts &timeouts = m_timeouts[route];
    if (now >= timeouts.windowEnd) {
        const bool isRecent = now < timeouts.windowEnd + Window;
        timeouts.previous = isRecent ? timeouts.current : Duration::zero();
        timeouts.current = Duration::zero();
        timeouts.windowEnd = now + Window;
    }
    timeouts.current = std::max(timeouts.current, timeout);
    return std::max(timeouts.current, timeouts.previous) - timeout;
}

} // namespace jasminemast
