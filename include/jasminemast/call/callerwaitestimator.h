// How long a caller has been waiting before this request, from the deadline that it names.
#pragma once

#include "jasminemast/support/clock.h"
#include "jasminemast/support/ids.h"

#include <map>

namespace jasminemast
{

/// Callers of one route start with about the same deadline and name what is left of it when they come back after a
/// refusal. What a request lacks of the longest deadline seen lately is the time that its caller has already waited.
/// A hint for the order of service only: callers that are always in a hurry look as if they had waited.
class CallerWaitEstimator
{
public:
    static constexpr Duration Window = std::chrono::seconds(10); ///< a deadline is remembered for one or two of these
    static constexpr std::size_t MaxRoutes = 4'096; ///< remembered at once

    /// Notes a request on \p route whose caller waits for \p deadline from now on; returns for how long it has waited.
    Duration observe(const RouteId &route, Duration deadline, TimePoint now);

private:
    struct Longest
    {
        Duration current {0};
        Duration previous {0}; ///< of the window before
        TimePoint windowEnd;
    };

    std::map<RouteId, Longest> m_longest;
};

} // namespace jasminemast
