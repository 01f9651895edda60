// Fuzzes what a peer passes on: content that cannot be decoded is refused, and none of it makes a configuration fall.
#include "jasminemast/registry/registryfollower.h"
#include "jasminemast/support/archive.h"
#include "jasminemast/support/compression.h"

#include <cstdlib>

using namespace jasminemast;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) // NOLINT: name set by libFuzzer
{
    constexpr std::uint64_t Known = 1'000;
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);
    RegistryFollower follower;
    PublishedConfiguration known;
    known.number = TicketNumber(Known);
    RegistryResponse listing;
    listing.records.emplace_back(known);
    follower.onResponse(std::move(listing), TimePoint());
    try {
        follower.applyContent(decodeSyncContent(compress(bytes)), TimePoint(), TimePoint());
    } catch (const ResultError &error) {
        if (error.code() != ResultCode::FrameMalformed) {
            std::abort(); // callers do not expect this code
        }
    }
    try {
        decodeSyncContent(bytes);
        decodeMessage<SyncRequest>(bytes, ResultCode::FrameMalformed);
    } catch (const ResultError &) { // NOLINT(bugprone-empty-catch): the link is closed
    }
    if (follower.configuration()->number < known.number) {
        std::abort();
    }
    return 0;
}
