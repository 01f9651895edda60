// Fuzzes the parser of the accepted head: a head or its one result code.
#include "jasminemast/config/ticket.h"

#include <cstdlib>

using namespace jasminemast;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) // NOLINT: name set by libFuzzer
{
    try {
        const Head head = parseHead({reinterpret_cast<const char *>(data), size});
        if (head.number == TicketNumber(0)) {
            std::abort(); // no ticket has that number
        }
    } catch (const ResultError &error) {
        if (error.code() != ResultCode::AcceptedMalformed) {
            std::abort(); // a code that callers don't expect
        }
    }
    return 0;
}
