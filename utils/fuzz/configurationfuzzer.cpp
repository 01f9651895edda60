// Fuzzes the decoder of the operator's configuration: whole and consistent, or its one result code.
#include "platform/records.h"

#include <algorithm>
#include <cstdlib>

using namespace jasminemast;

namespace
{

bool isKnown(const PublishedConfiguration &configuration, const ServiceId &service)
{
    const auto &services = configuration.services;
    return std::find(services.begin(), services.end(), service) != services.end();
}

void check(const PublishedConfiguration &configuration)
{
    for (const Route &route : configuration.routes) {
        const bool isSplit = !route.split.empty();
        if (!route.pathPrefix.starts_with('/') || (!isSplit && !isKnown(configuration, route.service))) {
            std::abort(); // such a route leads nowhere
        }
        for (const WeightedService &part : route.split) {
            if (!isKnown(configuration, part.service)) {
                std::abort(); // such a part leads nowhere
            }
        }
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) // NOLINT: name set by libFuzzer
{
    try {
        check(platform::decodeConfiguration({reinterpret_cast<const char *>(data), size}));
    } catch (const ResultError &error) {
        if (error.code() != ResultCode::RegistryRecordMalformed) {
            std::abort(); // a code that callers don't expect
        }
    }
    return 0;
}
