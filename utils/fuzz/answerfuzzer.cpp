// Fuzzes the decoder of the store's answers, which never throws.
#include "platform/storeclient.h"

#include <cstdlib>

using namespace jasminemast;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) // NOLINT: name set by libFuzzer
{
    constexpr unsigned StatusOk = 200;
    const std::string body(reinterpret_cast<const char *>(data), size);
    const RegistryResponse answer = platform::decodeAnswer(StatusOk, body);
    if (answer.code != ResultCode::Ok && answer.code != ResultCode::RegistryAnswerMalformed) {
        std::abort(); // a code that callers don't expect
    }
    return 0;
}
