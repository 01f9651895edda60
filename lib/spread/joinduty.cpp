// Decides when a joining node may serve.
#include "jasminemast/spread/joinduty.h"

#include <algorithm>

namespace jasminemast
{

JoinDuty::JoinDuty(const SpreadSettings &settings)
    : m_settings(settings)
{
}

void JoinDuty::restart(TimePoint now)
{
    m_readiness = Readiness::Joining;
    m_startedAt = now;
    m_asked.clear();
    m_answered.clear();
    m_sourceAnswered = false;
}

void JoinDuty::asked(const std::vector<HostId> &peers)
{
    m_asked.insert(peers.begin(), peers.end());
}

void JoinDuty::peerAnswered(const HostId &host)
{
    if (m_readiness != Readiness::Ready) {
        m_answered.insert(host);
    }
}

void JoinDuty::sourceAnswered()
{
    m_sourceAnswered = true;
}

Readiness JoinDuty::review(bool caughtUp, TimePoint now)
{
    if (m_readiness == Readiness::Ready) {
        return m_readiness;
    }
    if (!m_startedAt) {
        m_startedAt = now;
    }
    const bool allAsked
        = std::all_of(m_asked.begin(), m_asked.end(), [this](const HostId &host) { return m_answered.contains(host); });
    const bool anyAnswer = m_sourceAnswered || !m_answered.empty();
    const bool waitOver = now - *m_startedAt >= m_settings.joinWait;
    const bool allAnswered = allAsked && m_sourceAnswered;
    if (waitOver) {
        m_readiness = Readiness::Degraded;
    }
    if (caughtUp && (allAnswered || (anyAnswer && waitOver))) {
        m_readiness = Readiness::Ready;
    }
    return m_readiness;
}

} // namespace jasminemast
