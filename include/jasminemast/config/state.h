// The configuration after a ticket: routes, services and endpoints. Immutable once published.
#pragma once

#include "jasminemast/config/routeindex.h"
#include "jasminemast/config/sharedmap.h"
#include "jasminemast/support/clock.h"
#include "jasminemast/support/digest.h"
#include "jasminemast/support/ids.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace jasminemast
{

/// One of several services among which a route divides its requests.
struct WeightedService
{
    ServiceId service;
    unsigned weight = 0; ///< its share of the requests is weight / sum of all weights

    bool operator==(const WeightedService &) const = default;
};

/// Sends requests whose path starts with a prefix to one service, or to several by weight.
struct Route
{
    RouteId id;
    std::string host {}; ///< lower-case host name that a request must name; empty: any
    std::string pathPrefix; ///< starts with '/'
    std::vector<std::string> methods; ///< empty: every method
    ServiceId service; ///< used when split is empty
    std::vector<WeightedService> split {}; ///< empty, or at least one weight is positive
    std::optional<bool> repeatable; ///< whether requests are idempotent; unset: only GET and HEAD are
    Milliseconds timeout {0}; ///< max time until a call's deadline
    unsigned attempts = 0; ///< max targets that one call may be sent to; 0: the node's default
    unsigned priority = 0; ///< 0 is the highest
    Milliseconds targetLatency {0}; ///< soft deadline of a response after the request; 0: the timeout
    /// Regions whose targets may get the request, and to whose nodes it may be sent; empty: all.
    std::vector<RegionId> allowedRegions {};
    Digest digest {}; ///< objectDigest() of the fields above; input of the state's digest

    bool operator==(const Route &) const = default;

    /// True when requests with \p method are idempotent.
    [[nodiscard]] bool isRepeatable(std::string_view method) const;
};

/// A route that configurations share while it does not change; never null.
using RoutePtr = std::shared_ptr<const Route>;

/// What the targets of a service bear while they warm up.
struct WarmUpLimits
{
    Milliseconds duration {0}; ///< of the warm-up after a start
    double requestsPerSecond = 0; ///< of one target; 0: as many as its slots allow
    std::string healthPath; ///< page that says for how much longer the target warms up; empty: none

    bool operator==(const WarmUpLimits &) const = default;
};

/// A named group of interchangeable endpoints.
struct Service
{
    ServiceId id;
    std::vector<EndpointId> endpoints; ///< if empty, calls are refused
    WarmUpLimits warmUp {}; ///< only set by a registry
    Digest digest {}; ///< as in Route

    bool operator==(const Service &) const = default;
};

/// One target: a port on a host, called only through the node on that host.
struct Endpoint
{
    EndpointId id;
    HostId host;
    std::uint16_t port = 0;
    unsigned slots = 0; ///< requests that the target runs concurrently
    bool draining = false; ///< true: takes no new calls
    TimePoint warmedUpAt {}; ///< the target warms up until then; only set by a registry
    Digest digest {}; ///< as in Route

    bool operator==(const Endpoint &) const = default;
};

/// Size and time limits of callers' requests. Zero: the node's settings apply.
struct RequestLimits
{
    std::size_t maxHeaderBytes = 0;
    std::size_t maxBodyBytes = 0;
    Milliseconds headerTimeout {0};
    Milliseconds idleTimeout {0};

    bool operator==(const RequestLimits &) const = default;
};

/// The whole configuration after one ticket.
///
/// Invariants: every route's service is in services(); every endpoint that a service lists is in endpoints();
/// a published State never changes.
struct State
{
    using RouteMap = SharedMap<std::map<RouteId, RoutePtr>>;
    using ServiceMap = SharedMap<std::map<ServiceId, std::shared_ptr<const Service>>>;
    using EndpointMap = SharedMap<std::map<EndpointId, std::shared_ptr<const Endpoint>>>;

    TicketNumber number; ///< last ticket applied or refused
    Digest ticketDigest; ///< SHA-256 of that ticket's bytes
    Digest stateDigest; ///< SHA-256 over all objects
    RouteMap routes;
    ServiceMap services;
    EndpointMap endpoints;
    RequestLimits requestLimits;
    std::set<ZoneId> evacuatedZones; ///< the targets in them take no calls
    std::shared_ptr<const RouteIndex> routeIndex; ///< index of `routes`; null while the state is being built

    /// The route for a request, by the precedence that RouteIndex documents; null when none matches. \p host is a
    /// lower-case name and may be empty.
    [[nodiscard]] const Route *findRoute(std::string_view method, std::string_view path,
                                         std::string_view host = {}) const;
};

using StatePtr = std::shared_ptr<const State>;

/// The state before the first ticket.
StatePtr emptyState();

/// The digest of all fields of an object except `digest`.
Digest objectDigest(const Route &route);
Digest objectDigest(const Service &service);
Digest objectDigest(const Endpoint &endpoint);

/// The digest of the digests of all objects of \p state.
Digest computeStateDigest(const State &state);

/// Checks that every route's service and every service's endpoints exist.
/// \throws ResultError with TicketRouteWithoutService or TicketServiceWithoutEndpoint.
void checkReferences(const State &state);
/// The same check for one object.
void checkReferences(const State &state, const Route &route);
void checkReferences(const State &state, const Service &service);

} // namespace jasminemast
