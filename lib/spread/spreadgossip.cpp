// Messages that the core sends: announcements, replies, exchanges and reports.
#include "jasminemast/spread/spreadcore.h"

#include <algorithm>

namespace jasminemast
{

namespace
{

constexpr std::size_t UpdatesPerMessage = 6;
/// Forwarded summaries per message; leaves space for the one of the local zone.
constexpr std::size_t SummariesPerMessage = ControlMessage::MaxSummaries - 1;
constexpr std::size_t AnnouncersPerRegion = 2; ///< nodes of a region that announce to its other zones

/// Moves a random element to the end of \p hosts and returns it.
HostId moveRandomToBack(std::vector<HostId> &hosts, Random &random)
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
    const bool receiverInLocalZone = m_topology.sameZone(to);
    if (receiverInLocalZone) {
        message.updates = m_membership.takeUpdates(UpdatesPerMessage);
        if (const auto suspicion = m_membership.suspicionAbout(to)) {
            message.updates.push_back(*suspicion);
        }
    }
    if (withSummary && m_headWatcher.isReader()) {
        message.summaries.push_back(localZoneSummary(now));
    }
    if (withSummary) {
        for (auto &summary : m_zoneTable.takeFresh(SummariesPerMessage, now)) {
            message.summaries.push_back(std::move(summary));
        }
    }
    m_actions.emplace_back(SendMessage {to, std::move(message)});
}

void SpreadCore::replyToMessage(const ControlMessage &message, TimePoint now)
{
    const auto &from = message.sender.host;
    if (const auto *ping = std::get_if<Ping>(&message.body)) {
        const bool betweenReaders = m_headWatcher.isReader() && message.sender.reader;
        send(from, Ack {ping->sequence, ping->onBehalfOf}, now, betweenReaders);
        return;
    }
    if (const auto *request = std::get_if<PingRequest>(&message.body)) {
        send(request->target, Ping {request->sequence, from}, now);
        return;
    }
    if (const auto *ack = std::get_if<Ack>(&message.body)) {
        if (ack->onBehalfOf.value().empty() || ack->onBehalfOf == m_self.host) {
            m_membership.ackReceived(ack->sequence, now);
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
    const auto *peer = m_puller.knowledge(host);
    const auto applied = m_store.state()->number;
    if (peer != nullptr && peer->applied >= applied && peer->accepted >= m_store.head().number) {
        return;
    }
    send(host, Announce {}, now);
}

void SpreadCore::announceInZone(TimePoint now)
{
    for (unsigned sent = 0; sent < m_settings.announceFanout; ++sent) {
        if (m_fanoutOrder.empty()) {
            m_fanoutOrder = m_membership.unsuspectedPeers();
        }
        if (m_fanoutOrder.empty()) {
            return;
        }
        const auto host = moveRandomToBack(m_fanoutOrder, m_random);
        m_fanoutOrder.pop_back();
        if (m_membership.liveness(host) == Liveness::Alive) {
            send(host, Announce {}, now);
        }
    }
}

void SpreadCore::announce(TimePoint now)
{
    announceInLocalRegion(now);
    const auto order = m_topology.fetchOrder(m_self.region, m_store.head().number, now);
    const bool first = !order.empty() && order.front() == m_self.host;
    if (!first || !m_topology.inStoreRegion()) {
        return;
    }
    for (const auto &region : m_topology.otherRegions()) {
        announceToRegion(region, now);
    }
}

void SpreadCore::announceInLocalRegion(TimePoint now)
{
    announceInZone(now);
    const auto order = m_topology.fetchOrder(m_self.region, m_store.head().number, now);
    const auto announcers = order.begin() + static_cast<std::ptrdiff_t>(std::min(order.size(), AnnouncersPerRegion));
    for (auto host = order.begin(); host != announcers; ++host) {
        announceTo(*host, now);
    }
    const bool announcer = std::find(order.begin(), announcers, m_self.host) != announcers;
    if (!announcer && !m_headWatcher.isReader()) {
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
        announceTo(moveRandomToBack(order, m_random), now);
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

/// Pushes or announces a ticket that this node fetched from the service to nodes of \p region.
void SpreadCore::distributeToRegion(const RegionId &region, TimePoint now)
{
    const auto number = m_store.state()->number;
    const auto order = m_topology.fetchOrder(region, number, now);
    const std::size_t pushes = m_settings.regionPushCount;
    const auto notified = std::min<std::size_t>(order.size(), pushes + m_settings.regionAnnounceCount);
    for (std::size_t i = 0; i < notified; ++i) {
        const auto *peer = m_puller.knowledge(order[i]);
        if (peer != nullptr && peer->applied >= number) {
            continue;
        }
        if (i >= pushes) {
            send(order[i], Announce {}, now);
            continue;
        }
        ++m_counters.pushesSent;
        m_actions.emplace_back(
            SendPullReply {order[i], m_pullServer.tailReply(TicketNumber(number.value() - 1), sender(now))});
    }
}

void SpreadCore::sendReaderHeartbeats(TimePoint now)
{
    const auto order = m_topology.readerOrder(m_self.zone, now);
    const std::size_t readers = m_topology.readersPerZone(m_self.region);
    const auto readersAndStandbys = std::min<std::size_t>(order.size(), readers + m_settings.standbysPerZone);
    for (std::size_t i = readers; i < readersAndStandbys; ++i) {
        if (order[i] != m_self.host) {
            send(order[i], Announce {}, now);
        }
    }
}

/// Exchanges zone summaries with a reader of another zone.
void SpreadCore::exchangeSummaries(TimePoint now)
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

void SpreadCore::exchangeWithOtherZone(TimePoint now)
{
    if (m_headWatcher.isReader()) {
        exchangeSummaries(now);
    }
    if (m_random.nextBelow(m_settings.outsideShare) != 0) {
        return;
    }
    const auto zones = m_topology.otherZones(false);
    if (zones.empty()) {
        return;
    }
    auto hosts = m_topology.hostList().inZone(zones[m_random.nextBelow(zones.size())]);
    send(moveRandomToBack(hosts, m_random), Ping {}, now);
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

void SpreadCore::queryJoinPeers(TimePoint now)
{
    auto peers = m_membership.livePeers();
    std::vector<HostId> queried;
    while (!peers.empty() && queried.size() < m_settings.joinPeers) {
        queried.push_back(moveRandomToBack(peers, m_random));
        peers.pop_back();
    }
    for (const auto &peer : queried) {
        send(peer, Ping {}, now);
    }
    m_readinessTracker.notePeersQueried(queried);
}

void SpreadCore::queryRandomPeer(TimePoint now)
{
    auto peers = m_membership.unsuspectedPeers();
    if (peers.empty()) {
        return;
    }
    send(moveRandomToBack(peers, m_random), Ping {}, now);
}

} // namespace jasminemast
