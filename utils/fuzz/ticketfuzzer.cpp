// Fuzzes applyTicket(): it must not crash, must leave the state unchanged when it refuses a ticket, and must not leave
// references to objects that do not exist.
#include "jasminemast/config/ticket.h"

#include <cstdlib>

using namespace jasminemast;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) // NOLINT: name set by libFuzzer
{
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);
    static const StatePtr before = emptyState();
    const ApplyResult result = applyTicket(before, TicketNumber(1), bytes);
    parsePreviousDigest(bytes);
    if (result.code != ResultCode::Ok && result.state->stateDigest != before->stateDigest) {
        std::abort(); // a refused ticket changed the state
    }
    checkReferences(*result.state);
    if (result.state->number != TicketNumber(1) || result.state->ticketDigest != sha256(bytes)) {
        std::abort(); // a refused ticket must still advance number and ticket digest
    }
    return 0;
}
