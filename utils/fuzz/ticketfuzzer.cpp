// Fuzzes the fold of a ticket: never a crash, never a part of a refused ticket, always whole references.
#include "jasminemast/config/ticket.h"

#include <cstdlib>

using namespace jasminemast;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) // NOLINT: name set by libFuzzer
{
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);
    static const StatePtr before = emptyState();
    const ApplyResult verdict = applyTicket(before, TicketNumber(1), bytes);
    parsePreviousDigest(bytes);
    if (verdict.code != ResultCode::Ok && verdict.state->stateDigest != before->stateDigest) {
        std::abort(); // a refused ticket changed the state
    }
    checkReferences(*verdict.state);
    if (verdict.state->number != TicketNumber(1) || verdict.state->ticketDigest != sha256(bytes)) {
        std::abort(); // the number was not used up
    }
    return 0;
}
