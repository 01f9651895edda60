// Fuzzes the decoder of the store's responses, which must not throw.
#include "platform/storeclient.h"

#include <cstdlib>

using namespace jasminemast;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) // NOLINT: name set by libFuzzer
{
    constexpr unsigned StatusOk = 200;
    const std::string body(reinterpret_cast<const char *>(data), size);
    const RegistryResponse response = platform::decodeResponse(StatusOk, body);
    if (response.code != ResultCode::Ok && response.code != ResultCode::RegistryAnswerMalformed) {
        std::abort(); // callers do not expect this code
    }
    return 0;
}
