// Detection of pauses: a process that was stopped wakes up believing old things.
#pragma once

#include "jasminemast/support/clock.h"

#include <optional>

namespace jasminemast
{

struct PauseDetectorLimits
{
    Duration threshold = std::chrono::milliseconds(500); ///< a longer gap between two observations is a pause
    Duration backlogWindow = std::chrono::milliseconds(200); ///< for how long after a pause input may be old
};

/// Watches the gaps between observations of the clock.
///
/// The owner observes at the start of each turn of its event loop, and at least several times per threshold.
class PauseDetector
{
public:
    PauseDetector(const PauseDetectorLimits &limits, TimePoint now)
        : m_limits(limits)
        , m_last(now)
    {
    }

    /// Returns the length of a pause that ended just now: the node then drops ready and fetches the head again.
    std::optional<Duration> observe(TimePoint now);

    /// How long a message read now may have waited unread because of a pause; to be taken off its remaining time.
    [[nodiscard]] Duration inputAge(TimePoint now) const;

private:
    PauseDetectorLimits m_limits;
    TimePoint m_last; ///< latest observation
    TimePoint m_wokeAt; ///< end of the latest pause
    Duration m_gap {0}; ///< length of the latest pause
};

} // namespace jasminemast
