// Token bucket that only counts during a warm-up.
#include "jasminemast/call/warmuplimiter.h"

#include <algorithm>

namespace jasminemast
{

namespace
{

/// Capacity of the bucket, as time at the full rate.
constexpr std::chrono::duration<double> BurstTime {0.5};

} // namespace

double WarmUpLimiter::maxTokens() const
{
    return std::max(1.0, m_rate * BurstTime.count());
}

double WarmUpLimiter::tokensAt(TimePoint now) const
{
    const std::chrono::duration<double> since = now - m_refilledAt;
    return std::min(maxTokens(), m_tokens + m_rate * std::max(since.count(), 0.0));
}

void WarmUpLimiter::setRate(double requestsPerSecond, TimePoint now)
{
    if (requestsPerSecond == m_rate) {
        return;
    }
    m_rate = requestsPerSecond;
    m_tokens = 0;
    m_refilledAt = now;
}

void WarmUpLimiter::beginUntil(TimePoint until, TimePoint now)
{
    if (now >= warmedUpAt() && now < until) {
        m_tokens = 0;
        m_refilledAt = now;
    }
}

void WarmUpLimiter::report(TimePoint until, TimePoint now)
{
    beginUntil(until, now);
    m_reportedUntil = until;
}

void WarmUpLimiter::confirm(TimePoint until, TimePoint now)
{
    report(until, now);
    m_assumedUntil = TimePoint();
}

void WarmUpLimiter::assume(TimePoint until, TimePoint now)
{
    beginUntil(until, now);
    m_assumedUntil = std::max(until, m_assumedUntil);
}

void WarmUpLimiter::recordStart(TimePoint now)
{
    if (!isLimiting(now)) {
        return;
    }
    m_tokens = tokensAt(now) - 1;
    m_refilledAt = now;
}

TimePoint WarmUpLimiter::startOf(std::size_t count, TimePoint now) const
{
    if (!isLimiting(now)) {
        return now;
    }
    const double missing = static_cast<double>(count) - tokensAt(now);
    if (missing <= 0) {
        return now;
    }
    const std::chrono::duration<double> wait(missing / m_rate);
    return std::min(warmedUpAt(), now + std::chrono::duration_cast<Duration>(wait));
}

} // namespace jasminemast
