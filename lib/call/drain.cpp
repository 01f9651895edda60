// Reasons to drain and their announcement.
#include "jasminemast/call/drain.h"

namespace jasminemast
{

DrainAction Drain::setReason(DrainReason reason, bool applies, TimePoint now)
{
    const bool before = leaving();
    if (applies) {
        m_reasons.insert(reason);
    } else if (reason != DrainReason::Signal) {
        m_reasons.erase(reason);
    }
    if (leaving() == before) {
        return DrainAction::None;
    }
    m_nextAnnouncement = now + m_limits.repeatAnnouncement;
    return leaving() ? DrainAction::AnnounceLeaving : DrainAction::AnnounceReturn;
}

DrainAction Drain::onHealth(bool draining, TimePoint now)
{
    if (draining) {
        m_okProbes = 0;
        return setReason(DrainReason::HealthPage, true, now);
    }
    ++m_okProbes;
    if (m_okProbes < m_limits.okProbesToReturn) {
        return DrainAction::None;
    }
    return setReason(DrainReason::HealthPage, false, now);
}

DrainAction Drain::tick(TimePoint now)
{
    if (!leaving() || now < m_nextAnnouncement) {
        return DrainAction::None;
    }
    m_nextAnnouncement = now + m_limits.repeatAnnouncement;
    return DrainAction::AnnounceLeaving;
}

} // namespace jasminemast
