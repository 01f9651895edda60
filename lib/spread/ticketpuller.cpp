// Chooses where missing tickets are fetched from.
#include "jasminemast/spread/ticketpuller.h"

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
constexpr Milliseconds FailedPullAvoidance {1000}; ///< for a peer that did not respond or had no newer tickets
constexpr Milliseconds BusyRetryBase {20};
constexpr Milliseconds BusyRetryCap {300};
constexpr std::uint64_t MinCheckpointGap = 64; ///< missing tickets above which a checkpoint takes fewer bytes
constexpr std::size_t MaxTicketFetches = 64; ///< fetched concurrently

} // namespace

TicketPuller::TicketPuller(const SpreadSettings &settings, const Topology &topology, TicketStore &store,
                           ServiceBudget &budget, Random &random, SpreadCounters &counters)
    : m_settings(settings)
    , m_topology(topology)
    , m_store(store)
    , m_budget(budget)
    , m_random(random)
    , m_counters(counters)
    , m_busyBackoff(BusyRetryBase, BusyRetryCap)
{
}

void TicketPuller::updatePeer(const Sender &sender)
{
    auto &peer = m_peers[sender.host];
    peer.applied = sender.applied.number;
    peer.accepted = sender.accepted.number;
}

void TicketPuller::retainListed()
{
    std::erase_if(m_peers, [this](const auto &entry) { return !m_topology.isListed(entry.first); });
}

const PeerKnowledge *TicketPuller::knowledge(const HostId &host) const
{
    const auto found = m_peers.find(host);
    return found == m_peers.end() ? nullptr : &found->second;
}

SpreadActions TicketPuller::step(const Sender &sender, TimePoint now)
{
    expire(now);
    updateCatchUp(now);
    if (!m_behindSince || m_pull) {
        return {};
    }
    if (const auto peer = choosePeer(now, true)) {
        return startPull(*peer, sender, now);
    }
    return fetchForRegion(sender, now);
}

