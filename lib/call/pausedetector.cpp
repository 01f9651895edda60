// Gaps of the monotonic clock.
#include "jasminemast/call/pausedetector.h"

namespace jasminemast
{

std::optional<Duration> PauseDetector::observe(TimePoint now)
{
    const Duration gap = now - m_last;
    m_last = now;
    if (gap <= m_limits.threshold) {
        return std::nullopt;
    }
    m_wokeAt = now;
    m_gap = gap;
    return gap;
}

Duration PauseDetector::inputAge(TimePoint now) const
{
    return now - m_wokeAt < m_limits.backlogWindow ? m_gap : Duration::zero();
}

} // namespace jasminemast
