// Follows accepted heads backwards to the applied ticket and applies tickets forwards from it.
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
    const HeadStatus status = head.number > m_state->number ? addPendingHead(head) : classifyPastHead(head);
    if (status == HeadStatus::Older) {
        ++m_counters.olderHeads;
    }
    if (status == HeadStatus::Conflict) {
        ++m_counters.conflicts;
    }
    return status;
}

HeadStatus TicketLog::classifyPastHead(const Head &head)
{
    if (head.number == m_state->number) {
        return head.digest == m_state->ticketDigest ? HeadStatus::Known : HeadStatus::Conflict;
    }
    const LogEntry *entry = m_logbook.find(head.number);
    const bool differs = entry != nullptr && entry->head.digest != head.digest;
    return differs ? HeadStatus::Conflict : HeadStatus::Older;
}

HeadStatus TicketLog::addPendingHead(const Head &head)
{
    const auto found = m_pending.find(head.number);
    if (found == m_pending.end()) {
        return trackHead(head);
    }
    PendingTicket &known = found->second;
    if (known.digest == head.digest) {
        known.isAcceptedHead = true;
        return HeadStatus::Known;
    }
    if (!known.isAcceptedHead) {
        // An accepted head takes precedence over the `previous` field of a later ticket.
        eraseDerivedBelow(head.number);
        m_pendingBytes -= known.bytes ? known.bytes->size() : 0;
        known = PendingTicket {.digest = head.digest, .isAcceptedHead = true};
    }
    return HeadStatus::Conflict;
}

HeadStatus TicketLog::trackHead(const Head &head)
{
    const TicketNumber highestNumber = highestAcceptedHead().number;
    const bool isNewer = head.number > highestNumber;
    if (!isNewer && !isTrackable(head.number)) {
        return HeadStatus::Older;
    }
    if (isNewer && !isTrackable(highestNumber)) {
        erasePending(std::prev(m_pending.end()));
    }
    m_pending.emplace(head.number, PendingTicket {.digest = head.digest, .isAcceptedHead = true});
    return isNewer ? HeadStatus::Newer : HeadStatus::Older;
}

/// Erases the run of tickets below \p number that are known only through `previous` fields.
void TicketLog::eraseDerivedBelow(TicketNumber number)
{
    auto ticket = m_pending.find(number);
    while (ticket->second.isPreviousFollowed && ticket != m_pending.begin()) {
        const auto below = std::prev(ticket);
        const bool isDerived = below->first.value() + 1 == number.value() && !below->second.isAcceptedHead;
        if (!isDerived) {
            return;
        }
        ticket->second.isPreviousFollowed = below->second.isPreviousFollowed;
        number = below->first;
        erasePending(below);
    }
}

TicketLog::PendingMap::iterator TicketLog::erasePending(PendingMap::iterator ticket)
{
    m_pendingBytes -= ticket->second.bytes ? ticket->second.bytes->size() : 0;
    return m_pending.erase(ticket);
}

bool TicketLog::isTrackable(TicketNumber number) const
{
    return number <= m_state->number || number.value() - m_state->number.value() <= m_settings.maxTrackedAhead;
}

std::vector<WantedTicket> TicketLog::missing(std::size_t maxTickets) const
{
    std::vector<WantedTicket> wanted;
    TicketNumber next = nextNumber();
    for (const auto &[number, ticket] : m_pending) {
        if (number != next || wanted.size() >= maxTickets) {
            break;
        }
        next = TicketNumber(next.value() + 1);
        if (!ticket.bytes) {
            wanted.push_back({number, ticket.digest});
        }
    }
    for (auto ticket = m_pending.rbegin(); ticket != m_pending.rend() && wanted.size() < maxTickets; ++ticket) {
        const bool isInRun = ticket->first < next;
        if (isInRun || ticket->second.isPreviousFollowed || !isTrackable(ticket->first)) {
            continue;
        }
        wanted.push_back({ticket->first, ticket->second.digest});
    }
    return wanted;
}

bool TicketLog::needsSnapshot() const
{
    if (!isTrackable(highestAcceptedHead().number)) {
        return true;
    }
    TicketNumber below = m_state->number;
    for (const auto &[number, ticket] : m_pending) {
        const bool isGapBelow = number.value() != below.value() + 1;
        if (isGapBelow && ticket.lacksPrevious) {
            return true;
        }
        below = number;
    }
    return false;
}