void TicketPuller::expire(TimePoint now)
{
    if (m_pull && now >= m_pull->deadline) {
        ++m_counters.pullTimeouts;
        endPull(now, FailedPullAvoidance);
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

void TicketPuller::updateCatchUp(TimePoint now)
{
    const auto applied = m_store.state()->number;
    const auto head = m_store.head().number;
    if (head <= applied) {
        m_behindSince.reset();
        m_fetches.clear();
        return;
    }
    if (m_behindSince && m_catchUpHead == head) {
        return;
    }
    m_behindSince = now;
    m_catchUpHead = head;
    m_rank.reset();
    m_nextPeerQuery = now + m_settings.askDelay;
    std::erase_if(m_fetches, [applied](const auto &entry) { return entry.first <= applied; });
}

std::optional<HostId> TicketPuller::choosePeer(TimePoint now, bool localRegion)
{
    const auto applied = m_store.state()->number;
    std::vector<HostId> best;
    int bestScore = -1;
    for (const auto &[host, peer] : m_peers) {
        if (peer.applied <= applied || now < peer.avoidUntil) {
            continue;
        }
        if (m_topology.sameRegion(host) != localRegion) {
            continue;
        }
        if (m_topology.availability(host, now) == HostAvailability::Dead) {
            continue;
        }
        const int score = (m_topology.sameZone(host) ? 2 : 0) + (peer.applied >= m_catchUpHead ? 1 : 0);
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

SpreadActions TicketPuller::startPull(const HostId &peer, const Sender &sender, TimePoint now)
{
    ++m_counters.pullsSent;
    m_pull = Pull {++m_lastId, peer, now + m_settings.pullTimeout};
    return {SendPull {peer, PullRequest {m_lastId, m_store.state()->number, TicketNumber(), sender}}};
}

SpreadActions TicketPuller::pullFrom(const HostId &peer, TicketNumber number, const Sender &sender, TimePoint now)
{
    expire(now);
    auto &knowledge = m_peers[peer];
    knowledge.applied = std::max(knowledge.applied, number);
    if (m_pull || number <= m_store.state()->number) {
        return {};
    }
    return startPull(peer, sender, now);
}

SpreadActions TicketPuller::fetchForRegion(const Sender &sender, TimePoint now)
{
    const auto &self = m_topology.self();
    if (!m_rank || m_rankRevision != m_topology.revision()) {
        m_rankRevision = m_topology.revision();
        const auto order = m_topology.fetchOrder(self.region, m_catchUpHead, now);
        const auto selfPosition = std::find(order.begin(), order.end(), self.host);
        m_rank = static_cast<std::size_t>(selfPosition - order.begin());
    }
    const bool outsideStoreRegion = !m_topology.inStoreRegion();
    const bool pushExpected = outsideStoreRegion && *m_rank < m_settings.regionPushCount;
    const auto step = m_settings.regionFallbackDelay;
    // The number of nodes that may fetch doubles with each step, so that dead nodes delay the others only briefly.
    const auto steps = std::bit_width(*m_rank) + (pushExpected ? 1 : 0);
    const auto mayFetchAt = *m_behindSince + step * steps;
    if (now < mayFetchAt) {
        return {};
    }
    if (const auto peer = choosePeer(now, false)) {
        return startPull(*peer, sender, now);
    }
    if (outsideStoreRegion && now < mayFetchAt + step) {
        return {};
    }
    return fetchFromService(sender, now);
}

SpreadActions TicketPuller::fetchFromService(const Sender &sender, TimePoint now)
{
    if (m_checkpointDeadline) {
        return {};
    }
    const auto applied = m_store.state()->number;
    const bool wantsCheckpoint = applied == TicketNumber() && m_catchUpHead.value() > MinCheckpointGap;
    if (wantsCheckpoint && !m_checkpointTried && m_budget.take(now)) {
        ++m_counters.serviceCalls;
        m_checkpointTried = true;
        m_checkpointDeadline = now + CheckpointTimeout;
        return {FetchCheckpoint {m_catchUpHead}};
    }
    SpreadActions actions;
    const auto missing = m_store.missing(MaxTicketFetches);
    for (const auto number : missing) {
        auto started = fetchOne(number, sender, now);
        actions.insert(actions.end(), started.begin(), started.end());
    }
    return actions;
}

SpreadActions TicketPuller::fetchOne(TicketNumber number, const Sender &sender, TimePoint now)
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

/// Chooses another node of the region to fetch \p number with its share of the service calls.
std::optional<HostId> TicketPuller::chooseHelper(TicketNumber number, unsigned attempts, TimePoint now) const
{
    const auto &self = m_topology.self();
    auto order = m_topology.fetchOrder(self.region, number, now);
    std::erase(order, self.host);
    if (order.empty()) {
        return std::nullopt;
    }
    return order[attempts % order.size()];
}

void TicketPuller::onReply(const PullReply &reply, TimePoint now)
{
    updatePeer(reply.sender);
    const bool hasTickets = reply.result == PullResult::Served && (!reply.tickets.empty() || !reply.snapshot.empty());
    for (auto &[number, fetch] : m_fetches) {
        if (!fetch.inFlight || fetch.pullId == 0 || fetch.pullId != reply.id) {
            continue;
        }
        if (hasTickets) {
            fetch.inFlight = false;
        } else {
            retryFetchLater(fetch, now);
        }
    }
    if (!m_pull || m_pull->id != reply.id) {
        return;
    }
    if (reply.result == PullResult::Busy) {
        ++m_counters.pullsRefused;
        endPull(now, m_busyBackoff.next(m_random));
        return;
    }
    m_busyBackoff.reset();
    endPull(now, hasTickets ? Milliseconds(0) : FailedPullAvoidance);
}

void TicketPuller::onPullFailed(std::uint64_t id, TimePoint now)
{
    for (auto &[number, fetch] : m_fetches) {
        if (fetch.inFlight && fetch.pullId != 0 && fetch.pullId == id) {
            retryFetchLater(fetch, now);
        }
    }
    if (m_pull && m_pull->id == id) {
        endPull(now, FailedPullAvoidance);
    }
}

void TicketPuller::endPull(TimePoint now, Milliseconds avoidFor)
{
    m_peers[m_pull->peer].avoidUntil = now + avoidFor;
    m_pull.reset();
}

void TicketPuller::onTicketFetched(TicketNumber number, TimePoint)
{
    m_lastFetched = number;
    const auto fetch = m_fetches.find(number);
    if (fetch != m_fetches.end()) {
        m_fetches.erase(fetch);
    }
    ++m_counters.ticketsFetched;
}

void TicketPuller::onTicketFetchFailed(TicketNumber number, TimePoint now)
{
    ++m_counters.fetchFailures;
    const auto fetch = m_fetches.find(number);
    if (fetch != m_fetches.end()) {
        retryFetchLater(fetch->second, now);
    }
}

void TicketPuller::retryFetchLater(Fetch &fetch, TimePoint now)
{
    fetch.inFlight = false;
    fetch.pullId = 0;
    ++fetch.attempts;
    const auto cap = std::min(FetchRetryCap, FetchRetryBase * (1U << std::min(fetch.attempts, 5U)));
    const auto jitter = m_random.nextBelow(static_cast<std::uint64_t>(cap.count()));
    fetch.deadline = now + FetchRetryBase + Milliseconds(jitter);
}

void TicketPuller::onCheckpointFetchEnded()
{
    m_checkpointDeadline.reset();
}

void TicketPuller::resumeAfterPause()
{
    m_pull.reset();
    m_fetches.clear();
    m_behindSince.reset();
    m_catchUpHead = TicketNumber();
    m_checkpointDeadline.reset();
}

bool TicketPuller::takePeerQueryDue(TimePoint now)
{
    if (!m_behindSince || m_pull || now < m_nextPeerQuery) {
        return false;
    }
    m_nextPeerQuery = now + m_settings.askDelay;
    return true;
}

} // namespace jasminemast
