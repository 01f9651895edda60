// Which hosts this node takes for usable, in its zone and elsewhere, and who holds which duty among them.
#pragma once

#include "jasminemast/member/hostlist.h"
#include "jasminemast/member/membership.h"
#include "jasminemast/member/zonetable.h"
#include "jasminemast/spread/settings.h"

#include <set>

namespace jasminemast
{

/// Place and identity of this process.
struct NodeIdentity
{
    HostId host;
    ZoneId zone;
    RegionId region;
    Incarnation incarnation;
};

/// What the calling side may do with a host.
enum class HostAvailability {
    Live,
    Leaving, ///< takes no new work
    Dead,
    Unknown, ///< its zone has been silent for too long, or the host is not listed
};

/// Joins host list, own zone's liveness and other zones' summaries.
class Topology
{
public:
    Topology(NodeIdentity self, const SpreadSettings &settings, const Membership &membership,
             const ZoneTable &zoneTable);

    /// Takes the platform's list. Hosts of the own zone that it lacks stay while they answer.
    void setHostList(const HostList &list);
    void setSelfLeaving();
    /// Remembers whether the process on \p host says that it drains.
    void noteLeaving(const HostId &host, bool leaving);

    [[nodiscard]] const HostList &hostList() const
    {
        return m_list;
    }
    [[nodiscard]] const NodeIdentity &self() const
    {
        return m_self;
    }
    [[nodiscard]] bool selfLeaving() const;
    [[nodiscard]] bool known(const HostId &host) const
    {
        return m_list.find(host) != nullptr;
    }
    [[nodiscard]] bool sameZone(const HostId &host) const;
    [[nodiscard]] bool sameRegion(const HostId &host) const;
    [[nodiscard]] bool inStoreRegion() const;

    [[nodiscard]] HostAvailability condition(const HostId &host, TimePoint now) const;
    /// Changes whenever the usable hosts of the own zone may have changed.
    [[nodiscard]] std::uint64_t revision() const
    {
        return m_membership.revision();
    }
    /// Hosts of \p zone that may hold duties: neither dead nor leaving, in the own zone not even suspected; this host
    /// is among them in its own zone unless it leaves.
    [[nodiscard]] std::vector<HostId> usableInZone(const ZoneId &zone, TimePoint now) const;
    [[nodiscard]] std::vector<HostId> usableInRegion(const RegionId &region, TimePoint now) const;
    /// Hosts of \p zone in the order in which they are to watch the service.
    [[nodiscard]] std::vector<HostId> readerOrder(const ZoneId &zone, TimePoint now) const;
    /// Hosts of \p region in the order in which they are to bring ticket \p number into it.
    [[nodiscard]] std::vector<HostId> fetchOrder(const RegionId &region, TicketNumber number, TimePoint now) const;
    /// Number of readers that a zone of \p region keeps.
    [[nodiscard]] unsigned readersPerZone(const RegionId &region) const;
    [[nodiscard]] std::vector<RegionId> otherRegions() const;
    [[nodiscard]] std::vector<ZoneId> otherZones(bool ownRegionOnly) const;

private:
    [[nodiscard]] HostList withAnsweringPeers(const HostList &list) const;

    NodeIdentity m_self;
    const SpreadSettings &m_settings;
    const Membership &m_membership;
    const ZoneTable &m_zoneTable;
    HostList m_list;
    std::map<ZoneId, RegionId> m_zoneRegions;
    std::set<HostId> m_leaving; ///< hosts whose process said that it drains
    bool m_selfLeaving = false;
};

} // namespace jasminemast
