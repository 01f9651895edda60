// Differences between configurations, and their encoding.
#include "jasminemast/registry/syncmessages.h"

#include "jasminemast/support/archive.h"
#include "jasminemast/support/compression.h"

#include <algorithm>
#include <functional>
#include <unordered_map>

namespace jasminemast
{

namespace
{

constexpr std::int64_t MaxMilliseconds = 86'400'000; // one day
constexpr std::size_t MaxContentBytes = 32U << 20U; // of an uncompressed message

template<class Archive>
void serializeMilliseconds(Archive &archive, Milliseconds &time)
{
    auto count = static_cast<std::int64_t>(time.count());
    archive(count);
    if (count < 0 || count > MaxMilliseconds) {
        throw cereal::Exception("time out of range");
    }
    time = Milliseconds(count);
}

std::vector<const Route *> sortedObjects(const std::vector<RoutePtr> &routes)
{
    std::vector<const Route *> objects;
    objects.reserve(routes.size());
    for (const RoutePtr &route : routes) {
        objects.push_back(route.get());
    }
    std::sort(objects.begin(), objects.end(), std::less<>());
    return objects;
}

} // namespace

template<class Archive>
void serialize(Archive &archive, WeightedService &service)
{
    archive(service.service, service.weight);
}

template<class Archive>
void serialize(Archive &archive, Route &route)
{
    archive(route.id, route.host, route.pathPrefix, route.methods, route.service, route.split, route.repeatable);
    serializeMilliseconds(archive, route.timeout);
    archive(route.attempts, route.priority);
    serializeMilliseconds(archive, route.targetLatency);
    archive(route.allowedRegions);
}

void serializeRoutes(EncodeArchive &archive, const std::vector<RoutePtr> &routes)
{
    archive(cereal::make_size_tag(static_cast<cereal::size_type>(routes.size())));
    for (const RoutePtr &route : routes) {
        archive(*route);
    }
}

void serializeRoutes(DecodeArchive &archive, std::vector<RoutePtr> &routes)
{
    cereal::size_type size = 0;
    archive(cereal::make_size_tag(size));
    routes.clear();
    for (cereal::size_type i = 0; i < size; ++i) {
        Route route;
        archive(route);
        routes.push_back(std::make_shared<const Route>(std::move(route)));
    }
}

template<class Archive>
void serialize(Archive &archive, RequestLimits &limits)
{
    auto maxHeaderBytes = static_cast<std::uint64_t>(limits.maxHeaderBytes);
    auto maxBodyBytes = static_cast<std::uint64_t>(limits.maxBodyBytes);
    archive(maxHeaderBytes, maxBodyBytes);
    limits.maxHeaderBytes = maxHeaderBytes;
    limits.maxBodyBytes = maxBodyBytes;
    serializeMilliseconds(archive, limits.headerTimeout);
    serializeMilliseconds(archive, limits.idleTimeout);
}

template<class Archive>
void serialize(Archive &archive, ServiceWarmUp &warmUp)
{
    archive(warmUp.service, warmUp.limits.requestsPerSecond, warmUp.limits.healthPath);
    serializeMilliseconds(archive, warmUp.limits.duration);
}

template<class Archive>
void serialize(Archive &archive, ZoneEvacuation &evacuation)
{
    archive(evacuation.zone, evacuation.revision);
    serializeMilliseconds(archive, evacuation.retainedFor);
}

template<class Archive>
void serialize(Archive &archive, PublishedConfiguration &configuration)
{
    archive(configuration.number, configuration.digest);
    serializeRoutes(archive, configuration.routes);
    archive(configuration.services, configuration.warmUps, configuration.requestLimits);
}

template<class Archive>
void serialize(Archive &archive, RegisteredTarget &target)
{
    archive(target.id, target.service, target.zone, target.address.ip, target.address.port, target.slots,
            target.draining);
    serializeMilliseconds(archive, target.warmUpRemaining);
    archive(target.startedAt, target.sequence, target.revision);
}

template<class Archive>
void serialize(Archive &archive, ConfigurationDelta &delta)
{
    archive(delta.base, delta.configuration, delta.removedRoutes);
}

template<class Archive>
void serialize(Archive &archive, SyncContent &content)
{
    archive(content.revision, content.recordsDigest, content.configuration, content.hasAllTargets, content.targets,
            content.removedTargets, content.evacuations);
}

ConfigurationDelta makeDelta(const PublishedConfiguration &base, const PublishedConfiguration &target)
{
    const std::vector<const Route *> baseObjects = sortedObjects(base.routes);
    const std::vector<const Route *> targetObjects = sortedObjects(target.routes);
    const auto isIn = [](const std::vector<const Route *> &objects, const RoutePtr &route) {
        return std::binary_search(objects.begin(), objects.end(), route.get(), std::less<>());
    };
    // Routes that both share need no comparison.
    std::unordered_map<std::string_view, const Route *> removed;
    for (const RoutePtr &route : base.routes) {
        if (!isIn(targetObjects, route)) {
            removed.emplace(route->id.value(), route.get());
        }
    }
    ConfigurationDelta delta;
    delta.base = base.number;
    delta.configuration.number = target.number;
    delta.configuration.digest = target.digest;
    delta.configuration.services = target.services;
    delta.configuration.warmUps = target.warmUps;
    delta.configuration.requestLimits = target.requestLimits;
    for (const RoutePtr &route : target.routes) {
        const auto known = removed.empty() ? removed.end() : removed.find(route->id.value());
        const bool isSame = known == removed.end() ? isIn(baseObjects, route) : *known->second == *route;
        if (!isSame) {
            delta.configuration.routes.push_back(route);
        }
        if (known != removed.end()) {
            removed.erase(known);
        }
    }
    for (const auto &[id, route] : removed) {
        delta.removedRoutes.push_back(route->id);
    }
    std::sort(delta.removedRoutes.begin(), delta.removedRoutes.end());
    return delta;
}

PublishedConfiguration applyDelta(const PublishedConfiguration &base, const ConfigurationDelta &delta)
{
    PublishedConfiguration result = delta.configuration;
    std::unordered_map<std::string_view, bool> replaced;
    for (const RoutePtr &route : delta.configuration.routes) {
        replaced.emplace(route->id.value(), true);
    }
    for (const RouteId &id : delta.removedRoutes) {
        replaced.emplace(id.value(), true);
    }
    for (const RoutePtr &route : base.routes) {
        if (!replaced.contains(route->id.value())) {
            result.routes.push_back(route);
        }
    }
    return result;
}

std::string encodeSyncContent(const SyncContent &content)
{
    return compress(encodeMessage(content));
}

SyncContent decodeSyncContent(std::string_view bytes)
{
    return decodeMessage<SyncContent>(
        decompress(bytes, MaxContentBytes, {ResultCode::FrameMalformed, ResultCode::FrameMalformed}),
        ResultCode::FrameMalformed);
}

} // namespace jasminemast
