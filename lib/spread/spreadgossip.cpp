// Messages of the core: whom it tells what.
#include "jasminemast/spread/spreadcore.h"

#include <algorithm>

namespace jasminemast
{

namespace
{

constexpr std::size_t RumoursPerMessage = 6;
constexpr std::size_t SummariesPerMessage
    = ControlMessage::MaxSummaries - 1; ///< passed on, besides that of the own zone
constexpr std::size_t RegionAnnouncers = 2; ///< nodes of a region that tell the other regions

/// Moves one element drawn at random to the end of \p hosts and returns it.
HostId drawLast(std::vector<HostId> &hosts, Random &random)
{
    std::swap(hosts[random.nextBelow(hosts.size())], hosts.back());
    return hosts.back();
}

} // namespace

void SpreadCore::send(const HostId &to, ControlBody body, TimePoint now, bool withSummary)
{
    ControlMessage message;
    message.sender = sender(now);
    message.body = std::move(body);
    const bool ownZoneReceiver = m_topology.sameZone(to);
    if (ownZoneReceiver) {
        message.rumours = m_membership.takeRumours(RumoursPerMessage);
        if (const auto accusation = m_membership.accusation(to)) {
            message.rumours.push_back(*accusation);
        }
    }
    if (withSummary && m_watch.isReader()) {
        message.summaries.push_back(ownZone(now));
    }
    if (withSummary) {
        for (auto &summary : m_zoneTable.takeNext(SummariesPerMessage, now)) {
            message.summaries.push_back(std::move(summary));
        }
    }
    m_actions.emplace_back(SendMessage {to, std::move(message)});
}

void SpreadCore::answerBody(const ControlMessage &message, TimePoint now)
{
    const auto &from = message.sender.host;
    if (const auto *ping = std::get_if<Ping>(&message.body)) {
        const bool betweenReaders = m_watch.isReader() && message.sender.reader;
        send(from, Ack {ping->sequence, ping->onBehalfOf}, now, betweenReaders);
        return;
    }
    if (const auto *request = std::get_if<PingRequest>(&message.body)) {
        send(request->target, Ping {request->sequence, from}, now);
        return;
    }
    if (const auto *ack = std::get_if<Ack>(&message.body)) {
        if (ack->onBehalfOf.value().empty() || ack->onBehalfOf == m_self.host) {
            m_membership.acknowledged(ack->sequence, now);
        } else {
            send(ack->onBehalfOf, Ack {ack->sequence, ack->onBehalfOf}, now);
        }
        return;
    }
    if (std::holds_alternative<Announce>(message.body) && message.sender.accepted.number < m_store.head().number) {
        send(from, Announce {}, now);
    }
}

void SpreadCore::announceTo(const HostId &host, TimePoint now)
{
    if (host == m_self.host) {
        return;
    }
    const auto *known = m_pull.knowledge(host);
    const auto applied = m_store.state()->number;
    if (known != nullptr && known->applied >= applied && known->accepted >= m_store.head().number) {
        return;
    }
    send(host, Announce {}, now);
}

void SpreadCore::announceInZone(TimePoint now)
{
    for (unsigned sent = 0; sent < m_settings.announceFanout; ++sent) {
        if (m_fanoutOrder.empty()) {
            m_fanoutOrder = m_membership.trustedPeers();
        }
        if (m_fanoutOrder.empty()) {
            return;
        }
        const auto host = drawLast(m_fanoutOrder, m_random);
        m_fanoutOrder.pop_back();
        if (m_membership.liveness(host) == Liveness::Alive) {
            send(host, Announce {}, now);
        }
    }
}

void SpreadCore::announce(TimePoint now)
{
    announceInOwnRegion(now);
    const auto order = m_topology.fetchOrder(m_self.region, m_store.head().number, now);
    const bool first = !order.empty() && order.front() == m_self.host;
    if (!first || !m_topology.inStoreRegion()) {
        return;
    }
    for (const auto &region : m_topology.otherRegions()) {
        announceToRegion(region, now);
    }
}

void SpreadCore::announceInOwnRegion(TimePoint now)
{
    announceInZone(now);
    const auto order = m_topology.fetchOrder(m_self.region, m_store.head().number, now);
    const auto announcers = order.begin() + static_cast<std::ptrdiff_t>(std::min(order.size(), RegionAnnouncers));
    for (auto host = order.begin(); host != announcers; ++host) {
        announceTo(*host, now);
    }
    const bool announcer = std::find(order.begin(), announcers, m_self.host) != announcers;
    if (!announcer && !m_watch.isReader()) {
        return;
    }
    for (const auto &zone : m_topology.otherZones(true)) {
        announceToZone(zone, now);
    }
}

void SpreadCore::announceToZone(const ZoneId &zone, TimePoint now)
{
    auto order = m_topology.readerOrder(zone, now);
    if (order.empty()) {
        return;
    }
    announceTo(order.front(), now);
    for (unsigned sent = 1; sent < m_settings.announceFanout && !order.empty(); ++sent) {
        announceTo(drawLast(order, m_random), now);
        order.pop_back();
    }
}

void SpreadCore::announceToRegion(const RegionId &region, TimePoint now)
{
    const auto order = m_topology.fetchOrder(region, m_store.head().number, now);
    for (std::size_t i = 0; i < std::min<std::size_t>(order.size(), m_settings.regionAnnounceCount); ++i) {
        announceTo(order[i], now);
    }
}

/// Hands a ticket that this node fetched from the service to the other regions: pushed or announced.
void SpreadCore::offerToRegion(const RegionId &region, TimePoint now)
{
    const auto number = m_store.state()->number;
    const auto order = m_topology.fetchOrder(region, number, now);
    const std::size_t pushes = m_settings.regionPushCount;
    const auto told = std::min<std::size_t>(order.size(), pushes + m_settings.regionAnnounceCount);
    for (std::size_t i = 0; i < told; ++i) {
        const auto *known = m_pull.knowledge(order[i]);
        if (known != nullptr && known->applied >= number) {
            continue;
        }
        if (i >= pushes) {
            send(order[i], Announce {}, now);
            continue;
        }
        ++m_counters.pushesSent;
        m_actions.emplace_back(SendPullReply {order[i], m_server.tail(TicketNumber(number.value() - 1), sender(now))});
    }
}

void SpreadCore::heartbeatAsReader(TimePoint now)
{
    const auto order = m_topology.readerOrder(m_self.zone, now);
    const std::size_t readers = m_topology.readersPerZone(m_self.region);
    const auto onDuty = std::min<std::size_t>(order.size(), readers + m_settings.standbysPerZone);
    for (std::size_t i = readers; i < onDuty; ++i) {
        if (order[i] != m_self.host) {
            send(order[i], Announce {}, now);
        }
    }
}

/// One exchange with a reader of another zone: this is how summaries travel.
void SpreadCore::exchangeAsReader(TimePoint now)
{
    const auto zones = m_topology.otherZones(false);
    if (zones.empty()) {
        return;
    }
    const auto readers = m_topology.readerOrder(zones[m_random.nextBelow(zones.size())], now);
    if (!readers.empty()) {
        send(readers.front(), Ping {}, now, true);
    }
}

void SpreadCore::exchangeOutside(TimePoint now)
{
    if (m_watch.isReader()) {
        exchangeAsReader(now);
    }
    if (m_random.nextBelow(m_settings.outsideShare) != 0) {
        return;
    }
    const auto zones = m_topology.otherZones(false);
    if (zones.empty()) {
        return;
    }
    auto hosts = m_topology.hostList().inZone(zones[m_random.nextBelow(zones.size())]);
    send(drawLast(hosts, m_random), Ping {}, now);
}

void SpreadCore::reportToReaders(TimePoint now)
{
    const auto order = m_topology.readerOrder(m_self.zone, now);
    const auto readers = m_topology.readersPerZone(m_self.region);
    for (std::size_t i = 0; i < std::min<std::size_t>(order.size(), readers); ++i) {
        if (order[i] != m_self.host) {
            send(order[i], Report {}, now);
        }
    }
}

void SpreadCore::askJoinPeers(TimePoint now)
{
    auto peers = m_membership.livePeers();
    std::vector<HostId> asked;
    while (!peers.empty() && asked.size() < m_settings.joinPeers) {
        asked.push_back(drawLast(peers, m_random));
        peers.pop_back();
    }
    for (const auto &peer : asked) {
        send(peer, Ping {}, now);
    }
    m_join.asked(asked);
}

void SpreadCore::askRandomPeer(TimePoint now)
{
    auto peers = m_membership.trustedPeers();
    if (peers.empty()) {
        return;
    }
    send(drawLast(peers, m_random), Ping {}, now);
}

} // namespace jasminemast
