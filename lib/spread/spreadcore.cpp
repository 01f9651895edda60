// Events of the core: what each one changes.
#include "jasminemast/spread/spreadcore.h"

namespace jasminemast
{

namespace
{

constexpr Milliseconds ReviewInterval {100};
constexpr Milliseconds RepeatAnnounceDelay {400};
constexpr unsigned AnnounceRepeats = 2; ///< reach peers whose first announcement went to dead ones

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
    , m_watch(m_settings, m_budget, random, m_counters)
    , m_pull(m_settings, m_topology, store, m_budget, random, m_counters)
    , m_server(m_settings, store, m_budget, m_counters)
    , m_join(m_settings)
    , m_published(store.state()->number)
{
    m_watch.readOnce();
}

SpreadActions SpreadCore::handle(const SpreadEvent &event, TimePoint now)
{
    m_actions.clear();
    detectPause(now);
    std::visit([this, now](const auto &concrete) { on(concrete, now); }, event);
    publishIfAdvanced(now);
    stepDuties(now);
    return std::move(m_actions);
}

void SpreadCore::detectPause(TimePoint now)
{
    const bool paused = m_lastEvent && now - *m_lastEvent >= m_settings.pauseThreshold;
    if (!m_lastEvent || paused) {
        const auto before = m_join.readiness();
        m_join.restart(now);
        if (before != Readiness::Joining) {
            m_actions.emplace_back(ReadinessChanged {Readiness::Joining});
        }
    }
    m_lastEvent = now;
    if (!paused) {
        return;
    }
    ++m_counters.pauses;
    m_membership.resumeAfterPause(now);
    m_watch.resumeAfterPause(now);
    m_watch.readOnce();
    m_pull.resumeAfterPause();
}

void SpreadCore::stepDuties(TimePoint now)
{
    if (now >= m_nextReview) {
        m_nextReview = now + ReviewInterval;
        m_watch.review(m_topology, now);
    }
    if (const auto watch = m_watch.step(now)) {
        m_actions.emplace_back(*watch);
    }
    append(m_pull.step(sender(now), now));
    const auto before = m_join.readiness();
    const bool caughtUp = m_store.head().number <= m_store.state()->number;
    const auto after = m_join.review(caughtUp, now);
    if (after != before) {
        m_actions.emplace_back(ReadinessChanged {after});
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
    if (m_join.wantsPeers()) {
        askJoinPeers(now);
    }
    if (m_pull.takeAskDue(now)) {
        askRandomPeer(now);
    }
    if (m_announceRepeats > 0 && now >= m_repeatAnnounceAt) {
        --m_announceRepeats;
        m_repeatAnnounceAt = now + RepeatAnnounceDelay;
        announceInOwnRegion(now);
    }
    if (m_watch.isReader() && now >= m_nextHeartbeat) {
        m_nextHeartbeat = now + m_settings.readerHeartbeat;
        heartbeatAsReader(now);
    }
    if (now >= m_nextOutside) {
        m_nextOutside = now + m_settings.antiEntropyInterval;
        exchangeOutside(now);
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
    m_membership.updateListed(zoneHosts);
    m_reports.retain({zoneHosts.begin(), zoneHosts.end()});
    m_pull.retainListed();
    const auto fleet = std::max<std::size_t>(event.list.size(), m_settings.fleetSizeFloor);
    m_budget.resize(fleet);
    m_nextReview = TimePoint();
}

void SpreadCore::on(const MessageReceived &event, TimePoint now)
{
    const auto &message = event.message;
    if (!m_topology.known(message.sender.host) || message.sender.host == m_self.host) {
        ++m_counters.strangers;
        return;
    }
    for (const auto &rumour : message.rumours) {
        m_membership.learn(rumour, now);
    }
    for (const auto &summary : message.summaries) {
        m_zoneTable.learn(summary, now);
    }
    takeSender(message.sender, now);
    publishIfAdvanced(now);
    answerBody(message, now);
}

void SpreadCore::takeSender(const Sender &sender, TimePoint now)
{
    m_topology.noteLeaving(sender.host, sender.leaving);
    m_pull.peerHeard(sender);
    m_join.peerAnswered(sender.host);
    if (m_topology.sameZone(sender.host)) {
        m_membership.heard(sender.host, sender.incarnation, sender.refutation, now);
        m_reports.learn(sender.host, sender.applied, now);
        if (sender.reader && sender.sourceFresh) {
            m_watch.readerHeard(sender.host, now);
        }
    }
    const Head applied {sender.applied.number, sender.applied.ticketDigest};
    if (applied.number == m_store.state()->number && !m_store.matchesPeerState(applied, sender.applied.stateDigest)) {
        ++m_counters.conflicts;
    }
    takeHead(applied, now);
    takeHead(sender.accepted, now);
}

void SpreadCore::takeHead(const Head &head, TimePoint now)
{
    if (head.number == TicketNumber()) {
        return;
    }
    if (m_store.addAcceptedHead(head) == HeadStatus::Conflict) {
        ++m_counters.conflicts;
        m_actions.emplace_back(DigestConflictDetected {head, m_store.head()});
    }
    if (m_store.head().number > m_announced) {
        m_announced = m_store.head().number;
        announce(now);
    }
}

void SpreadCore::publishIfAdvanced(TimePoint now)
{
    const auto state = m_store.state();
    if (state->number <= m_published) {
        return;
    }
    m_published = state->number;
    m_actions.emplace_back(PublishState {state});
    m_nextReport = std::min(m_nextReport, now + Milliseconds(m_random.nextBelow(200)));
    announce(now);
    m_announceRepeats = AnnounceRepeats;
    m_repeatAnnounceAt = now + RepeatAnnounceDelay;
    if (m_pull.fetchedFromService(state->number) && m_topology.inStoreRegion()) {
        for (const auto &region : m_topology.otherRegions()) {
            offerToRegion(region, now);
        }
    }
}

void SpreadCore::on(const WatchCompleted &event, TimePoint now)
{
    if (m_watch.answered(event.id, now)) {
        m_join.sourceAnswered();
    }
    if (event.head) {
        m_counters.olderHeads += event.head->number < m_store.head().number ? 1 : 0;
        takeHead(*event.head, now);
    }
}

void SpreadCore::on(const WatchFailed &event, TimePoint now)
{
    m_watch.failed(event.id, now);
}

void SpreadCore::on(const TicketFetched &event, TimePoint now)
{
    const auto offer = m_store.addTicket(event.number, event.bytes);
    if (offer == AddTicketStatus::WrongDigest) {
        ++m_counters.digestMismatches;
        m_pull.ticketFetchFailed(event.number, now);
    } else {
        m_pull.ticketFetched(event.number, now);
    }
    append(m_server.fetchEnded(event.number, event.bytes, sender(now)));
}

void SpreadCore::on(const TicketFetchFailed &event, TimePoint now)
{
    m_pull.ticketFetchFailed(event.number, now);
    append(m_server.fetchEnded(event.number, std::nullopt, sender(now)));
}

void SpreadCore::on(const CheckpointFetched &event, TimePoint)
{
    if (event.snapshot.state->number <= m_store.head().number) {
        m_store.adopt(event.snapshot);
    }
    m_pull.checkpointEnded();
}

void SpreadCore::on(const CheckpointFetchFailed &, TimePoint)
{
    m_pull.checkpointEnded();
}

void SpreadCore::on(const PullRequested &event, TimePoint now)
{
    append(m_server.handle(event.from, event.request, sender(now), now));
    if (m_topology.known(event.request.sender.host)) {
        takeSender(event.request.sender, now);
    }
}

void SpreadCore::on(const PullReplyReceived &event, TimePoint now)
{
    const auto &answer = event.answer;
    m_pull.answered(answer, now);
    takeSender(answer.sender, now);
    if (!answer.snapshot.empty()) {
        m_store.installSnapshot(answer.snapshot);
    }
    // From the highest number down, since each ticket commits the one below.
    for (auto ticket = answer.tickets.rbegin(); ticket != answer.tickets.rend(); ++ticket) {
        if (m_store.addTicket(ticket->number, ticket->bytes) == AddTicketStatus::WrongDigest) {
            ++m_counters.digestMismatches;
        }
    }
}

void SpreadCore::on(const PullFailed &event, TimePoint now)
{
    m_pull.failed(event.id, now);
}

void SpreadCore::on(const PullReplySent &event, TimePoint)
{
    m_server.answerSent(event.snapshot);
}

void SpreadCore::on(const NewerTicketSeen &event, TimePoint now)
{
    append(m_pull.pullFrom(event.peer, event.number, sender(now), now));
}

void SpreadCore::on(const DrainStarted &, TimePoint now)
{
    m_topology.setSelfLeaving();
    m_nextReview = TimePoint();
    announceInZone(now);
    heartbeatAsReader(now);
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
    sender.reader = m_watch.isReader();
    sender.sourceFresh = m_watch.sourceFresh(now);
    sender.applied = AppliedVersion {state->number, state->ticketDigest, state->stateDigest};
    sender.accepted = m_store.head();
    return sender;
}

ZoneSummary SpreadCore::ownZone(TimePoint now) const
{
    auto live = m_membership.livePeers();
    live.push_back(m_self.host);
    ZoneReports reports = m_reports;
    reports.learn(m_self.host, sender(now).applied, now);
    const auto maxAge = 3 * m_settings.reportInterval;
    return reports.summarise(m_self.zone, live, m_membership.deadPeers(), maxAge, now);
}

std::optional<ZoneSummary> SpreadCore::zone(const ZoneId &zone, TimePoint now) const
{
    if (zone != m_self.zone) {
        return m_zoneTable.last(zone, now);
    }
    if (m_watch.isReader()) {
        return ownZone(now);
    }
    auto told = m_zoneTable.fresh(zone, now);
    return told ? told : ownZone(now);
}

bool SpreadCore::zoneKnown(const ZoneId &zone, TimePoint now) const
{
    return zone == m_self.zone || m_zoneTable.fresh(zone, now).has_value();
}

} // namespace jasminemast
