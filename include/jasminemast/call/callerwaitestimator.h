// Estimates how long a caller has already waited before this request, from the deadline in the request.
#pragma once

#include "jasminemast/call/routemaxima.h"

namespace jasminemast
{

/// Callers of one route start with about the same timeout and send what is left of it when they retry after a refusal.
/// The difference to the longest timeout seen recently on the route is the time that the caller has already waited. The
/// estimate may only affect the order in which calls are served, because a caller that always uses a short timeout
/// appears to have waited.
class CallerWaitEstimator
{
public:
    /// Records a request on \p route whose caller waits for \p timeout from now on; returns how long it has waited.
    Duration observe(const RouteId &route, Duration timeout, TimePoint now);

private:
    RouteMaxima m_timeouts;
};

} // namespace jasminemast
