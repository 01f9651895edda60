// Longest deadlines over two windows.
#include "jasminemast/call/callerwaitestimator.h"

#include <algorithm>

namespace jasminemast
{

Duration CallerWaitEstimator::observe(const RouteId &route, Duration deadline, TimePoint now)
{
    if (m_longest.size() >= MaxRoutes && !m_longest.contains(route)) {
        m_longest.clear();
    }
    Longest &longest = m_longest[route];
    if (now >= longest.windowEnd) {
        const bool isRecent = now < longest.windowEnd + Window;
        longest.previous = isRecent ? longest.current : Duration::zero();
        longest.current = Duration::zero();
        longest.windowEnd = now + Window;
    }
    longest.current = std::max(longest.current, deadline);
    return std::max(longest.current, longest.previous) - deadline;
}

} // namespace jasminemast
