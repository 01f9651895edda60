// Pauses seen as gaps of the monotonic clock.
#include "jasminemast/call/pausedetector.h"

namespace jasminemast
{

std::optional<Duration> PauseDetector::observe(TimePoint now)
{
    const Duration gap = now - m_lastObservation;
    m_lastObservation = now;
    if (gap <= m_limits.threshold) {
        return std::nullopt;
    }
    m_pauseEnd = now;
    m_pauseLength = gap;
    return gap;
}

ArrivalTime PauseDetector::arrivalTime(TimePoint now) const
{
    const Duration maxAge = now - m_pauseEnd < m_limits.backlogWindow ? m_pauseLength : Duration::zero();
    return {now - maxAge, now};
}

} // namespace jasminemast
