// Draining: the reasons why an endpoint takes no new calls, and when to announce it.
#pragma once

#include "jasminemast/support/clock.h"

#include <cstddef>
#include <cstdint>
#include <set>

namespace jasminemast
{

/// Why an endpoint drains.
enum class DrainReason : std::uint8_t {
    Signal, ///< SIGTERM to the node
    HealthPage, ///< the target's health page says "draining"
    HostList, ///< the host list marks the host as leaving
    Ticket, ///< a ticket marks the endpoint as draining
    Evacuation, ///< the zone of the host is evacuated
};

struct DrainLimits
{
    unsigned okProbesToReturn = 3; ///< consecutive health pages without "draining" before new calls are accepted again
    Duration repeatAnnouncement = std::chrono::seconds(1);
};

/// What the owner of a Drain is to do.
enum class DrainAction : std::uint8_t {
    None,
    AnnounceLeaving, ///< announce on every link that the endpoint takes no new calls
    AnnounceReturn, ///< announce on every link that the endpoint takes calls again
};

/// The draining state of one endpoint.
///
/// While any reason applies, the target's node refuses new calls, whether or not the announcement arrives.
class Drain
{
public:
    explicit Drain(const DrainLimits &limits)
        : m_limits(limits)
    {
    }

    /// A reason begins to apply, or no longer applies. Signal applies until the process ends.
    DrainAction setReason(DrainReason reason, bool applies, TimePoint now);
    /// A health page was read. A single "draining" starts the draining; several other pages in a row end it.
    DrainAction onHealth(bool draining, TimePoint now);
    /// Repeats the announcement for links on which it was lost.
    DrainAction tick(TimePoint now);

    [[nodiscard]] bool leaving() const
    {
        return !m_reasons.empty();
    }

private:
    DrainLimits m_limits;
    std::set<DrainReason> m_reasons; ///< reasons that apply at present
    unsigned m_okProbes = 0; ///< consecutive health pages without "draining"
    TimePoint m_nextAnnouncement;
};

} // namespace jasminemast
