// What spreading needs of the ticket log, in the form in which peers exchange it.
#pragma once

#include "jasminemast/config/log.h"
#include "jasminemast/config/snapshot.h"
#include "jasminemast/support/clock.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jasminemast
{

/// Gives the spreading core access to the ticket log of the process.
class TicketStore
{
public:
    /// \p log and \p clock must outlive the store.
    TicketStore(TicketLog &log, const Clock &clock);

    /// The state after the last applied ticket.
    [[nodiscard]] StatePtr state() const;
    /// The highest accepted head known; not below state().
    [[nodiscard]] Head head() const;
    [[nodiscard]] HeadStatus addAcceptedHead(const Head &head);
    /// Numbers whose bytes are to be fetched next, at most \p limit.
    [[nodiscard]] std::vector<TicketNumber> missing(std::size_t limit) const;
    [[nodiscard]] bool needsSnapshot() const;
    AddTicketStatus addTicket(TicketNumber number, std::string bytes);
    /// False when a peer reached another state from the same ticket.
    bool matchesPeerState(const Head &head, const Digest &stateDigest);
    /// The bytes of an applied ticket that is still kept.
    [[nodiscard]] std::optional<std::string> ticket(TicketNumber number) const;
    /// The state and the verdicts that led to it, in a form that installSnapshot() of another store takes.
    [[nodiscard]] std::string snapshot() const;
    /// Applies a snapshot that is newer than state(); false when it is not, or malformed.
    bool installSnapshot(std::string_view bytes);
    bool adopt(const Snapshot &snapshot);
    /// Verdicts that were reached since the last call.
    std::vector<LogEntry> takeNewEntries();

private:
    TicketLog &m_log;
    const Clock &m_clock;
    std::vector<LogEntry> m_entries;
};

} // namespace jasminemast
