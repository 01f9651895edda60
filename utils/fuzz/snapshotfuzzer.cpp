// Fuzzes the decoder of snapshots, on bytes as they come and on bytes packed first, so that both layers are reached.
#include "jasminemast/config/snapshot.h"
#include "jasminemast/support/compression.h"

#include <cstdlib>

using namespace jasminemast;

namespace
{

void decodeChecked(std::string_view bytes)
{
    try {
        const Snapshot snapshot = decodeSnapshot(bytes);
        checkReferences(*snapshot.state);
        if (computeStateDigest(*snapshot.state) != snapshot.state->stateDigest) {
            std::abort(); // a state passed with a digest that is not its own
        }
    } catch (const ResultError &error) {
        const int code = number(error.code());
        if (code < number(ResultCode::SnapshotMalformed) || code > number(ResultCode::SnapshotWrongDigest)) {
            std::abort(); // a code that callers don't expect
        }
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) // NOLINT: name set by libFuzzer
{
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);
    decodeChecked(bytes);
    decodeChecked(compress(bytes));
    return 0;
}
