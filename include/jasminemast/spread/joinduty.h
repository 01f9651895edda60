// Readiness: whether this node knows what its reachable peers and the service know.
#pragma once

#include "jasminemast/spread/settings.h"
#include "jasminemast/spread/spreadevents.h"

#include <optional>
#include <set>

namespace jasminemast
{

/// Invariant: Ready only while a peer or the service has answered since the last (re)start and nothing that they
/// stated is missing.
class JoinDuty
{
public:
    explicit JoinDuty(const SpreadSettings &settings);

    /// Begins to join, at the start and after a pause.
    void restart(TimePoint now);
    /// Notes the peers whose heads were asked for.
    void asked(const std::vector<HostId> &peers);
    void peerAnswered(const HostId &host);
    void sourceAnswered();
    /// The readiness now. \p caughtUp: no accepted ticket that is known of is missing.
    Readiness review(bool caughtUp, TimePoint now);
    [[nodiscard]] Readiness readiness() const
    {
        return m_readiness;
    }
    /// True until peers have been asked.
    [[nodiscard]] bool wantsPeers() const
    {
        return m_readiness != Readiness::Ready && m_asked.empty();
    }

private:
    const SpreadSettings &m_settings;
    Readiness m_readiness = Readiness::Joining;
    std::optional<TimePoint> m_startedAt;
    std::set<HostId> m_asked; ///< peers whose answer is awaited or has come
    std::set<HostId> m_answered; ///< peers heard since the start
    bool m_sourceAnswered = false;
};

} // namespace jasminemast
