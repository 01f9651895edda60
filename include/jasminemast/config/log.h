// The ticket log of one node: the state in force, the accepted tickets not applied yet, and what to fetch next.
//
// Tickets form a hash chain: each contains the digest of the one before it (`previous`). Operators accept a ticket by
// publishing its number and digest, the accepted head. The log follows `previous` backwards from the accepted head to
// the applied ticket and then applies the tickets in ascending order. It does no I/O: the caller adds accepted heads,
// ticket bytes and snapshots and asks what to fetch next. docs/design/tickets.md explains the rules.
#pragma once

#include "jasminemast/config/logbook.h"
#include "jasminemast/config/ticket.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace jasminemast
{

/// Bounds of the memory that a TicketLog may use.
struct TicketLogSettings
{
    std::size_t maxRecentTickets = 256; ///< applied tickets whose bytes are retained for peers
    std::size_t maxRecentBytes = 4'000'000; ///< bytes of those tickets
    std::size_t maxPendingBytes = 8'000'000; ///< bytes of tickets that wait for one with a lower number
    std::size_t maxTrackedAhead = 20'000; ///< max distance of a tracked ticket above the applied one
    std::size_t maxLogEntries = 5'000; ///< entries retained in the logbook
};

/// How an added head relates to this log.
enum class HeadStatus {
    Newer, ///< the highest accepted head so far
    Known, ///< the last applied ticket, or already tracked
    Older, ///< below the highest head; tracked if it is above the applied ticket, otherwise ignored
    Conflict, ///< its number is known with another digest; applied tickets stay applied
};

/// Result of adding the bytes of a ticket.
enum class AddTicketStatus {
    Applied, ///< one or more tickets were applied or refused; see AddTicketResult::entries
    Stored, ///< the digest matches; waits for a ticket with a lower number
    WrongDigest, ///< not the accepted bytes: fetch them from another source
    NotWanted, ///< already applied or stored, or its digest is not known from any accepted head
};

/// Result of installing a snapshot.
enum class InstallSnapshotResult {
    Installed, ///< the state in force is now that of the snapshot
    Older, ///< not above the applied ticket
    Conflict, ///< its ticket has another accepted digest, or led to another state on this node
};

/// Result of adding ticket bytes and the logbook entries that this added.
struct AddTicketResult
{
    AddTicketStatus status = AddTicketStatus::NotWanted;
    std::vector<LogEntry> entries;
};

/// A ticket to fetch.
struct WantedTicket
{
    TicketNumber number;
    Digest digest;

    bool operator==(const WantedTicket &) const = default;
};

/// An applied ticket, retained for peers.
struct RecentTicket
{
    Head head;
    std::shared_ptr<const std::string> bytes;
};

/// Totals since the start of the process.
struct TicketLogCounters
{
    std::uint64_t applied = 0;
    std::uint64_t refused = 0;
    std::uint64_t snapshots = 0;
    std::uint64_t conflicts = 0; ///< same number with another digest, or same ticket with another state
    std::uint64_t olderHeads = 0;
    std::uint64_t wrongDigests = 0;
    std::uint64_t notWanted = 0;
};

/// The accepted tickets that one node knows of.
///
/// Invariants: state()->number only grows, by one for each ticket or further by a snapshot; a ticket is applied only if
/// its digest is that of an accepted head or is named by the `previous` fields of the tickets below one.
class TicketLog
{
public:
    explicit TicketLog(const TicketLogSettings &settings = {}, StatePtr initial = emptyState());

    /// The state in force: that after the last applied ticket, which this node routes by.
    [[nodiscard]] const StatePtr &state() const
    {
        return m_state;
    }
    /// The last applied ticket.
    [[nodiscard]] Head applied() const;
    /// The highest accepted head known; equals applied() when nothing is missing.
    [[nodiscard]] Head highestAcceptedHead() const;
    /// True when every accepted ticket that this node knows of has been applied.
    [[nodiscard]] bool isCurrent() const
    {
        return m_pending.empty();
    }

    /// Adds an accepted head, which becomes the highest or gives the digest of a lower ticket.
    HeadStatus addAcceptedHead(const Head &head);

    /// The tickets to fetch next, most urgent first: those that can be applied next, then those whose `previous` field
    /// gives the digest of the ticket below.
    [[nodiscard]] std::vector<WantedTicket> missing(std::size_t maxTickets) const;

    /// True when the highest head can't be reached by tickets alone: it is more than maxTrackedAhead above the applied
    /// ticket, or a ticket above a gap has no readable `previous` field. A snapshot, or an accepted head in the gap, is
    /// then needed.
    [[nodiscard]] bool needsSnapshot() const;

    /// The digest that a ticket not applied yet must have; std::nullopt while it is unknown.
    [[nodiscard]] std::optional<Digest> expectedDigest(TicketNumber number) const;

    /// Adds the bytes of ticket \p number and applies all tickets that can be applied now. Add several tickets from the
    /// highest number down: each gives the expected digest of the one below.
    AddTicketResult addTicket(TicketNumber number, std::string bytes, WallTimePoint now);

    /// Installs a state from a peer or a checkpoint, with the results of the tickets that led to it. The caller must
    /// have verified the state's digest. Entries of pending tickets applied on top are appended to \p entries.
    InstallSnapshotResult installSnapshot(const StatePtr &state, const std::vector<LogEntry> &history,
                                          WallTimePoint now, std::vector<LogEntry> *entries = nullptr);

    /// Returns false and counts a conflict if this node knows another digest of the ticket or another state after it
    /// than the peer.
    bool matchesPeerState(const Head &head, const Digest &stateDigest);

    /// The bytes of an applied ticket; null when they are no longer retained.
    [[nodiscard]] std::shared_ptr<const std::string> recentBytes(TicketNumber number) const;
    [[nodiscard]] const std::deque<RecentTicket> &recentTickets() const
    {
        return m_recent;
    }
    /// Total size of the tickets that wait for one with a lower number.
    [[nodiscard]] std::size_t pendingBytes() const
    {
        return m_pendingBytes;
    }
    [[nodiscard]] const Logbook &logbook() const
    {
        return m_logbook;
    }
    [[nodiscard]] const TicketLogCounters &counters() const
    {
        return m_counters;
    }

private:
    /// An accepted ticket above the applied one.
    struct PendingTicket
    {
        Digest digest;
        bool isAcceptedHead = false; ///< its digest is from a head, not only from the ticket above it
        bool isPreviousFollowed = false; ///< its `previous` field has been read
        bool lacksPrevious = false; ///< it has no readable `previous` field
        std::shared_ptr<const std::string> bytes {}; ///< null: not fetched yet, or discarded and to be fetched again
    };
    using PendingMap = std::map<TicketNumber, PendingTicket>;

    HeadStatus addPendingHead(const Head &head);
    HeadStatus trackHead(const Head &head);
    HeadStatus classifyPastHead(const Head &head);
    void followPrevious(PendingMap::iterator ticket);
    void eraseDerivedBelow(TicketNumber number);
    PendingMap::iterator erasePending(PendingMap::iterator ticket);
    [[nodiscard]] bool isTrackable(TicketNumber number) const;
    void applyCompleteTickets(WallTimePoint now, std::vector<LogEntry> &entries);
    void applyFirstPending(WallTimePoint now, std::vector<LogEntry> &entries);
    void recordSnapshot(const std::vector<LogEntry> &history, WallTimePoint now);
    void retainRecent(const Head &head, std::shared_ptr<const std::string> bytes);
    void trimPendingBytes();
    [[nodiscard]] TicketNumber nextNumber() const;

    TicketLogSettings m_settings;
    StatePtr m_state;
    /// Invariants: every key is above m_state->number; at most one is more than maxTrackedAhead above it, and that one
    /// is the highest head; m_pendingBytes is the sum of the sizes of all PendingTicket::bytes.
    PendingMap m_pending;
    std::size_t m_pendingBytes = 0;
    std::deque<RecentTicket> m_recent; ///< ascending numbers, within both bounds of the settings
    std::size_t m_recentBytes = 0;
    Logbook m_logbook;
    TicketLogCounters m_counters;
};

} // namespace jasminemast
