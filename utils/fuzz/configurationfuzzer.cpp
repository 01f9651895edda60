// Fuzzes the decoder of the operators' configuration: it must return a consistent configuration or throw
// RegistryRecordMalformed.
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

void checkRoutes(const PublishedConfiguration &configuration)
{
    for (const RoutePtr &route : configuration.routes) {
        const bool isSplit = !route->split.empty();
        if (!route->pathPrefix.starts_with('/') || (!isSplit && !isKnown(configuration, route->service))) {
            std::abort(); // no call can be routed by this route
        }
        for (const WeightedService &part : route->split) {
            if (!isKnown(configuration, part.service)) {
                std::abort(); // the split names an unknown service
            }
        }
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) // NOLINT: name set by libFuzzer
{
    try {
        checkRoutes(platform::decodeConfiguration({reinterpret_cast<const char *>(data), size}));
    } catch (const ResultError &error) {
        if (error.code() != ResultCode::RegistryRecordMalformed) {
            std::abort(); // callers do not expect this code
        }
    }
    return 0;
}
