// Compares each timeout with the longest of its route.
#include "jasminemast/call/callerwaitestimator.h"

namespace jasminemast
{

Duration CallerWaitEstimator::observe(const RouteId &route, Duration timeout, TimePoint now)
{
    m_timeouts.record(route, timeout, now);
    return m_timeouts.longest(route, now).value_or(timeout) - timeout;
}

} // namespace jasminemast
