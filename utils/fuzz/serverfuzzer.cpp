// Fuzzes the decoder of what a server registers about itself: a usable target or its one result code.
#include "platform/records.h"

#include <cstdlib>

using namespace jasminemast;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) // NOLINT: name set by libFuzzer
{
    try {
        const RegisteredTarget target = platform::decodeServer("i-1", {reinterpret_cast<const char *>(data), size});
        if (target.slots == 0 || target.address.port == 0 || target.service.value().empty()) {
            std::abort(); // such a target cannot be used
        }
    } catch (const ResultError &error) {
        if (error.code() != ResultCode::RegistryRecordMalformed) {
            std::abort(); // a code that callers don't expect
        }
    }
    return 0;
}
