// Decides when a joining node may accept calls.
#include "jasminemast/spread/readinesstracker.h"

#include <algorithm>

namespace jasminemast
{

ReadinessTracker::ReadinessTracker(const SpreadSettings &settings)
    : m_settings(settings)
{
}

void ReadinessTracker::restart(TimePoint now)
{
    m_readiness = Readiness::Joining;
    m_startedAt = now;
    m_queriedPeers.clear();
    m_repliedPeers.clear();
    m_serviceResponded = false;
}

void ReadinessTracker::notePeersQueried(const std::vector<HostId> &peers)
{
    m_queriedPeers.insert(peers.begin(), peers.end());
}

void ReadinessTracker::onPeerMessage(const HostId &host)
{
    if (m_readiness != Readiness::Ready) {
        m_repliedPeers.insert(host);
    }
}

void ReadinessTracker::onServiceResponse()
{
    m_serviceResponded = true;
}

Readiness ReadinessTracker::update(bool caughtUp, TimePoint now)
{
    if (m_readiness == Readiness::Ready) {
        return m_readiness;
    }
    if (!m_startedAt) {
        m_startedAt = now;
    }
    const bool allPeersReplied = std::all_of(m_queriedPeers.begin(), m_queriedPeers.end(),
                                             [this](const HostId &host) { return m_repliedPeers.contains(host); });
    const bool anyReply = m_serviceResponded || !m_repliedPeers.empty();
    const bool waitExpired = now - *m_startedAt >= m_settings.joinWait;
    const bool allReplied = allPeersReplied && m_serviceResponded;
    if (waitExpired) {
        m_readiness = Readiness::Degraded;
    }
    if (caughtUp && (allReplied || (anyReply && waitExpired))) {
        m_readiness = Readiness::Ready;
    }
    return m_readiness;
}

} // namespace jasminemast
