// The logbook: what became of each ticket on this node, bounded, oldest entries dropped first.
#pragma once

#include "jasminemast/config/ticket.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace jasminemast
{

/// One ticket's verdict.
struct LogEntry
{
    /// How this node came to know the verdict.
    enum class Origin : std::uint8_t {
        Folded, ///< this node folded the ticket itself
        History, ///< told by the snapshot that this node started from; inForceAt is then the epoch
    };

    Head head;
    ResultCode code = ResultCode::Ok; ///< Ok: applied; otherwise the reason of the refusal
    std::string detail {}; ///< place and cause of a refusal, cut to Logbook::MaxDetailBytes
    Digest stateDigest {}; ///< state after the ticket; all zero when unknown
    WallTimePoint inForceAt {}; ///< when the state after the ticket came into force on this node
    Origin origin = Origin::Folded;

    bool operator==(const LogEntry &) const = default;
};

/// Verdicts in ascending order of their numbers.
///
/// Invariants: numbers strictly ascend; there are at most maxEntries entries. Numbers may be missing where the node
/// took a snapshot.
class Logbook
{
public:
    static constexpr std::size_t MaxDetailBytes = 200;

    explicit Logbook(std::size_t maxEntries);

    /// Appends \p entry unless its number is not above the last one.
    void append(LogEntry entry);
    /// Takes over entries below the first and above the last own one, as far as there is room.
    void mergeHistory(const std::vector<LogEntry> &history);

    [[nodiscard]] const std::deque<LogEntry> &entries() const
    {
        return m_entries;
    }
    /// The entry of \p number; null when it is not known or no longer kept.
    [[nodiscard]] const LogEntry *find(TicketNumber number) const;
    /// The last \p most entries, for a snapshot.
    [[nodiscard]] std::vector<LogEntry> tail(std::size_t most) const;

private:
    std::size_t m_maxEntries;
    std::deque<LogEntry> m_entries;
};

} // namespace jasminemast
