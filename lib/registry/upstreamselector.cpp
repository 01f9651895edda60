// The tree of nodes that pass the registry's records on.
#include "jasminemast/registry/upstreamselector.h"

#include "jasminemast/member/rendezvous.h"

#include <algorithm>
#include <set>

namespace jasminemast
{

namespace
{

constexpr std::string_view RolePrefix = "registry/";

std::string roleOf(const std::string &place)
{
    return std::string(RolePrefix) + place;
}

} // namespace

UpstreamSelector::UpstreamSelector(RegistryPeer self, UpstreamLimits limits)
    : m_self(std::move(self))
    , m_limits(limits)
{
}

std::vector<HostId> UpstreamSelector::hostsOf(const ZoneId &zone) const
{
    std::vector<HostId> hosts;
    for (const RegistryPeer &peer : m_peers) {
        if (peer.zone == zone) {
            hosts.push_back(peer.host);
        }
    }
    return rendezvousOrder(roleOf(zone.value()), std::move(hosts));
}

void UpstreamSelector::setPeers(std::vector<RegistryPeer> peers)
{
    std::sort(peers.begin(), peers.end());
    if (peers == m_peers) {
        return;
    }
    m_peers = std::move(peers);
    m_candidates.clear();
    std::vector<HostId> order = hostsOf(m_self.zone);
    std::erase(order, m_self.host);
    m_rank = rendezvousRank(roleOf(m_self.zone.value()), order, m_self.host);
    order.insert(order.begin() + static_cast<std::ptrdiff_t>(m_rank), m_self.host);
    const auto after = order.begin() + static_cast<std::ptrdiff_t>(m_rank) + 1;
    const auto count = std::min<std::ptrdiff_t>(order.end() - after, static_cast<std::ptrdiff_t>(m_limits.standbys));
    m_fallbacks.assign(after, after + count);
    if (m_rank > 0) {
        findZoneCandidates(order);
    } else {
        findRegionCandidates();
    }
}

void UpstreamSelector::findZoneCandidates(const std::vector<HostId> &order)
{
    std::set<std::size_t> chosen;
    const auto add = [&](std::size_t rank) {
        if (rank < m_rank && chosen.insert(rank).second) {
            m_candidates.push_back(order[rank]);
        }
    };
    for (std::size_t rank = m_rank; rank > 0;) {
        rank = (rank - 1) / m_limits.fanOut;
        add(rank);
    }
    for (std::size_t rank = 1; rank <= m_limits.standbys; ++rank) {
        add(rank);
    }
}

void UpstreamSelector::findRegionCandidates()
{
    std::vector<HostId> zones {HostId(m_self.zone.value())};
    for (const RegistryPeer &peer : m_peers) {
        const HostId zone(peer.zone.value());
        if (peer.region == m_self.region && std::find(zones.begin(), zones.end(), zone) == zones.end()) {
            zones.push_back(zone);
        }
    }
    const ZoneId first(rendezvousOrder(roleOf(m_self.region.value()), std::move(zones)).front().value());
    if (first == m_self.zone) {
        return;
    }
    std::vector<HostId> order = hostsOf(first);
    order.resize(std::min(order.size(), m_limits.standbys));
    m_candidates = std::move(order);
}

std::optional<HostId> UpstreamSelector::choose(TimePoint now) const
{
    return firstAvailable(m_candidates, now);
}

std::optional<HostId> UpstreamSelector::chooseFallback(TimePoint now) const
{
    return firstAvailable(m_fallbacks, now);
}

std::optional<HostId> UpstreamSelector::firstAvailable(const std::vector<HostId> &hosts, TimePoint now) const
{
    for (const HostId &host : hosts) {
        const auto excluded = m_excludedUntil.find(host);
        if (excluded == m_excludedUntil.end() || excluded->second <= now) {
            return host;
        }
    }
    return std::nullopt;
}

void UpstreamSelector::exclude(const HostId &host, TimePoint until)
{
    std::erase_if(m_excludedUntil, [this](const auto &item) {
        return std::find(m_candidates.begin(), m_candidates.end(), item.first) == m_candidates.end()
            && std::find(m_fallbacks.begin(), m_fallbacks.end(), item.first) == m_fallbacks.end();
    });
    m_excludedUntil.insert_or_assign(host, until);
}

TimePoint UpstreamSelector::nextAvailable(TimePoint now) const
{
    TimePoint next = TimePoint::max();
    for (const auto &[host, until] : m_excludedUntil) {
        if (until > now) {
            next = std::min(next, until);
        }
    }
    return next;
}

} // namespace jasminemast
