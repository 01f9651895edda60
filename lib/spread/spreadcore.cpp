// Event handlers of the core.
#include "jasminemast/spread/spreadcore.h"

namespace jasminemast
{

namespace
{

constexpr Milliseconds RoleUpdateInterval {100};
constexpr Milliseconds RepeatAnnounceDelay {400};
/// Repeats reach peers that missed the first announcement because nodes before them were dead.
constexpr unsigned AnnounceRepeats = 2;

MembershipSettings membershipSettings(const SpreadSettings &settings)
{
    MembershipSettings result = settings.membership;
    result.probeInterval = settings.antiEntropyInterval;
    return result;
}

} // namespace

SpreadCore::SpreadCore(NodeIdentity self, SpreadSettings settings, TicketStore &store, Random &random)
    : m_self(std::move(self))
    , m_settings(std::move(settings))
    , m_store(store)
    , m_random(random)
    , m_membership(m_self.host, m_self.incarnation, membershipSettings(m_settings), random)
    , m_zoneTable(m_settings.summaryStaleAfter)
    , m_topology(m_self, m_settings, m_membership, m_zoneTable)
    , m_budget(m_settings.serviceCallsPerSecond, m_settings.fleetSizeUnknown)
    , m_headWatcher(m_settings, m_budget, random, m_counters)
    , m_puller(m_settings, m_topology, store, m_budget, random, m_counters)
    , m_pullServer(m_settings, store, m_budget, m_counters)
    , m_readinessTracker(m_settings)
    , m_publishedNumber(store.state()->number)
{
    m_headWatcher.requestRead();
}

SpreadActions SpreadCore::handle(const SpreadEvent &event, TimePoint now)
{
    m_actions.clear();
    detectPause(now);
    std::visit([this, now](const auto &concrete) { on(concrete, now); }, event);
    publishIfAdvanced(now);
    stepTasks(now);
    return std::move(m_actions);
}

void SpreadCore::detectPause(TimePoint now)
{
    const bool paused = m_lastEvent && now - *m_lastEvent >= m_settings.pauseThreshold;
    if (!m_lastEvent || paused) {
        const auto previous = m_readinessTracker.readiness();
        m_readinessTracker.restart(now);
        if (previous != Readiness::Joining) {
            m_actions.emplace_back(ReadinessChanged {Readiness::Joining});
        }
    }
    m_lastEvent = now;
    if (!paused) {
        return;
    }
    ++m_counters.pauses;
    m_membership.resumeAfterPause(now);
    m_headWatcher.resumeAfterPause(now);
    m_headWatcher.requestRead();
    m_puller.resumeAfterPause();
}

void SpreadCore::stepTasks(TimePoint now)
{
    if (now >= m_nextRoleUpdate) {
        m_nextRoleUpdate = now + RoleUpdateInterval;
        m_headWatcher.updateRole(m_topology, now);
    }
    if (const auto watch = m_headWatcher.step(now)) {
        m_actions.emplace_back(*watch);
    }
    append(m_puller.step(sender(now), now));
    const auto previous = m_readinessTracker.readiness();
    const bool caughtUp = m_store.head().number <= m_store.state()->number;
    const auto current = m_readinessTracker.update(caughtUp, now);
    if (current != previous) {
        m_actions.emplace_back(ReadinessChanged {current});
    }
}

void SpreadCore::on(const Tick &, TimePoint now)
{
    for (const auto &action : m_membership.tick(now)) {
        if (const auto *probe = std::get_if<SendProbe>(&action)) {
            send(probe->to, Ping {probe->sequence, HostId()}, now, true);
        } else if (const auto *indirect = std::get_if<SendIndirectProbe>(&action)) {
            send(indirect->via, PingRequest {indirect->sequence, indirect->target}, now);
        }
    }
    if (m_readinessTracker.needsPeerQuery()) {
        queryJoinPeers(now);
    }
    if (m_puller.takePeerQueryDue(now)) {
        queryRandomPeer(now);
    }
    if (m_announceRepeats > 0 && now >= m_repeatAnnounceAt) {
        --m_announceRepeats;
        m_repeatAnnounceAt = now + RepeatAnnounceDelay;
        announceInLocalRegion(now);
    }
    if (m_headWatcher.isReader() && now >= m_nextHeartbeat) {
        m_nextHeartbeat = now + m_settings.readerHeartbeat;
        sendReaderHeartbeats(now);
    }
    if (now >= m_nextCrossZoneExchange) {
        m_nextCrossZoneExchange = now + m_settings.antiEntropyInterval;
        exchangeWithOtherZone(now);
    }
    if (now >= m_nextReport) {
        m_nextReport = now + m_settings.reportInterval;
        reportToReaders(now);
    }
}

void SpreadCore::on(const HostListReceived &event, TimePoint)
{
    m_topology.setHostList(event.list);
    const auto zoneHosts = m_topology.hostList().inZone(m_self.zone);
    m_membership.setListedHosts(zoneHosts);
    m_reports.retain({zoneHosts.begin(), zoneHosts.end()});
    m_puller.retainListed();
    const auto fleet = std::max<std::size_t>(event.list.size(), m_settings.fleetSizeFloor);
    m_budget.resize(fleet);
    m_nextRoleUpdate = TimePoint();
}

void SpreadCore::on(const MessageReceived &event, TimePoint now)
{
    const auto &message = event.message;
    if (!m_topology.isListed(message.sender.host) || message.sender.host == m_self.host) {
        ++m_counters.messagesFromUnlistedHosts;
        return;
    }
    for (const auto &update : message.updates) {
        m_membership.applyUpdate(update, now);
    }
    for (const auto &summary : message.summaries) {
        m_zoneTable.update(summary, now);
    }
    processSender(message.sender, now);
    publishIfAdvanced(now);
    replyToMessage(message, now);
}

void SpreadCore::processSender(const Sender &sender, TimePoint now)
{
    m_topology.setHostLeaving(sender.host, sender.leaving);
    m_puller.updatePeer(sender);
    m_readinessTracker.onPeerMessage(sender.host);
    if (m_topology.sameZone(sender.host)) {
        m_membership.messageReceived(sender.host, sender.incarnation, sender.refutation, now);
        m_reports.record(sender.host, sender.applied, now);
        if (sender.reader && sender.serviceReachable) {
            m_headWatcher.noteReader(sender.host, now);
        }
    }
    const Head applied {sender.applied.number, sender.applied.ticketDigest};
    if (applied.number == m_store.state()->number && !m_store.matchesPeerState(applied, sender.applied.stateDigest)) {
        ++m_counters.conflicts;
    }
    processHead(applied, now);
    processHead(sender.accepted, now);
}

void SpreadCore::processHead(const Head &head, TimePoint now)
{
    if (head.number == TicketNumber()) {
        return;
    }
    if (m_store.addAcceptedHead(head) == HeadStatus::Conflict) {
        ++m_counters.conflicts;
        m_actions.emplace_back(DigestConflictDetected {head, m_store.head()});
    }
    if (m_store.head().number > m_announcedNumber) {
        m_announcedNumber = m_store.head().number;
        announce(now);
    }
}

void SpreadCore::publishIfAdvanced(TimePoint now)
{
    const auto state = m_store.state();
    if (state->number <= m_publishedNumber) {
        return;
    }
    m_publishedNumber = state->number;
    m_actions.emplace_back(PublishState {state});
    m_nextReport = std::min(m_nextReport, now + Milliseconds(m_random.nextBelow(200)));
    announce(now);
    m_announceRepeats = AnnounceRepeats;
    m_repeatAnnounceAt = now + RepeatAnnounceDelay;
    if (m_puller.fetchedFromService(state->number) && m_topology.inStoreRegion()) {
        for (const auto &region : m_topology.otherRegions()) {
            distributeToRegion(region, now);
        }
    }
}

void SpreadCore::on(const WatchCompleted &event, TimePoint now)
{
    if (m_headWatcher.onResponse(event.id, now)) {
        m_readinessTracker.onServiceResponse();
    }
    if (event.head) {
        m_counters.olderHeads += event.head->number < m_store.head().number ? 1 : 0;
        processHead(*event.head, now);
    }
}

void SpreadCore::on(const WatchFailed &event, TimePoint now)
{
    m_headWatcher.onFailure(event.id, now);
}

void SpreadCore::on(const TicketFetched &event, TimePoint now)
{
    const auto status = m_store.addTicket(event.number, event.bytes);
    if (status == AddTicketStatus::WrongDigest) {
        ++m_counters.digestMismatches;
        m_puller.onTicketFetchFailed(event.number, now);
    } else {
        m_puller.onTicketFetched(event.number, now);
    }
    append(m_pullServer.onFetchEnded(event.number, event.bytes, sender(now)));
}

void SpreadCore::on(const TicketFetchFailed &event, TimePoint now)
{
    m_puller.onTicketFetchFailed(event.number, now);
    append(m_pullServer.onFetchEnded(event.number, std::nullopt, sender(now)));
}

void SpreadCore::on(const CheckpointFetched &event, TimePoint)
{
    if (event.snapshot.state->number <= m_store.head().number) {
        m_store.installDecodedSnapshot(event.snapshot);
    }
    m_puller.onCheckpointFetchEnded();
}

void SpreadCore::on(const CheckpointFetchFailed &, TimePoint)
{
    m_puller.onCheckpointFetchEnded();
}

void SpreadCore::on(const PullRequested &event, TimePoint now)
{
    append(m_pullServer.handle(event.from, event.request, sender(now), now));
    if (m_topology.isListed(event.request.sender.host)) {
        processSender(event.request.sender, now);
    }
}

void SpreadCore::on(const PullReplyReceived &event, TimePoint now)
{
    const auto &reply = event.reply;
    m_puller.onReply(reply, now);
    processSender(reply.sender, now);
    if (!reply.snapshot.empty()) {
        m_store.installSnapshot(reply.snapshot);
    }
    // In descending order, since each ticket contains the digest of the previous one.
    for (auto ticket = reply.tickets.rbegin(); ticket != reply.tickets.rend(); ++ticket) {
        if (m_store.addTicket(ticket->number, ticket->bytes) == AddTicketStatus::WrongDigest) {
            ++m_counters.digestMismatches;
        }
    }
}

void SpreadCore::on(const PullFailed &event, TimePoint now)
{
    m_puller.onPullFailed(event.id, now);
}

void SpreadCore::on(const PullReplySent &event, TimePoint)
{
    m_pullServer.onReplySent(event.snapshot);
}

void SpreadCore::on(const NewerTicketSeen &event, TimePoint now)
{
    append(m_puller.pullFrom(event.peer, event.number, sender(now), now));
}

void SpreadCore::on(const DrainStarted &, TimePoint now)
{
    m_topology.setSelfLeaving();
    m_nextRoleUpdate = TimePoint();
    announceInZone(now);
    sendReaderHeartbeats(now);
}

void SpreadCore::append(SpreadActions actions)
{
    for (auto &action : actions) {
        m_actions.push_back(std::move(action));
    }
}

Sender SpreadCore::sender(TimePoint now) const
{
    const auto state = m_store.state();
    Sender sender;
    sender.host = m_self.host;
    sender.incarnation = m_self.incarnation;
    sender.refutation = m_membership.refutation();
    sender.leaving = m_topology.selfLeaving();
    sender.reader = m_headWatcher.isReader();
    sender.serviceReachable = m_headWatcher.serviceReachable(now);
    sender.applied = AppliedVersion {state->number, state->ticketDigest, state->stateDigest};
    sender.accepted = m_store.head();
    return sender;
}

ZoneSummary SpreadCore::localZoneSummary(TimePoint now) const
{
    auto live = m_membership.livePeers();
    live.push_back(m_self.host);
    ZoneReports reports = m_reports;
    reports.record(m_self.host, sender(now).applied, now);
    const auto maxAge = 3 * m_settings.reportInterval;
    return reports.summarize(m_self.zone, live, m_membership.deadPeers(), maxAge, now);
}

std::optional<ZoneSummary> SpreadCore::zoneSummary(const ZoneId &zone, TimePoint now) const
{
    if (zone != m_self.zone) {
        return m_zoneTable.last(zone, now);
    }
    if (m_headWatcher.isReader()) {
        return localZoneSummary(now);
    }
    auto summary = m_zoneTable.fresh(zone, now);
    return summary ? summary : localZoneSummary(now);
}

bool SpreadCore::zoneKnown(const ZoneId &zone, TimePoint now) const
{
    return zone == m_self.zone || m_zoneTable.fresh(zone, now).has_value();
}

} // namespace jasminemast
