// Detects that the process was paused: its state, and input that arrived during the pause, may be out of date.
#pragma once

#include "jasminemast/support/clock.h"

#include <optional>

namespace jasminemast
{

struct PauseDetectorLimits
{
    Duration threshold = std::chrono::milliseconds(500); ///< a longer gap between two observations is a pause
    Duration backlogWindow
        = std::chrono::milliseconds(200); ///< input read within this time after a pause may have arrived during it
};

/// Bounds of the time at which a message that was read reached this host. They differ after a pause, since the message
/// may have arrived at any time during it, or later.
struct ArrivalTime
{
    TimePoint earliest;
    TimePoint latest;
};

/// Measures the gaps between observations of the clock.
///
/// The owner calls observe() at the start of each iteration of its event loop, and at least several times per
/// threshold.
class PauseDetector
{
public:
    PauseDetector(const PauseDetectorLimits &limits, TimePoint now)
        : m_limits(limits)
        , m_lastObservation(now)
    {
    }

    /// Returns the length of a pause that just ended; the node is then not ready until it has fetched the
    /// head of the ticket log again.
    std::optional<Duration> observe(TimePoint now);

    /// When a message read now has arrived.
    [[nodiscard]] ArrivalTime arrivalTime(TimePoint now) const;

private:
    PauseDetectorLimits m_limits;
    TimePoint m_lastObservation;
    TimePoint m_pauseEnd; ///< end of the latest pause
    Duration m_pauseLength {0}; ///< length of the latest pause
};

} // namespace jasminemast
