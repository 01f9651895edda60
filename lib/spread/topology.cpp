// Derives usable hosts and the holders of roles.
#include "jasminemast/spread/topology.h"

#include "jasminemast/member/rendezvous.h"

#include <algorithm>

namespace jasminemast
{

Topology::Topology(NodeIdentity self, const SpreadSettings &settings, const Membership &membership,
                   const ZoneTable &zoneTable)
    : m_self(std::move(self))
    , m_settings(settings)
    , m_membership(membership)
    , m_zoneTable(zoneTable)
{
}

void Topology::setHostList(const HostList &list)
{
    m_list = withReachablePeers(list);
    m_zoneRegions.clear();
    for (const auto &[host, entry] : m_list.entries()) {
        m_zoneRegions.emplace(entry.zone, entry.region);
    }
}

/// Returns \p list with the reachable hosts of the local zone that it lacks. The list is updated with delay, so a host
/// that still responds stays listed.
HostList Topology::withReachablePeers(const HostList &list) const
{
    std::vector<HostEntry> entries;
    for (const auto &[host, entry] : list.entries()) {
        entries.push_back(entry);
    }
    for (const auto &[host, entry] : m_list.entries()) {
        const bool incarnationKnown = m_membership.incarnation(host).value_or(Incarnation()) != Incarnation();
        const bool isReachable = incarnationKnown && m_membership.liveness(host) == Liveness::Alive;
        if (isReachable && list.find(host) == nullptr && entry.zone == m_self.zone) {
            entries.push_back(entry);
        }
    }
    return HostList(entries);
}

void Topology::setSelfLeaving()
{
    m_selfLeaving = true;
}

void Topology::setHostLeaving(const HostId &host, bool leaving)
{
    if (leaving) {
        m_leaving.insert(host);
    } else {
        m_leaving.erase(host);
    }
}

bool Topology::selfLeaving() const
{
    const auto *entry = m_list.find(m_self.host);
    return m_selfLeaving || (entry != nullptr && entry->leaving);
}

bool Topology::sameZone(const HostId &host) const
{
    const auto *entry = m_list.find(host);
    return entry != nullptr && entry->zone == m_self.zone;
}

bool Topology::sameRegion(const HostId &host) const
{
    const auto *entry = m_list.find(host);
    return entry != nullptr && entry->region == m_self.region;
}

bool Topology::inStoreRegion() const
{
    return m_self.region == m_settings.storeRegion;
}

HostAvailability Topology::availability(const HostId &host, TimePoint now) const
{
    if (host == m_self.host) {
        return selfLeaving() ? HostAvailability::Leaving : HostAvailability::Live;
    }
    const auto *entry = m_list.find(host);
    if (entry == nullptr) {
        return HostAvailability::Unknown;
    }
    if (entry->zone == m_self.zone) {
        if (m_membership.liveness(host) == Liveness::Dead) {
            return HostAvailability::Dead;
        }
    } else {
        const auto summary = m_zoneTable.fresh(entry->zone, now);
        if (!summary) {
            return HostAvailability::Unknown;
        }
        if (std::find(summary->dead.begin(), summary->dead.end(), host) != summary->dead.end()) {
            return HostAvailability::Dead;
        }
    }
    return entry->leaving || m_leaving.contains(host) ? HostAvailability::Leaving : HostAvailability::Live;
}

std::vector<HostId> Topology::usableInZone(const ZoneId &zone, TimePoint now) const
{
    std::set<HostId> dead;
    const bool isLocalZone = zone == m_self.zone;
    if (const auto summary = m_zoneTable.fresh(zone, now); summary && !isLocalZone) {
        dead.insert(summary->dead.begin(), summary->dead.end());
    }
    std::vector<HostId> usable;
    for (const auto &[host, entry] : m_list.entries()) {
        if (entry.zone != zone || entry.leaving) {
            continue;
        }
        if (dead.contains(host) || m_leaving.contains(host)) {
            continue;
        }
        const auto liveness = isLocalZone ? m_membership.liveness(host) : std::nullopt;
        if (liveness && *liveness != Liveness::Alive) {
            continue;
        }
        if (host == m_self.host && m_selfLeaving) {
            continue;
        }
        usable.push_back(host);
    }
    return usable;
}

std::vector<HostId> Topology::usableInRegion(const RegionId &region, TimePoint now) const
{
    std::vector<HostId> usable;
    for (const auto &[zone, zoneRegion] : m_zoneRegions) {
        if (zoneRegion != region) {
            continue;
        }
        const auto hosts = usableInZone(zone, now);
        usable.insert(usable.end(), hosts.begin(), hosts.end());
    }
    return usable;
}

std::vector<HostId> Topology::readerOrder(const ZoneId &zone, TimePoint now) const
{
    return rendezvousOrder("reader/" + zone.value(), usableInZone(zone, now));
}

std::vector<HostId> Topology::fetchOrder(const RegionId &region, TicketNumber number, TimePoint now) const
{
    return rendezvousOrder("ticket/" + std::to_string(number.value()), usableInRegion(region, now));
}

unsigned Topology::readersPerZone(const RegionId &region) const
{
    return region == m_settings.storeRegion ? m_settings.readersPerZone : m_settings.awayReadersPerZone;
}

std::vector<RegionId> Topology::otherRegions() const
{
    std::set<RegionId> regions;
    for (const auto &[zone, region] : m_zoneRegions) {
        if (region != m_self.region) {
            regions.insert(region);
        }
    }
    return {regions.begin(), regions.end()};
}

std::vector<ZoneId> Topology::otherZones(bool localRegionOnly) const
{
    std::vector<ZoneId> zones;
    for (const auto &[zone, region] : m_zoneRegions) {
        if (zone == m_self.zone || (localRegionOnly && region != m_self.region)) {
            continue;
        }
        zones.push_back(zone);
    }
    return zones;
}

} // namespace jasminemast