std::optional<Digest> TicketLog::expectedDigest(TicketNumber number) const
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
    if (found == m_pending.end() || found->second.bytes || !isTrackable(number)) {
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
    applyCompleteTickets(now, result.entries);
    trimPendingBytes();
    if (!result.entries.empty()) {
        result.status = AddTicketStatus::Applied;
    }
    return result;
}

/// Tracks the ticket below with the digest that \p ticket names. applyTicket() checks the link to the applied ticket.
void TicketLog::followPrevious(PendingMap::iterator ticket)
{
    PendingTicket &pending = ticket->second;
    if (pending.isPreviousFollowed) {
        return;
    }
    pending.isPreviousFollowed = true;
    const TicketNumber below(ticket->first.value() - 1);
    if (below <= m_state->number) {
        return;
    }
    const std::optional<Digest> previous = parsePreviousDigest(*pending.bytes);
    if (!previous) {
        pending.lacksPrevious = true;
        return;
    }
    // A digest that is already known stays; if it differs, applyTicket() refuses the ticket above it.
    m_pending.try_emplace(below, PendingTicket {.digest = *previous});
}

void TicketLog::applyCompleteTickets(WallTimePoint now, std::vector<LogEntry> &entries)
{
    while (!m_pending.empty() && m_pending.begin()->first == nextNumber() && m_pending.begin()->second.bytes) {
        applyFirstPending(now, entries);
    }
}

void TicketLog::applyFirstPending(WallTimePoint now, std::vector<LogEntry> &entries)
{
    const auto first = m_pending.begin();
    const Head head {first->first, first->second.digest};
    const std::shared_ptr<const std::string> bytes = first->second.bytes;
    erasePending(first);

    ApplyResult result = applyTicket(m_state, head.number, *bytes);
    assert(result.state->number > m_state->number && "applying a ticket must advance the ticket number");
    m_state = std::move(result.state);
    const bool isRefused = result.code != ResultCode::Ok;
    m_counters.refused += isRefused ? 1 : 0;
    m_counters.applied += isRefused ? 0 : 1;
    m_counters.conflicts += result.code == ResultCode::TicketWrongPrevious ? 1 : 0;

    const LogEntry entry {.head = head,
                          .code = result.code,
                          .detail = std::move(result.detail),
                          .stateDigest = m_state->stateDigest,
                          .inForceAt = now,
                          .origin = LogEntry::Origin::Applied};
    m_logbook.append(entry);
    entries.push_back(entry);
    retainRecent(head, bytes);
}

void TicketLog::retainRecent(const Head &head, std::shared_ptr<const std::string> bytes)
{
    m_recentBytes += bytes->size();
    m_recent.push_back({head, std::move(bytes)});
    while (m_recent.size() > m_settings.maxRecentTickets
           || (m_recentBytes > m_settings.maxRecentBytes && m_recent.size() > 1)) {
        m_recentBytes -= m_recent.front().bytes->size();
        m_recent.pop_front();
    }
}

/// Discards bytes from the highest ticket down until the limit holds; the digests stay, so that missing() asks for the
/// bytes again.
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
    const auto expected = m_pending.find(state->number);
    if (expected != m_pending.end() && expected->second.digest != state->ticketDigest) {
        ++m_counters.conflicts;
        return InstallSnapshotResult::Conflict;
    }
    m_state = state;
    ++m_counters.snapshots;
    while (!m_pending.empty() && m_pending.begin()->first <= state->number) {
        erasePending(m_pending.begin());
    }
    recordSnapshot(history, now);
    std::vector<LogEntry> newEntries;
    applyCompleteTickets(now, newEntries);
    if (entries != nullptr) {
        entries->insert(entries->end(), newEntries.begin(), newEntries.end());
    }
    return InstallSnapshotResult::Installed;
}

void TicketLog::recordSnapshot(const std::vector<LogEntry> &history, WallTimePoint now)
{
    LogEntry snapshotEntry {.head = applied(), .detail = "taken from a snapshot", .stateDigest = m_state->stateDigest};
    std::vector<LogEntry> before;
    for (const LogEntry &entry : history) {
        if (entry.head.number < snapshotEntry.head.number) {
            before.push_back(entry);
        } else if (entry.head == snapshotEntry.head) {
            snapshotEntry.code = entry.code;
            snapshotEntry.detail = entry.code == ResultCode::Ok ? snapshotEntry.detail : entry.detail;
        }
    }
    m_logbook.mergeHistory(before);
    snapshotEntry.origin = LogEntry::Origin::History;
    snapshotEntry.inForceAt = now;
    m_logbook.append(std::move(snapshotEntry));
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
