// The logbook: the result of each ticket on this node. Bounded; the oldest entries are dropped first.
#pragma once

#include "jasminemast/config/ticket.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace jasminemast
{

/// The result of applying one ticket.
struct LogEntry
{
    /// How this node learned of the result.
    enum class Origin : std::uint8_t {
        Applied, ///< this node applied the ticket itself
        History, ///< read from a snapshot; inForceAt is the epoch except for the snapshot's last ticket
    };

    Head head;
    ResultCode code = ResultCode::Ok; ///< Ok: applied; otherwise the reason of the refusal
    std::string detail {}; ///< place and cause of a refusal, truncated to Logbook::MaxDetailBytes
    Digest stateDigest {}; ///< state after the ticket; all zero when unknown
    WallTimePoint inForceAt {}; ///< when the state after the ticket came into force on this node
    Origin origin = Origin::Applied;

    bool operator==(const LogEntry &) const = default;
};

/// Entries in ascending order of their ticket numbers.
///
/// Invariants: numbers strictly ascend; there are at most maxEntries entries. Numbers may be missing below an installed
/// snapshot.
class Logbook
{
public:
    static constexpr std::size_t MaxDetailBytes = 200;

    explicit Logbook(std::size_t maxEntries);

    /// Appends \p entry unless its number is not above the last one.
    void append(LogEntry entry);
    /// Adds the entries of \p history that are above the last entry, then those below the first while there is space.
    void mergeHistory(const std::vector<LogEntry> &history);

    [[nodiscard]] const std::deque<LogEntry> &entries() const
    {
        return m_entries;
    }
    /// The entry of \p number; null when it is unknown or was dropped.
    [[nodiscard]] const LogEntry *find(TicketNumber number) const;
    /// Up to \p maxCount of the last entries, for a snapshot.
    [[nodiscard]] std::vector<LogEntry> tail(std::size_t maxCount) const;

private:
    std::size_t m_maxEntries;
    std::deque<LogEntry> m_entries;
};

} // namespace jasminemast
