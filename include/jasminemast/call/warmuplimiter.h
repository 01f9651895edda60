// Limits the rate of requests to a target that warms up after its start.
#pragma once

#include "jasminemast/support/clock.h"

#include <algorithm>
#include <cstddef>

namespace jasminemast
{

/// Token bucket beside one target. Only the node beside a target sends to it, so that the limit is exact.
///
/// Invariant: while the target warms up, in any second at most 1.5 times the rate starts, plus one. The bucket is empty
/// at first and whenever a warm-up begins: a process before this one, or this one before it knew, may just have sent.
class WarmUpLimiter
{
public:
    /// \p requestsPerSecond that the target bears while it warms up; 0: no limit.
    void setRate(double requestsPerSecond, TimePoint now);
    /// The registry reported that the target warms up until \p until. Reports may be seconds old, so that they do not
    /// end an assumption.
    void report(TimePoint until, TimePoint now);
    /// The target itself responded that it warms up until \p until.
    void confirm(TimePoint until, TimePoint now);
    /// The target may have started again, or may have cooled down: it is taken to warm up until \p until, unless it
    /// responds otherwise.
    void assume(TimePoint until, TimePoint now);

    [[nodiscard]] bool isLimiting(TimePoint now) const
    {
        return m_rate > 0 && now < warmedUpAt();
    }
    /// True until the target has confirmed or contradicted an assumption, or it has become obsolete.
    [[nodiscard]] bool isAssuming(TimePoint now) const
    {
        return m_rate > 0 && now < m_assumedUntil;
    }
    [[nodiscard]] bool mayStart(TimePoint now) const
    {
        return !isLimiting(now) || tokensAt(now) >= 1;
    }
    void recordStart(TimePoint now);
    /// When the \p count th request from now on may start.
    [[nodiscard]] TimePoint startOf(std::size_t count, TimePoint now) const;
    [[nodiscard]] double rate() const
    {
        return m_rate;
    }

private:
    [[nodiscard]] double maxTokens() const;
    [[nodiscard]] double tokensAt(TimePoint now) const;
    [[nodiscard]] TimePoint warmedUpAt() const
    {
        return std::max(m_reportedUntil, m_assumedUntil);
    }
    /// Empties the bucket if the target did not warm up before, and does so until \p until.
    void beginUntil(TimePoint until, TimePoint now);

    double m_rate = 0;
    double m_tokens = 0; ///< at m_refilledAt
    TimePoint m_refilledAt;
    TimePoint m_reportedUntil; ///< by the registry or the target
    TimePoint m_assumedUntil;
};

} // namespace jasminemast
