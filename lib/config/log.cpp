// Following accepted heads backwards to the applied ticket, and folding forwards from it.
#include "jasminemast/config/log.h"

#include <algorithm>
#include <cassert>

namespace jasminemast
{

TicketLog::TicketLog(const TicketLogSettings &settings, StatePtr initial)
    : m_settings(settings)
    , m_state(std::move(initial))
    , m_logbook(settings.maxLogEntries)
{
}

Head TicketLog::applied() const
{
    return Head {m_state->number, m_state->ticketDigest};
}

Head TicketLog::highestAcceptedHead() const
{
    if (m_pending.empty()) {
        return applied();
    }
    const auto &[number, ticket] = *m_pending.rbegin();
    return Head {number, ticket.digest};
}

TicketNumber TicketLog::nextNumber() const
{
    return TicketNumber(m_state->number.value() + 1);
}

HeadStatus TicketLog::addAcceptedHead(const Head &head)
{
    const HeadStatus verdict = head.number > m_state->number ? offerPendingHead(head) : offerPastHead(head);
    if (verdict == HeadStatus::Older) {
        ++m_counters.olderHeads;
    }
    if (verdict == HeadStatus::Conflict) {
        ++m_counters.conflicts;
    }
    return verdict;
}

HeadStatus TicketLog::offerPastHead(const Head &head)
{
    if (head.number == m_state->number) {
        return head.digest == m_state->ticketDigest ? HeadStatus::Known : HeadStatus::Conflict;
    }
    const LogEntry *entry = m_logbook.find(head.number);
    const bool differs = entry != nullptr && entry->head.digest != head.digest;
    return differs ? HeadStatus::Conflict : HeadStatus::Older;
}

HeadStatus TicketLog::offerPendingHead(const Head &head)
{
    const auto found = m_pending.find(head.number);
    if (found == m_pending.end()) {
        return trackHead(head);
    }
    Pending &known = found->second;
    if (known.digest == head.digest) {
        known.isAcceptedHead = true;
        return HeadStatus::Known;
    }
    if (!known.isAcceptedHead) {
        // What operators accepted outranks what a later ticket says came before it.
        dropDerivedBelow(head.number);
        m_pendingBytes -= known.bytes ? known.bytes->size() : 0;
        known = Pending {.digest = head.digest, .isAcceptedHead = true};
    }
    return HeadStatus::Conflict;
}

HeadStatus TicketLog::trackHead(const Head &head)
{
    const TicketNumber targetNumber = highestAcceptedHead().number;
    const bool isNewer = head.number > targetNumber;
    if (!isNewer && !isInReach(head.number)) {
        return HeadStatus::Older;
    }
    if (isNewer && !isInReach(targetNumber)) {
        erasePending(std::prev(m_pending.end()));
    }
    m_pending.emplace(head.number, Pending {.digest = head.digest, .isAcceptedHead = true});
    return isNewer ? HeadStatus::Newer : HeadStatus::Older;
}

/// Removes the tickets that are known only through the `previous` fields from \p number downwards.
void TicketLog::dropDerivedBelow(TicketNumber number)
{
    auto ticket = m_pending.find(number);
    while (ticket->second.isLinked && ticket != m_pending.begin()) {
        const auto below = std::prev(ticket);
        const bool isDerived = below->first.value() + 1 == number.value() && !below->second.isAcceptedHead;
        if (!isDerived) {
            return;
        }
        ticket->second.isLinked = below->second.isLinked;
        number = below->first;
        erasePending(below);
    }
}

TicketLog::PendingMap::iterator TicketLog::erasePending(PendingMap::iterator ticket)
{
    m_pendingBytes -= ticket->second.bytes ? ticket->second.bytes->size() : 0;
    return m_pending.erase(ticket);
}

bool TicketLog::isInReach(TicketNumber number) const
{
    return number <= m_state->number || number.value() - m_state->number.value() <= m_settings.maxReach;
}

std::vector<WantedTicket> TicketLog::missing(std::size_t most) const
{
    std::vector<WantedTicket> wanted;
    TicketNumber next = nextNumber();
    for (const auto &[number, ticket] : m_pending) {
        if (number != next || wanted.size() >= most) {
            break;
        }
        next = TicketNumber(next.value() + 1);
        if (!ticket.bytes) {
            wanted.push_back({number, ticket.digest});
        }
    }
    for (auto ticket = m_pending.rbegin(); ticket != m_pending.rend() && wanted.size() < most; ++ticket) {
        const bool isInRun = ticket->first < next;
        if (isInRun || ticket->second.isLinked || !isInReach(ticket->first)) {
            continue;
        }
        wanted.push_back({ticket->first, ticket->second.digest});
    }
    return wanted;
}

bool TicketLog::needsSnapshot() const
{
    if (!isInReach(highestAcceptedHead().number)) {
        return true;
    }
    TicketNumber below = m_state->number;
    for (const auto &[number, ticket] : m_pending) {
        const bool isGapBelow = number.value() != below.value() + 1;
        if (isGapBelow && ticket.isChainBroken) {
            return true;
        }
        below = number;
    }
    return false;
}

std::optional<Digest> TicketLog::committedDigest(TicketNumber number) const
{
    const auto found = m_pending.find(number);
    if (found == m_pending.end()) {
        return std::nullopt;
    }
    return found->second.digest;
}

AddTicketResult TicketLog::addTicket(TicketNumber number, std::string bytes, WallTimePoint now)
{
    const auto found = m_pending.find(number);
    if (found == m_pending.end() || found->second.bytes || !isInReach(number)) {
        ++m_counters.notWanted;
        return {AddTicketStatus::NotWanted, {}};
    }
    if (sha256(bytes) != found->second.digest) {
        ++m_counters.wrongDigests;
        return {AddTicketStatus::WrongDigest, {}};
    }
    m_pendingBytes += bytes.size();
    found->second.bytes = std::make_shared<const std::string>(std::move(bytes));
    followPrevious(found);

    AddTicketResult result {AddTicketStatus::Stored, {}};
    foldComplete(now, result.entries);
    trimPendingBytes();
    if (!result.entries.empty()) {
        result.status = AddTicketStatus::Applied;
    }
    return result;
}

/// Commits the digest of the ticket below. The fold itself checks the link to the applied ticket.
void TicketLog::followPrevious(PendingMap::iterator ticket)
{
    Pending &pending = ticket->second;
    if (pending.isLinked) {
        return;
    }
    pending.isLinked = true;
    const TicketNumber below(ticket->first.value() - 1);
    if (below <= m_state->number) {
        return;
    }
    const std::optional<Digest> previous = parsePreviousDigest(*pending.bytes);
    if (!previous) {
        pending.isChainBroken = true;
        return;
    }
    // A digest that is known already stays; when it differs, the fold refuses the ticket above it.
    m_pending.try_emplace(below, Pending {.digest = *previous});
}

void TicketLog::foldComplete(WallTimePoint now, std::vector<LogEntry> &entries)
{
    while (!m_pending.empty() && m_pending.begin()->first == nextNumber() && m_pending.begin()->second.bytes) {
        foldFirst(now, entries);
    }
}

void TicketLog::foldFirst(WallTimePoint now, std::vector<LogEntry> &entries)
{
    const auto first = m_pending.begin();
    const Head head {first->first, first->second.digest};
    const std::shared_ptr<const std::string> bytes = first->second.bytes;
    erasePending(first);

    ApplyResult verdict = applyTicket(m_state, head.number, *bytes);
    assert(verdict.state->number > m_state->number && "a fold must advance the ticket number");
    m_state = std::move(verdict.state);
    const bool isRefused = verdict.code != ResultCode::Ok;
    m_counters.refused += isRefused ? 1 : 0;
    m_counters.applied += isRefused ? 0 : 1;
    m_counters.conflicts += verdict.code == ResultCode::TicketWrongPrevious ? 1 : 0;

    const LogEntry entry {.head = head,
                          .code = verdict.code,
                          .detail = std::move(verdict.detail),
                          .stateDigest = m_state->stateDigest,
                          .inForceAt = now,
                          .origin = LogEntry::Origin::Folded};
    m_logbook.append(entry);
    entries.push_back(entry);
    keepRecent(head, bytes);
}

void TicketLog::keepRecent(const Head &head, std::shared_ptr<const std::string> bytes)
{
    m_recentBytes += bytes->size();
    m_recent.push_back({head, std::move(bytes)});
    while (m_recent.size() > m_settings.maxRecentTickets
           || (m_recentBytes > m_settings.maxRecentBytes && m_recent.size() > 1)) {
        m_recentBytes -= m_recent.front().bytes->size();
        m_recent.pop_front();
    }
}

/// Gives up the bytes that are needed last; their digests stay, so they are fetched again in their turn.
void TicketLog::trimPendingBytes()
{
    for (auto ticket = m_pending.rbegin(); ticket != m_pending.rend(); ++ticket) {
        if (m_pendingBytes <= m_settings.maxPendingBytes) {
            return;
        }
        if (!ticket->second.bytes) {
            continue;
        }
        m_pendingBytes -= ticket->second.bytes->size();
        ticket->second.bytes.reset();
    }
}

InstallSnapshotResult TicketLog::installSnapshot(const StatePtr &state, const std::vector<LogEntry> &history,
                                                 WallTimePoint now, std::vector<LogEntry> *entries)
{
    if (state->number <= m_state->number) {
        const bool isSame = matchesPeerState({state->number, state->ticketDigest}, state->stateDigest);
        return isSame ? InstallSnapshotResult::Older : InstallSnapshotResult::Conflict;
    }
    const auto committed = m_pending.find(state->number);
    if (committed != m_pending.end() && committed->second.digest != state->ticketDigest) {
        ++m_counters.conflicts;
        return InstallSnapshotResult::Conflict;
    }
    m_state = state;
    ++m_counters.snapshots;
    while (!m_pending.empty() && m_pending.begin()->first <= state->number) {
        erasePending(m_pending.begin());
    }
    logSnapshot(history, now);
    std::vector<LogEntry> folded;
    foldComplete(now, folded);
    if (entries != nullptr) {
        entries->insert(entries->end(), folded.begin(), folded.end());
    }
    return InstallSnapshotResult::Installed;
}

void TicketLog::logSnapshot(const std::vector<LogEntry> &history, WallTimePoint now)
{
    LogEntry own {.head = applied(), .detail = "taken from a snapshot", .stateDigest = m_state->stateDigest};
    std::vector<LogEntry> before;
    for (const LogEntry &entry : history) {
        if (entry.head.number < own.head.number) {
            before.push_back(entry);
        } else if (entry.head == own.head) {
            own.code = entry.code;
            own.detail = entry.code == ResultCode::Ok ? own.detail : entry.detail;
        }
    }
    m_logbook.mergeHistory(before);
    own.origin = LogEntry::Origin::History;
    own.inForceAt = now;
    m_logbook.append(std::move(own));
}

bool TicketLog::matchesPeerState(const Head &head, const Digest &stateDigest)
{
    bool isSame = true;
    if (head.number == m_state->number) {
        isSame = head == applied() && stateDigest == m_state->stateDigest;
    } else if (const LogEntry *entry = m_logbook.find(head.number); entry != nullptr) {
        const bool isStateKnown = entry->stateDigest != Digest {};
        isSame = entry->head == head && (!isStateKnown || entry->stateDigest == stateDigest);
    }
    m_counters.conflicts += isSame ? 0 : 1;
    return isSame;
}

std::shared_ptr<const std::string> TicketLog::recentBytes(TicketNumber number) const
{
    for (const RecentTicket &ticket : m_recent) {
        if (ticket.head.number == number) {
            return ticket.bytes;
        }
    }
    return nullptr;
}

} // namespace jasminemast
