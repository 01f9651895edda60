// Hosts that this node considers usable, and which of them hold which role.
#pragma once

#include "jasminemast/member/hostlist.h"
#include "jasminemast/member/membership.h"
#include "jasminemast/member/zonetable.h"
#include "jasminemast/spread/settings.h"

#include <set>

namespace jasminemast
{

/// Identity and location of this process.
struct NodeIdentity
{
    HostId host;
    ZoneId zone;
    RegionId region;
    Incarnation incarnation;
};

/// Whether calls may be sent to a host.
enum class HostAvailability {
    Live,
    Leaving, ///< accepts no new calls
    Dead,
    Unknown, ///< its zone has sent no recent summary, or the host is not listed
};

/// Combines the host list, the liveness of the local zone and the summaries of other zones.
class Topology
{
public:
    Topology(NodeIdentity self, const SpreadSettings &settings, const Membership &membership,
             const ZoneTable &zoneTable);

    /// Replaces the host list by that of the platform. Hosts of the local zone that it lacks stay listed while alive.
    void setHostList(const HostList &list);
    void setSelfLeaving();
    /// Records whether the process on \p host reports that it drains.
    void setHostLeaving(const HostId &host, bool leaving);

    [[nodiscard]] const HostList &hostList() const
    {
        return m_list;
    }
    [[nodiscard]] const NodeIdentity &self() const
    {
        return m_self;
    }
    [[nodiscard]] bool selfLeaving() const;
    [[nodiscard]] bool isListed(const HostId &host) const
    {
        return m_list.find(host) != nullptr;
    }
    [[nodiscard]] bool sameZone(const HostId &host) const;
    [[nodiscard]] bool sameRegion(const HostId &host) const;
    [[nodiscard]] bool inStoreRegion() const;

    [[nodiscard]] HostAvailability availability(const HostId &host, TimePoint now) const;
    /// Changes whenever the usable hosts of the local zone may have changed.
    [[nodiscard]] std::uint64_t revision() const
    {
        return m_membership.revision();
    }
    /// Hosts of \p zone that may hold roles: neither dead nor leaving, and in the local zone not suspected either. This
    /// host is included in its zone unless it is leaving.
    [[nodiscard]] std::vector<HostId> usableInZone(const ZoneId &zone, TimePoint now) const;
    [[nodiscard]] std::vector<HostId> usableInRegion(const RegionId &region, TimePoint now) const;
    /// Hosts of \p zone by priority as readers, which watch the service.
    [[nodiscard]] std::vector<HostId> readerOrder(const ZoneId &zone, TimePoint now) const;
    /// Hosts of \p region by priority for fetching ticket \p number into the region.
    [[nodiscard]] std::vector<HostId> fetchOrder(const RegionId &region, TicketNumber number, TimePoint now) const;
    /// Number of readers in each zone of \p region.
    [[nodiscard]] unsigned readersPerZone(const RegionId &region) const;
    [[nodiscard]] std::vector<RegionId> otherRegions() const;
    [[nodiscard]] std::vector<ZoneId> otherZones(bool localRegionOnly) const;

private:
    [[nodiscard]] HostList withReachablePeers(const HostList &list) const;

    NodeIdentity m_self;
    const SpreadSettings &m_settings;
    const Membership &m_membership;
    const ZoneTable &m_zoneTable;
    HostList m_list;
    std::map<ZoneId, RegionId> m_zoneRegions;
    std::set<HostId> m_leaving; ///< hosts whose process reported that it drains
    bool m_selfLeaving = false;
};

} // namespace jasminemast
