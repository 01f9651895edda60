// Fuzzes the parser of targets' responses: bytes in any pieces lead to whole responses or to a ResultError.
#include "jasminemast/net/responseparser.h"
#include "jasminemast/support/result.h"

#include <algorithm>
#include <cstdlib>

using namespace jasminemast;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) // NOLINT: name set by libFuzzer
{
    std::size_t bodyBytes = 0;
    int heads = 0;
    ResponseParser parser({[&heads](unsigned, const HttpHeaders &, std::optional<std::uint64_t>) { ++heads; },
                           [&bodyBytes](std::string_view bytes) {
                               bodyBytes += bytes.size();
                           }});
    const std::size_t pieceBytes = size == 0 ? 1 : data[0] % 64 + 1;
    std::string input;
    int responses = 0;
    try {
        for (std::size_t start = 0; start < size; start += pieceBytes) {
            input.append(reinterpret_cast<const char *>(data) + start, std::min(pieceBytes, size - start));
            input.erase(0, parser.parse(input));
            if (parser.isComplete()) {
                ++responses;
                parser.begin(parser.keepsConnection());
            }
        }
        parser.parseEnd();
    } catch (const ResultError &) { // NOLINT(bugprone-empty-catch): the connection is given up
    }
    if (bodyBytes > size || responses > heads) {
        std::abort(); // more was passed on than came
    }
    return 0;
}
