// Fuzzes CheckpointReader: each line of the input is one value read from the configuration service.
#include "jasminemast/config/checkpoint.h"

using namespace jasminemast;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) // NOLINT: name set by libFuzzer
{
    std::string_view rest(reinterpret_cast<const char *>(data), size);
    CheckpointReader reader;
    try {
        while (!rest.empty() && reader.nextKey()) {
            const std::size_t end = std::min(rest.find('\n'), rest.size());
            reader.addValue(rest.substr(0, end));
            rest.remove_prefix(std::min(end + 1, rest.size()));
        }
    } catch (const ResultError &) {
        return 0; // any ResultError is expected; other exceptions are bugs
    }
    return 0;
}
