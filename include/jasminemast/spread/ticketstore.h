// Access to the ticket log, with tickets and snapshots encoded as peers exchange them.
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
    /// The highest accepted head known; at least the number of state().
    [[nodiscard]] Head head() const;
    [[nodiscard]] HeadStatus addAcceptedHead(const Head &head);
    /// The next ticket numbers whose bytes are to be fetched, at most \p limit.
    [[nodiscard]] std::vector<TicketNumber> missing(std::size_t limit) const;
    [[nodiscard]] bool needsSnapshot() const;
    AddTicketStatus addTicket(TicketNumber number, std::string bytes);
    /// False when a peer has another state after the same ticket.
    bool matchesPeerState(const Head &head, const Digest &stateDigest);
    /// The bytes of an applied ticket if they are still retained.
    [[nodiscard]] std::optional<std::string> ticket(TicketNumber number) const;
    /// The state and the logbook, encoded for installSnapshot() of another store.
    [[nodiscard]] std::string snapshot() const;
    /// Installs a snapshot that is newer than state(). Returns false when it is older or malformed.
    bool installSnapshot(std::string_view bytes);
    bool installDecodedSnapshot(const Snapshot &snapshot);
    /// Returns the results of applying tickets since the last call.
    std::vector<LogEntry> takeNewEntries();

private:
    TicketLog &m_log;
    const Clock &m_clock;
    std::vector<LogEntry> m_newEntries;
};

} // namespace jasminemast
