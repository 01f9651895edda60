// Snapshots of the ticket log.
#include "jasminemast/spread/ticketstore.h"

namespace jasminemast
{

std::string TicketStore::snapshot() const
{
    return {};
}

bool TicketStore::offerSnapshot(std::string_view)
{
    return false;
}

} // namespace jasminemast
