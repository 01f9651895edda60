// Route lookup, digests and reference checks of a state.
#include "jasminemast/config/state.h"

#include "jasminemast/support/result.h"

namespace jasminemast
{

namespace
{

/// Appends a field preceded by its length, so that different objects never yield the same text.
void appendField(std::string &out, std::string_view field)
{
    out += std::to_string(field.size());
    out.push_back(':');
    out += field;
}

/// Appends the fields that only a registry sets. Appends nothing if none is set, so that the digest of a
/// ticket's route is the same as in versions without these fields.
void appendRegistryFields(std::string &out, const Route &route)
{
    const bool isSet = !route.host.empty() || !route.split.empty() || route.attempts != 0 || route.priority != 0
        || route.targetLatency.count() != 0 || !route.allowedRegions.empty();
    if (!isSet) {
        return;
    }
    appendField(out, route.host);
    out += std::to_string(route.split.size());
    for (const WeightedService &part : route.split) {
        appendField(out, part.service.value());
        appendField(out, std::to_string(part.weight));
    }
    appendField(out, std::to_string(route.attempts));
    appendField(out, std::to_string(route.priority));
    appendField(out, std::to_string(route.targetLatency.count()));
    for (const RegionId &region : route.allowedRegions) {
        appendField(out, region.value());
    }
}

void appendRoute(std::string &out, const Route &route)
{
    out.push_back('R');
    appendField(out, route.id.value());
    appendField(out, route.pathPrefix);
    out += std::to_string(route.methods.size());
    for (const std::string &method : route.methods) {
        appendField(out, method);
    }
    appendField(out, route.service.value());
    out.push_back(!route.repeatable ? '-' : (*route.repeatable ? '1' : '0'));
    appendField(out, std::to_string(route.timeout.count()));
    appendRegistryFields(out, route);
}

void appendService(std::string &out, const Service &service)
{
    out.push_back('S');
    appendField(out, service.id.value());
    out += std::to_string(service.endpoints.size());
    for (const EndpointId &endpoint : service.endpoints) {
        appendField(out, endpoint.value());
    }
}

void appendEndpoint(std::string &out, const Endpoint &endpoint)
{
    out.push_back('E');
    appendField(out, endpoint.id.value());
    appendField(out, endpoint.host.value());
    appendField(out, std::to_string(endpoint.port));
    appendField(out, std::to_string(endpoint.slots));
    out.push_back(endpoint.draining ? '1' : '0');
}

template<class Map>
void appendDigests(std::string &out, char kind, const Map &objects)
{
    out.push_back(kind);
    out += std::to_string(objects.size());
    for (const auto &[id, object] : objects) {
        const auto &bytes = object->digest.bytes;
        out.append(bytes.begin(), bytes.end());
    }
}

} // namespace

bool Route::isRepeatable(std::string_view method) const
{
    return repeatable.value_or(method == "GET" || method == "HEAD");
}

const Route *State::findRoute(std::string_view method, std::string_view path, std::string_view host) const
{
    if (!routeIndex) {
        return RouteIndex(*this).find(method, path, host);
    }
    return routeIndex->find(method, path, host);
}

StatePtr emptyState()
{
    State state;
    state.stateDigest = computeStateDigest(state);
    state.routeIndex = std::make_shared<const RouteIndex>(state);
    return std::make_shared<const State>(std::move(state));
}

Digest objectDigest(const Route &route)
{
    std::string text;
    appendRoute(text, route);
    return sha256(text);
}

Digest objectDigest(const Service &service)
{
    std::string text;
    appendService(text, service);
    return sha256(text);
}

Digest objectDigest(const Endpoint &endpoint)
{
    std::string text;
    appendEndpoint(text, endpoint);
    return sha256(text);
}

Digest computeStateDigest(const State &state)
{
    std::string digests;
    digests.reserve((state.routes.size() + state.services.size() + state.endpoints.size() + 1) * Digest::Bytes);
    appendDigests(digests, 'R', state.routes);
    appendDigests(digests, 'S', state.services);
    appendDigests(digests, 'E', state.endpoints);
    return sha256(digests);
}

void checkReferences(const State &state, const Route &route)
{
    const auto check = [&](const ServiceId &service) {
        if (!state.services.contains(service)) {
            throw ResultError(ResultCode::TicketRouteWithoutService,
                              "/routes/" + route.id.value() + ": service " + service.value());
        }
    };
    if (route.split.empty()) {
        check(route.service);
    }
    for (const WeightedService &part : route.split) {
        check(part.service);
    }
}

void checkReferences(const State &state, const Service &service)
{
    for (const EndpointId &endpoint : service.endpoints) {
        if (!state.endpoints.contains(endpoint)) {
            throw ResultError(ResultCode::TicketServiceWithoutEndpoint,
                              "/services/" + service.id.value() + ": endpoint " + endpoint.value());
        }
    }
}

void checkReferences(const State &state)
{
    for (const auto &[id, route] : state.routes) {
        checkReferences(state, *route);
    }
    for (const auto &[id, service] : state.services) {
        checkReferences(state, *service);
    }
}

} // namespace jasminemast
