// Fuzzes the decoder of the operators' configuration: it must return a consistent configuration that peers can read, or
// throw RegistryRecordMalformed.
#include "platform/records.h"

#include "jasminemast/registry/syncmessages.h"

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

/// A peer must read what this node would pass on.
void checkPassedOn(const PublishedConfiguration &configuration)
{
    SyncContent content;
    content.configuration = ConfigurationDelta {TicketNumber(0), configuration, {}};
    const SyncContent received = decodeSyncContent(encodeSyncContent(content));
    const std::vector<RoutePtr> &routes = received.configuration->configuration.routes;
    const bool isSame
        = std::equal(routes.begin(), routes.end(), configuration.routes.begin(), configuration.routes.end(),
                     [](const RoutePtr &left, const RoutePtr &right) { return *left == *right; });
    if (!isSame) {
        std::abort(); // nodes would run different configurations under one number
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) // NOLINT: name set by libFuzzer
{
    try {
        const auto configuration = platform::decodeConfiguration({reinterpret_cast<const char *>(data), size});
        checkRoutes(configuration);
        checkPassedOn(configuration);
    } catch (const ResultError &error) {
        if (error.code() != ResultCode::RegistryRecordMalformed) {
            std::abort(); // callers do not expect this code
        }
    }
    return 0;
}
