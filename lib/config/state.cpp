// Lookups in a state and its digest.
#include "jasminemast/config/state.h"

#include "jasminemast/support/result.h"

namespace jasminemast
{

namespace
{

/// Appends a field with its length, so that no two different states give the same text.
void appendField(std::string &out, std::string_view field)
{
    out += std::to_string(field.size());
    out.push_back(':');
    out += field;
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

const Route *State::findRoute(std::string_view method, std::string_view path) const
{
    if (!routeIndex) {
        return RouteIndex(*this).find(method, path);
    }
    return routeIndex->find(method, path);
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
    if (!state.services.contains(route.service)) {
        throw ResultError(ResultCode::TicketRouteWithoutService,
                          "/routes/" + route.id.value() + ": service " + route.service.value());
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
