// Decides whether this node is ready: whether it runs the newest configuration that its peers and the service report.
#pragma once

#include "jasminemast/spread/settings.h"
#include "jasminemast/spread/spreadevents.h"

#include <optional>
#include <set>

namespace jasminemast
{

/// Invariant: the node becomes Ready only after a message of a peer or a response of the configuration service has
/// arrived since restart() and all accepted tickets that they reported have been applied.
class ReadinessTracker
{
public:
    explicit ReadinessTracker(const SpreadSettings &settings);

    /// Returns to Joining, at the start of the process and after a pause.
    void restart(TimePoint now);
    /// Records the peers that were queried for their heads.
    void notePeersQueried(const std::vector<HostId> &peers);
    void onPeerMessage(const HostId &host);
    void onServiceResponse();
    /// Updates and returns the readiness.
    /// \param caughtUp true when all accepted tickets known to this node are applied
    Readiness update(bool caughtUp, TimePoint now);
    [[nodiscard]] Readiness readiness() const
    {
        return m_readiness;
    }
    /// True until peers have been queried or the node is ready.
    [[nodiscard]] bool needsPeerQuery() const
    {
        return m_readiness != Readiness::Ready && m_queriedPeers.empty();
    }

private:
    const SpreadSettings &m_settings;
    Readiness m_readiness = Readiness::Joining;
    std::optional<TimePoint> m_startedAt;
    std::set<HostId> m_queriedPeers; ///< peers that were queried for their heads
    std::set<HostId> m_repliedPeers; ///< peers that sent a message since restart()
    bool m_serviceResponded = false;
};

} // namespace jasminemast
