// Decorrelated jitter between attempts, so that a herd of nodes spreads its retries.
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
        , m_last(base)
    {
    }

    /// The next delay: uniform between the base and three times the last delay, at most the cap.
    Milliseconds next(Random &random)
    {
        const auto span = std::max<std::int64_t>(1, m_last.count() * 3 - m_base.count());
        const auto delay
            = m_base.count() + static_cast<std::int64_t>(random.nextBelow(static_cast<std::uint64_t>(span)));
        m_last = std::min(m_cap, Milliseconds(delay));
        return m_last;
    }

    void reset()
    {
        m_last = m_base;
    }

private:
    Milliseconds m_base;
    Milliseconds m_cap;
    Milliseconds m_last;
};

} // namespace jasminemast
