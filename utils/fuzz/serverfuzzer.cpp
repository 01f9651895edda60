// Fuzzes the decoder of the record that a server registers: it must return a usable target or throw
// RegistryRecordMalformed.
#include "platform/records.h"

#include <cstdlib>

using namespace jasminemast;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) // NOLINT: name set by libFuzzer
{
    try {
        const RegisteredTarget target = platform::decodeServer("i-1", {reinterpret_cast<const char *>(data), size});
        if (target.slots == 0 || target.address.port == 0 || target.service.value().empty()) {
            std::abort(); // calls cannot be sent to this target
        }
    } catch (const ResultError &error) {
        if (error.code() != ResultCode::RegistryRecordMalformed) {
            std::abort(); // callers do not expect this code
        }
    }
    return 0;
}
