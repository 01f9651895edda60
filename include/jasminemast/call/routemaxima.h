// The longest recent duration of each route.
#pragma once

#include "jasminemast/support/clock.h"
#include "jasminemast/support/ids.h"

#include <map>
#include <optional>

namespace jasminemast
{

/// The longest duration that was recorded for each route in the last one to two windows.
class RouteMaxima
{
public:
    static constexpr Duration Window = std::chrono::seconds(10);
    static constexpr std::size_t MaxRoutes = 4'096; ///< when the table is full, a new route clears it

    void record(const RouteId &route, Duration duration, TimePoint now);
    /// Nothing if none was recorded recently.
    [[nodiscard]] std::optional<Duration> longest(const RouteId &route, TimePoint now) const;
    /// The longest of all routes.
    [[nodiscard]] std::optional<Duration> longestOfAll(TimePoint now) const;

private:
    struct Maximum
    {
        Duration current {0}; ///< in the current window
        Duration previous {0}; ///< in the window before
        TimePoint windowEnd;
    };

    [[nodiscard]] static std::optional<Duration> recent(const Maximum &maximum, TimePoint now);

    std::map<RouteId, Maximum> m_maxima;
};

} // namespace jasminemast
