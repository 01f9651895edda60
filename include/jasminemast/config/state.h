// The configuration that tickets build up: routes, services and endpoints, as an immutable snapshot.
#pragma once

#include "jasminemast/config/routeindex.h"
#include "jasminemast/config/sharedmap.h"
#include "jasminemast/support/clock.h"
#include "jasminemast/support/digest.h"
#include "jasminemast/support/ids.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jasminemast
{

/// One part of a route whose requests are divided among services.
struct WeightedService
{
    ServiceId service;
    unsigned weight = 0; ///< share of the requests, over the sum of all weights; 0: none

    bool operator==(const WeightedService &) const = default;
};

/// Sends requests whose path starts with a prefix to one service, or to several by weight.
struct Route
{
    RouteId id;
    std::string host {}; ///< lower-case name that a request must be addressed to; empty: any
    std::string pathPrefix; ///< starts with '/'
    std::vector<std::string> methods; ///< empty: every method
    ServiceId service; ///< used when split is empty
    std::vector<WeightedService> split {}; ///< some weight is positive unless empty
    std::optional<bool> repeatable; ///< unset: GET and HEAD are idempotent, all else is not
    Milliseconds timeout {0}; ///< upper bound of a call's deadline
    unsigned attempts = 0; ///< most targets that one call may be sent to; 0: the node's default
    unsigned priority = 0; ///< 0 is the most urgent
    Milliseconds targetLatency {0}; ///< time within which an answer has its full worth; 0: the timeout
    Digest digest {}; ///< of the fields above, as objectDigest() gives it; part of a state's digest

    bool operator==(const Route &) const = default;

    /// True when a request with \p method may run more than once without harm.
    [[nodiscard]] bool isRepeatable(std::string_view method) const;
};

/// A named group of endpoints that give the same answers.
struct Service
{
    ServiceId id;
    std::vector<EndpointId> endpoints; ///< may be empty: calls are then refused
    Digest digest {}; ///< as in Route

    bool operator==(const Service &) const = default;
};

/// One target: a port on a host, reached only through the node on that host.
struct Endpoint
{
    EndpointId id;
    HostId host;
    std::uint16_t port = 0;
    unsigned slots = 0; ///< requests that the target runs at once
    bool draining = false; ///< true: takes no new calls
    Digest digest {}; ///< as in Route

    bool operator==(const Endpoint &) const = default;
};

/// What callers may send, and for how long they may take or be idle. Zero: the node's own settings decide.
struct RequestLimits
{
    std::size_t maxHeaderBytes = 0;
    std::size_t maxBodyBytes = 0;
    Milliseconds headerTimeout {0};
    Milliseconds idleTimeout {0};

    bool operator==(const RequestLimits &) const = default;
};

/// The whole accepted configuration after one ticket.
///
/// Invariants: every route's service is in services(); every endpoint that a service lists is in endpoints();
/// a published State never changes.
struct State
{
    using RouteMap = SharedMap<std::map<RouteId, std::shared_ptr<const Route>>>;
    using ServiceMap = SharedMap<std::map<ServiceId, std::shared_ptr<const Service>>>;
    using EndpointMap = SharedMap<std::map<EndpointId, std::shared_ptr<const Endpoint>>>;

    TicketNumber number; ///< last ticket folded in, also when that ticket was refused
    Digest ticketDigest; ///< SHA-256 of that ticket's bytes
    Digest stateDigest; ///< SHA-256 over all objects
    RouteMap routes;
    ServiceMap services;
    EndpointMap endpoints;
    RequestLimits requestLimits;
    std::shared_ptr<const RouteIndex> routeIndex; ///< of routes; null while a state is being built

    /// The route with the longest matching prefix whose methods admit \p method; null when none does. Routes of
    /// \p host, a lower-case name that may be empty, go before those of any host.
    [[nodiscard]] const Route *findRoute(std::string_view method, std::string_view path,
                                         std::string_view host = {}) const;
};

using StatePtr = std::shared_ptr<const State>;

/// The state before the first ticket.
StatePtr emptyState();

/// The digest over all fields of an object but its own digest.
Digest objectDigest(const Route &route);
Digest objectDigest(const Service &service);
Digest objectDigest(const Endpoint &endpoint);

/// The digest over all objects of \p state, made from their digests.
Digest computeStateDigest(const State &state);

/// Checks that every route's service and every service's endpoints exist.
/// \throws ResultError with TicketRouteWithoutService or TicketServiceWithoutEndpoint.
void checkReferences(const State &state);
/// The same for one object.
void checkReferences(const State &state, const Route &route);
void checkReferences(const State &state, const Service &service);

} // namespace jasminemast
