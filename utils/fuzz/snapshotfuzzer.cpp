// Fuzzes the decoder of snapshots with the raw input and with the input compressed first, so that both decompression
// and the decoding of uncompressed bytes are reached.
#include "jasminemast/config/snapshot.h"
#include "jasminemast/support/compression.h"

#include <cstdlib>

using namespace jasminemast;

namespace
{

void decodeAndCheck(std::string_view bytes)
{
    try {
        const Snapshot snapshot = decodeSnapshot(bytes);
        checkReferences(*snapshot.state);
        if (computeStateDigest(*snapshot.state) != snapshot.state->stateDigest) {
            std::abort(); // a state with a wrong digest was accepted
        }
    } catch (const ResultError &error) {
        const int code = number(error.code());
        if (code < number(ResultCode::SnapshotMalformed) || code > number(ResultCode::SnapshotWrongDigest)) {
            std::abort(); // callers do not expect this code
        }
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) // NOLINT: name set by libFuzzer
{
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);
    decodeAndCheck(bytes);
    decodeAndCheck(compress(bytes));
    return 0;
}
