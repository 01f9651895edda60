// The ticket log of one node: which state is in force, which accepted tickets lead beyond it, and what to fetch next.
//
// A core without I/O. The caller tells it of accepted heads, of ticket bytes and of snapshots, from wherever they come;
// it says what it wants next. docs/design/tickets.md explains the rules.
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
    std::size_t maxRecentTickets = 256; ///< folded tickets whose bytes are kept for peers
    std::size_t maxRecentBytes = 4'000'000; ///< bytes of those tickets
    std::size_t maxPendingBytes = 8'000'000; ///< bytes of tickets that wait for a lower number
    std::size_t maxReach = 20'000; ///< how far beyond the applied number tickets are tracked one by one
    std::size_t maxLogEntries = 5'000; ///< verdicts kept in the logbook
};

/// What an offered head is to this log.
enum class HeadStatus {
    Newer, ///< the highest accepted head so far; it is the target now
    Known, ///< already applied last, or already tracked
    Older, ///< below the target; kept as evidence when it is above the applied ticket, dropped otherwise
    Conflict, ///< its number is known with another digest; what was applied stays
};

/// What became of offered ticket bytes.
enum class AddTicketStatus {
    Applied, ///< one or more tickets came into force or were refused; see AddTicketResult::entries
    Stored, ///< the bytes are right and wait for a lower number
    WrongDigest, ///< not the accepted bytes: fetch them elsewhere
    NotWanted, ///< already applied or held, or no accepted head commits that number
};

/// What became of an offered snapshot.
enum class InstallSnapshotResult {
    Installed, ///< the state is now that of the snapshot
    Older, ///< not beyond the applied ticket
    Conflict, ///< an accepted digest for its number differs, or the same ticket led to another state
};

/// The answer to offered bytes: the verdict and the logbook entries that it added.
struct AddTicketResult
{
    AddTicketStatus status = AddTicketStatus::NotWanted;
    std::vector<LogEntry> entries;
};

/// A ticket whose bytes are wanted.
struct WantedTicket
{
    TicketNumber number;
    Digest digest;

    bool operator==(const WantedTicket &) const = default;
};

/// One folded ticket, kept for peers.
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

/// The accepted tickets as one node knows them.
///
/// Invariants: state()->number only grows, one by one but for snapshots; a ticket is folded only when an accepted head
/// commits its digest, itself or through the `previous` fields of the tickets above it.
class TicketLog
{
public:
    explicit TicketLog(const TicketLogSettings &settings = {}, StatePtr initial = emptyState());

    /// The state in force.
    [[nodiscard]] const StatePtr &state() const
    {
        return m_state;
    }
    /// The last folded ticket.
    [[nodiscard]] Head applied() const;
    /// The highest accepted head known; equals applied() when nothing is missing.
    [[nodiscard]] Head highestAcceptedHead() const;
    /// True when every accepted ticket that this node knows of is folded.
    [[nodiscard]] bool isCurrent() const
    {
        return m_pending.empty();
    }

    /// Takes note of an accepted head.
    HeadStatus addAcceptedHead(const Head &head);

    /// The tickets to fetch next, most urgent first: those that can be folded at once, then those whose `previous`
    /// field is needed to go on backwards from a head.
    [[nodiscard]] std::vector<WantedTicket> missing(std::size_t most) const;

    /// True when tickets alone can't lead to the target: it is beyond reach, or a ticket above a gap names no previous
    /// digest. A snapshot, or the accepted head of a number in between, is then needed.
    [[nodiscard]] bool needsSnapshot() const;

    /// The digest that accepted heads commit for a ticket that is not folded yet; nothing while it is unknown.
    [[nodiscard]] std::optional<Digest> committedDigest(TicketNumber number) const;

    /// Takes the bytes of ticket \p number and folds all that have become complete. A run of tickets is best offered
    /// from its highest number down, since each commits the one below.
    AddTicketResult addTicket(TicketNumber number, std::string bytes, WallTimePoint now);

    /// Takes a state from a peer or a checkpoint, with the verdicts that led to it. The caller has checked the state's
    /// own digest. Tickets that could be folded on top are appended to \p entries.
    InstallSnapshotResult installSnapshot(const StatePtr &state, const std::vector<LogEntry> &history,
                                          WallTimePoint now, std::vector<LogEntry> *entries = nullptr);

    /// Compares with what a peer says about the same ticket; counts a conflict and returns false when the peer
    /// reached another state from it.
    bool matchesPeerState(const Head &head, const Digest &stateDigest);

    /// The bytes of a folded ticket; null when they are no longer kept.
    [[nodiscard]] std::shared_ptr<const std::string> recentBytes(TicketNumber number) const;
    [[nodiscard]] const std::deque<RecentTicket> &recentTickets() const
    {
        return m_recent;
    }
    /// Bytes of the tickets that wait for a lower number.
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
    struct Pending
    {
        Digest digest;
        bool isAcceptedHead = false; ///< named by a head itself, not only by the ticket above it
        bool isLinked = false; ///< its bytes were read, so its `previous` field has been followed
        bool isChainBroken = false; ///< its bytes name no previous digest
        std::shared_ptr<const std::string> bytes {}; ///< null: to be fetched, perhaps again
    };
    using PendingMap = std::map<TicketNumber, Pending>;

    HeadStatus offerPendingHead(const Head &head);
    HeadStatus trackHead(const Head &head);
    HeadStatus offerPastHead(const Head &head);
    void followPrevious(PendingMap::iterator ticket);
    void dropDerivedBelow(TicketNumber number);
    PendingMap::iterator erasePending(PendingMap::iterator ticket);
    [[nodiscard]] bool isInReach(TicketNumber number) const;
    void foldComplete(WallTimePoint now, std::vector<LogEntry> &entries);
    void foldFirst(WallTimePoint now, std::vector<LogEntry> &entries);
    void logSnapshot(const std::vector<LogEntry> &history, WallTimePoint now);
    void keepRecent(const Head &head, std::shared_ptr<const std::string> bytes);
    void trimPendingBytes();
    [[nodiscard]] TicketNumber nextNumber() const;

    TicketLogSettings m_settings;
    StatePtr m_state;
    /// Invariants: every key is above m_state->number; at most one is beyond reach, and that one is the target;
    /// m_pendingBytes is the sum of the sizes of the bytes held.
    PendingMap m_pending;
    std::size_t m_pendingBytes = 0;
    std::deque<RecentTicket> m_recent; ///< ascending numbers, within both bounds of the settings
    std::size_t m_recentBytes = 0;
    Logbook m_logbook;
    TicketLogCounters m_counters;
};

} // namespace jasminemast
