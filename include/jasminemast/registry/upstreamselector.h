// Chooses where a node reads the registry's records: at the registry, or at a peer that passes them on.
//
// The nodes of an availability zone form a tree over the hosts in rendezvous order; the roots of a region's zones are
// children of the root of one of them, which reads the registry. The tree follows from the hosts alone, without an
// election: nodes that disagree for a while only cost a few more reads.
#pragma once

#include "jasminemast/support/clock.h"
#include "jasminemast/support/ids.h"

#include <map>
#include <optional>
#include <vector>

namespace jasminemast
{

/// A host whose node passes records on.
struct RegistryPeer
{
    HostId host;
    ZoneId zone;
    RegionId region;

    auto operator<=>(const RegistryPeer &) const = default;
};

struct UpstreamLimits
{
    std::size_t fanOut = 8; ///< children of a node within its zone
    std::size_t standbys = 2; ///< hosts after a root that stand in for it
};

/// State machine without I/O.
///
/// Invariant: in nodes with the same hosts, the candidates of a node come before it in the order of its zone or region,
/// so that no two nodes read at each other.
class UpstreamSelector
{
public:
    explicit UpstreamSelector(RegistryPeer self, UpstreamLimits limits = {});

    /// Replaces the hosts of the tree; the own host need not be among them.
    void setPeers(std::vector<RegistryPeer> peers);
    /// The host to read at; nothing: the registry.
    [[nodiscard]] std::optional<HostId> choose(TimePoint now) const;
    /// The host to read at while the registry fails: also hosts that come after this node, which may be at this node in
    /// turn, so that their records must be as recent as they say.
    [[nodiscard]] std::optional<HostId> chooseFallback(TimePoint now) const;
    /// All hosts of the tree, in an order that does not depend on the node.
    [[nodiscard]] const std::vector<RegistryPeer> &peers() const
    {
        return m_peers;
    }
    /// Does not choose \p host before \p until.
    void exclude(const HostId &host, TimePoint until);
    /// When an excluded candidate can be chosen again; TimePoint::max() if none is excluded.
    [[nodiscard]] TimePoint nextAvailable(TimePoint now) const;

    /// The hosts to read at, best first; empty if this node is to read the registry.
    [[nodiscard]] const std::vector<HostId> &candidates() const
    {
        return m_candidates;
    }
    /// Number of the zone's hosts that come before this node.
    [[nodiscard]] std::size_t rank() const
    {
        return m_rank;
    }

private:
    [[nodiscard]] std::optional<HostId> firstAvailable(const std::vector<HostId> &hosts, TimePoint now) const;
    void findZoneCandidates(const std::vector<HostId> &order);
    void findRegionCandidates();
    [[nodiscard]] std::vector<HostId> hostsOf(const ZoneId &zone) const;

    RegistryPeer m_self;
    UpstreamLimits m_limits;
    std::vector<RegistryPeer> m_peers; ///< sorted
    std::vector<HostId> m_candidates;
    std::vector<HostId> m_fallbacks; ///< the hosts after this node
    std::map<HostId, TimePoint> m_excludedUntil;
    std::size_t m_rank = 0;
};

} // namespace jasminemast
