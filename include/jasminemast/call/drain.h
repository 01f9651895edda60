// Leaving: why a node or an endpoint takes no new calls, and when what it accepted is finished.
#pragma once

#include "jasminemast/support/clock.h"

#include <cstddef>
#include <cstdint>
#include <set>

namespace jasminemast
{

/// Who asked for the draining.
enum class DrainReason : std::uint8_t {
    Signal, ///< SIGTERM to the node
    HealthPage, ///< the target's health page says "draining"
    HostList, ///< the host list calls the host leaving
    Ticket, ///< the endpoint's ticket says draining
};

struct DrainLimits
{
    unsigned okProbesToReturn = 3; ///< health pages in a row that must say otherwise before new calls are taken again
    Duration repeatAnnouncement = std::chrono::seconds(1);
};

/// What the owner of a Drain is to do.
enum class DrainAction : std::uint8_t {
    None,
    AnnounceLeaving, ///< tell every link that no new calls are taken
    AnnounceBack, ///< tell every link that calls are taken again
};

/// The draining state of one endpoint.
///
/// New calls are refused beside the target from the first reason on, whether or not the announcement gets through.
class Drain
{
public:
    explicit Drain(const DrainLimits &limits)
        : m_limits(limits)
    {
    }

    /// A reason begins or ceases to hold. A signal never ceases.
    DrainAction set(DrainReason reason, bool holds, TimePoint now);
    /// A health page was read. One "draining" is enough to leave, several others are needed to return.
    DrainAction onHealth(bool draining, TimePoint now);
    /// Repeats the announcement for links that missed it.
    DrainAction tick(TimePoint now);

    [[nodiscard]] bool leaving() const
    {
        return !m_reasons.empty();
    }

private:
    DrainLimits m_limits;
    std::set<DrainReason> m_reasons; ///< reasons that hold now
    unsigned m_okProbes = 0; ///< health pages in a row that did not say "draining"
    TimePoint m_nextAnnouncement;
};

} // namespace jasminemast
