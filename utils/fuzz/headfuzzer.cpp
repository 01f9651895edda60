// Fuzzes the parser of the accepted head: it must return a head or throw AcceptedMalformed.
#include "jasminemast/config/ticket.h"

#include <cstdlib>

using namespace jasminemast;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) // NOLINT: name set by libFuzzer
{
    try {
        const Head head = parseHead({reinterpret_cast<const char *>(data), size});
        if (head.number == TicketNumber(0)) {
            std::abort(); // ticket numbers start at 1
        }
    } catch (const ResultError &error) {
        if (error.code() != ResultCode::AcceptedMalformed) {
            std::abort(); // callers do not expect this code
        }
    }
    return 0;
}
