// Maxima over two windows.
#include "jasminemast/call/routemaxima.h"

#include <algorithm>

namespace jasminemast
{

void RouteMaxima::record(const RouteId &route, Duration duration, TimePoint now)
{
    if (m_maxima.size() >= MaxRoutes && !m_maxima.contains(route)) {
        m_maxima.clear();
    }
    Maximum &maximum = m_maxima[route];
    if (now >= maximum.windowEnd) {
        const bool isRecent = now < maximum.windowEnd + Window;
        maximum.previous = isRecent ? maximum.current : Duration::zero();
        maximum.current = Duration::zero();
        maximum.windowEnd = now + Window;
    }
    maximum.current = std::max(maximum.current, duration);
}

std::optional<Duration> RouteMaxima::recent(const Maximum &maximum, TimePoint now)
{
    if (now < maximum.windowEnd) {
        return std::max(maximum.current, maximum.previous);
    }
    return now < maximum.windowEnd + Window ? std::optional(maximum.current) : std::nullopt;
}

std::optional<Duration> RouteMaxima::longest(const RouteId &route, TimePoint now) const
{
    const auto found = m_maxima.find(route);
    return found == m_maxima.end() ? std::nullopt : recent(found->second, now);
}

std::optional<Duration> RouteMaxima::longestOfAll(TimePoint now) const
{
    std::optional<Duration> longest;
    for (const auto &[route, maximum] : m_maxima) {
        longest = std::max(longest, recent(maximum, now));
    }
    return longest;
}

} // namespace jasminemast
