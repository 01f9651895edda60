// Chooses sources for missing tickets.
#include "jasminemast/spread/pullduty.h"

#include "jasminemast/member/rendezvous.h"

#include <algorithm>
#include <bit>

namespace jasminemast
{

namespace
{

constexpr Milliseconds FetchTimeout {1500};
constexpr Milliseconds FetchRetryBase {100};
constexpr Milliseconds FetchRetryCap {3000};
constexpr Milliseconds CheckpointTimeout {3000};
constexpr Milliseconds AvoidSilent {1000};
constexpr Milliseconds BusyBase {20};
constexpr Milliseconds BusyCap {300};
constexpr std::uint64_t CheckpointGap = 64; ///< missing tickets from which a checkpoint is worth its bytes
constexpr std::size_t FetchWindow = 64; ///< tickets fetched at once

} // namespace

PullDuty::PullDuty(const SpreadSettings &settings, const Topology &topology, TicketStore &store, ServiceBudget &budget,
                   Random &random, SpreadCounters &counters)
    : m_settings(settings)
    , m_topology(topology)
    , m_store(store)
    , m_budget(budget)
    , m_random(random)
    , m_counters(counters)
    , m_busyBackoff(BusyBase, BusyCap)
{
}

void PullDuty::peerHeard(const Sender &sender)
{
    auto &peer = m_peers[sender.host];
    peer.applied = sender.applied.number;
    peer.accepted = sender.accepted.number;
}

void PullDuty::retainListed()
{
    std::erase_if(m_peers, [this](const auto &entry) { return !m_topology.known(entry.first); });
}

const PeerKnowledge *PullDuty::knowledge(const HostId &host) const
{
    const auto found = m_peers.find(host);
    return found == m_peers.end() ? nullptr : &found->second;
}

SpreadActions PullDuty::step(const Sender &sender, TimePoint now)
{
    expire(now);
    refreshNeed(now);
    if (!m_needSince || m_pull) {
        return {};
    }
    if (const auto peer = choosePeer(now, true)) {
        return startPull(*peer, sender, now);
    }
    return fetchForRegion(sender, now);
}

void PullDuty::expire(TimePoint now)
{
    if (m_pull && now >= m_pull->deadline) {
        ++m_counters.pullTimeouts;
        endPull(now, AvoidSilent);
    }
    for (auto &[number, fetch] : m_fetches) {
        if (fetch.inFlight && now >= fetch.deadline) {
            ++m_counters.fetchFailures;
            retryFetchLater(fetch, now);
        }
    }
    if (m_checkpointDeadline && now >= *m_checkpointDeadline) {
        m_checkpointDeadline.reset();
    }
}

void PullDuty::refreshNeed(TimePoint now)
{
    const auto applied = m_store.state()->number;
    const auto head = m_store.head().number;
    if (head <= applied) {
        m_needSince.reset();
        m_fetches.clear();
        return;
    }
    if (m_needSince && m_neededHead == head) {
        return;
    }
    m_needSince = now;
    m_neededHead = head;
    m_rank.reset();
    m_nextAsk = now + m_settings.askDelay;
    std::erase_if(m_fetches, [applied](const auto &entry) { return entry.first <= applied; });
}

std::optional<HostId> PullDuty::choosePeer(TimePoint now, bool ownRegion)
{
    const auto applied = m_store.state()->number;
    std::vector<HostId> best;
    int bestScore = -1;
    for (const auto &[host, peer] : m_peers) {
        if (peer.applied <= applied || now < peer.avoidUntil) {
            continue;
        }
        if (m_topology.sameRegion(host) != ownRegion) {
            continue;
        }
        if (m_topology.condition(host, now) == HostAvailability::Dead) {
            continue;
        }
        const int score = (m_topology.sameZone(host) ? 2 : 0) + (peer.applied >= m_neededHead ? 1 : 0);
        if (score > bestScore) {
            bestScore = score;
            best.clear();
        }
        if (score == bestScore) {
            best.push_back(host);
        }
    }
    if (best.empty()) {
        return std::nullopt;
    }
    return best[m_random.nextBelow(best.size())];
}

SpreadActions PullDuty::startPull(const HostId &peer, const Sender &sender, TimePoint now)
{
    ++m_counters.pullsSent;
    m_pull = Pull {++m_lastId, peer, now + m_settings.pullTimeout};
    return {SendPull {peer, PullRequest {m_lastId, m_store.state()->number, TicketNumber(), sender}}};
}

SpreadActions PullDuty::pullFrom(const HostId &peer, TicketNumber number, const Sender &sender, TimePoint now)
{
    expire(now);
    auto &knowledge = m_peers[peer];
    knowledge.applied = std::max(knowledge.applied, number);
    if (m_pull || number <= m_store.state()->number) {
        return {};
    }
    return startPull(peer, sender, now);
}

SpreadActions PullDuty::fetchForRegion(const Sender &sender, TimePoint now)
{
    const auto &self = m_topology.self();
    if (!m_rank || m_rankRevision != m_topology.revision()) {
        m_rankRevision = m_topology.revision();
        const auto order = m_topology.fetchOrder(self.region, m_neededHead, now);
        const auto own = std::find(order.begin(), order.end(), self.host);
        m_rank = static_cast<std::size_t>(own - order.begin());
    }
    const bool away = !m_topology.inStoreRegion();
    const bool pushExpected = away && *m_rank < m_settings.regionPushCount;
    const auto step = m_settings.regionFallbackDelay;
    // Each step twice as many nodes as in the step before may fetch, so that dead ones hold nobody up for long.
    const auto steps = std::bit_width(*m_rank) + (pushExpected ? 1 : 0);
    const auto mayFetchAt = *m_needSince + step * steps;
    if (now < mayFetchAt) {
        return {};
    }
    if (const auto peer = choosePeer(now, false)) {
        return startPull(*peer, sender, now);
    }
    if (away && now < mayFetchAt + step) {
        return {};
    }
    return fetchFromService(sender, now);
}

SpreadActions PullDuty::fetchFromService(const Sender &sender, TimePoint now)
{
    if (m_checkpointDeadline) {
        return {};
    }
    const auto applied = m_store.state()->number;
    const bool wantsCheckpoint = applied == TicketNumber() && m_neededHead.value() > CheckpointGap;
    if (wantsCheckpoint && !m_checkpointTried && m_budget.take(now)) {
        ++m_counters.serviceCalls;
        m_checkpointTried = true;
        m_checkpointDeadline = now + CheckpointTimeout;
        return {FetchCheckpoint {m_neededHead}};
    }
    SpreadActions actions;
    const auto missing = m_store.missing(FetchWindow);
    for (const auto number : missing) {
        auto started = fetchOne(number, sender, now);
        actions.insert(actions.end(), started.begin(), started.end());
    }
    return actions;
}

SpreadActions PullDuty::fetchOne(TicketNumber number, const Sender &sender, TimePoint now)
{
    auto &fetch = m_fetches[number];
    if (now < fetch.deadline) {
        return {};
    }
    if (m_budget.take(now)) {
        ++m_counters.serviceCalls;
        fetch = Fetch {now + FetchTimeout, true, fetch.attempts, 0};
        return {FetchTicket {number}};
    }
    ++m_counters.budgetRefusals;
    const auto helper = chooseHelper(number, fetch.attempts, now);
    if (!helper) {
        fetch.deadline = now + FetchRetryBase;
        return {};
    }
    ++m_counters.pullsSent;
    fetch = Fetch {now + FetchTimeout, true, fetch.attempts, ++m_lastId};
    return {SendPull {*helper, PullRequest {m_lastId, m_store.state()->number, number, sender}}};
}

/// Another node of the region that fetches \p number with its own share of calls.
std::optional<HostId> PullDuty::chooseHelper(TicketNumber number, unsigned attempts, TimePoint now) const
{
    const auto &self = m_topology.self();
    auto order = m_topology.fetchOrder(self.region, number, now);
    std::erase(order, self.host);
    if (order.empty()) {
        return std::nullopt;
    }
    return order[attempts % order.size()];
}

void PullDuty::answered(const PullReply &answer, TimePoint now)
{
    peerHeard(answer.sender);
    const bool useful = answer.result == PullResult::Served && (!answer.tickets.empty() || !answer.snapshot.empty());
    for (auto &[number, fetch] : m_fetches) {
        if (!fetch.inFlight || fetch.pullId == 0 || fetch.pullId != answer.id) {
            continue;
        }
        if (useful) {
            fetch.inFlight = false;
        } else {
            retryFetchLater(fetch, now);
        }
    }
    if (!m_pull || m_pull->id != answer.id) {
        return;
    }
    if (answer.result == PullResult::Busy) {
        ++m_counters.pullsRefused;
        endPull(now, m_busyBackoff.next(m_random));
        return;
    }
    m_busyBackoff.reset();
    endPull(now, useful ? Milliseconds(0) : AvoidSilent);
}

void PullDuty::failed(std::uint64_t id, TimePoint now)
{
    for (auto &[number, fetch] : m_fetches) {
        if (fetch.inFlight && fetch.pullId != 0 && fetch.pullId == id) {
            retryFetchLater(fetch, now);
        }
    }
    if (m_pull && m_pull->id == id) {
        endPull(now, AvoidSilent);
    }
}

void PullDuty::endPull(TimePoint now, Milliseconds avoid)
{
    m_peers[m_pull->peer].avoidUntil = now + avoid;
    m_pull.reset();
}

void PullDuty::ticketFetched(TicketNumber number, TimePoint)
{
    m_lastFetched = number;
    const auto fetch = m_fetches.find(number);
    if (fetch != m_fetches.end()) {
        m_fetches.erase(fetch);
    }
    ++m_counters.ticketsFetched;
}

void PullDuty::ticketFetchFailed(TicketNumber number, TimePoint now)
{
    ++m_counters.fetchFailures;
    const auto fetch = m_fetches.find(number);
    if (fetch != m_fetches.end()) {
        retryFetchLater(fetch->second, now);
    }
}

void PullDuty::retryFetchLater(Fetch &fetch, TimePoint now)
{
    fetch.inFlight = false;
    fetch.pullId = 0;
    ++fetch.attempts;
    const auto cap = std::min(FetchRetryCap, FetchRetryBase * (1U << std::min(fetch.attempts, 5U)));
    const auto jitter = m_random.nextBelow(static_cast<std::uint64_t>(cap.count()));
    fetch.deadline = now + FetchRetryBase + Milliseconds(jitter);
}

void PullDuty::checkpointEnded()
{
    m_checkpointDeadline.reset();
}

void PullDuty::resumeAfterPause()
{
    m_pull.reset();
    m_fetches.clear();
    m_needSince.reset();
    m_neededHead = TicketNumber();
    m_checkpointDeadline.reset();
}

bool PullDuty::takeAskDue(TimePoint now)
{
    if (!m_needSince || m_pull || now < m_nextAsk) {
        return false;
    }
    m_nextAsk = now + m_settings.askDelay;
    return true;
}

} // namespace jasminemast
