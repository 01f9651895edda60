// Snapshots of the ticket log.
#include "jasminemast/spread/ticketstore.h"

#include "jasminemast/support/result.h"

namespace jasminemast
{

std::string TicketStore::snapshot() const
{
    const auto &entries = m_log.logbook().entries();
    return encodeSnapshot(*m_log.state(), {entries.begin(), entries.end()});
}

bool TicketStore::installSnapshot(std::string_view bytes)
{
    try {
        return installDecodedSnapshot(decodeSnapshot(bytes));
    } catch (const ResultError &) {
        return false;
    }
}

bool TicketStore::installDecodedSnapshot(const Snapshot &snapshot)
{
    const auto result = m_log.installSnapshot(snapshot.state, snapshot.history, m_clock.wallNow(), &m_newEntries);
    return result == InstallSnapshotResult::Installed;
}

} // namespace jasminemast
