// Retry delays with decorrelated jitter, so that many nodes do not retry at the same time.
#pragma once

#include "jasminemast/support/clock.h"
#include "jasminemast/support/random.h"

#include <algorithm>

namespace jasminemast
{

class Backoff
{
public:
    Backoff(Milliseconds base, Milliseconds cap)
        : m_base(base)
        , m_cap(cap)
        , m_lastDelay(base)
    {
    }

    /// Returns a delay drawn uniformly between the base and three times the last delay, limited by the cap.
    Milliseconds next(Random &random)
    {
        const auto span = std::max<std::int64_t>(1, m_lastDelay.count() * 3 - m_base.count());
        const auto delay
            = m_base.count() + static_cast<std::int64_t>(random.nextBelow(static_cast<std::uint64_t>(span)));
        m_lastDelay = std::min(m_cap, Milliseconds(delay));
        return m_lastDelay;
    }

    void reset()
    {
        m_lastDelay = m_base;
    }

private:
    Milliseconds m_base;
    Milliseconds m_cap;
    Milliseconds m_lastDelay;
};

} // namespace jasminemast
