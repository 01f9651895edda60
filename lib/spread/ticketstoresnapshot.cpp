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
        return adopt(decodeSnapshot(bytes));
    } catch (const ResultError &) {
        return false;
    }
}

bool TicketStore::adopt(const Snapshot &snapshot)
{
    const auto offer = m_log.installSnapshot(snapshot.state, snapshot.history, m_clock.wallNow(), &m_entries);
    return offer == InstallSnapshotResult::Installed;
}

} // namespace jasminemast
