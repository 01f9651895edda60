// Lookups in a state and its digest.
#include "jasminemast/config/state.h"

#include "jasminemast/support/result.h"

#include <algorithm>

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

bool admitsMethod(const Route &route, std::string_view method)
{
    return route.methods.empty()
        || std::find(route.methods.begin(), route.methods.end(), method) != route.methods.end();
}

} // namespace

bool Route::isRepeatable(std::string_view method) const
{
    return repeatable.value_or(method == "GET" || method == "HEAD");
}

const Route *State::findRoute(std::string_view method, std::string_view path) const
{
    const Route *best = nullptr;
    for (const auto &[id, route] : routes) {
        if (!path.starts_with(route->pathPrefix) || !admitsMethod(*route, method)) {
            continue;
        }
        if (best == nullptr || route->pathPrefix.size() > best->pathPrefix.size()) {
            best = route.get();
        }
    }
    return best;
}

StatePtr emptyState()
{
    State state;
    state.stateDigest = computeStateDigest(state);
    return std::make_shared<const State>(std::move(state));
}

Digest computeStateDigest(const State &state)
{
    std::string text;
    for (const auto &[id, route] : state.routes) {
        appendRoute(text, *route);
    }
    for (const auto &[id, service] : state.services) {
        appendService(text, *service);
    }
    for (const auto &[id, endpoint] : state.endpoints) {
        appendEndpoint(text, *endpoint);
    }
    return sha256(text);
}

void checkReferences(const State &state)
{
    for (const auto &[id, route] : state.routes) {
        if (!state.services.contains(route->service)) {
            throw ResultError(ResultCode::TicketRouteWithoutService,
                              "/routes/" + id.value() + ": service " + route->service.value());
        }
    }
    for (const auto &[id, service] : state.services) {
        for (const EndpointId &endpoint : service->endpoints) {
            if (!state.endpoints.contains(endpoint)) {
                throw ResultError(ResultCode::TicketServiceWithoutEndpoint,
                                  "/services/" + id.value() + ": endpoint " + endpoint.value());
            }
        }
    }
}

} // namespace jasminemast
