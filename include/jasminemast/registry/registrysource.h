// Interface to a platform registry, in which operators publish the whole configuration and targets register themselves.
#pragma once

#include "jasminemast/config/state.h"
#include "jasminemast/net/socketaddress.h"
#include "jasminemast/support/result.h"

#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace jasminemast
{

/// Revision of a registry; every change increments it.
using Revision = StrongId<struct RevisionTag, std::uint64_t>;

/// A whole configuration as published by an operator.
///
/// Invariant: every service that a route names is in `services`.
struct PublishedConfiguration
{
    TicketNumber number;
    Digest digest; ///< SHA-256 of the published bytes
    std::vector<RoutePtr> routes;
    std::vector<ServiceId> services;
    RequestLimits requestLimits;
};

/// What a target reports about itself.
struct RegisteredTarget
{
    EndpointId id;
    ServiceId service;
    ZoneId zone;
    SocketAddress address;
    unsigned slots = 0;
    bool draining = false;
    Milliseconds warmUpRemaining {0}; ///< how much longer it is slow after its start
    std::uint64_t startedAt = 0; ///< Unix time of its start in milliseconds; 0: unknown
    std::uint64_t sequence = 0; ///< number of its report since its start
    Revision revision; ///< of the change that created this record
};

/// A target that is no longer registered.
struct TargetRemoved
{
    EndpointId id;
    Revision revision; ///< of the change that removed it
};

/// A record that could not be parsed.
struct InvalidRecord
{
    ResultCode code = ResultCode::RegistryRecordMalformed;
    std::string detail; ///< key and cause
    std::optional<EndpointId> target; ///< set when the record is that of a target
};

using RegistryRecord = std::variant<PublishedConfiguration, RegisteredTarget, TargetRemoved, InvalidRecord>;

/// One response of the registry.
struct RegistryResponse
{
    ResultCode code = ResultCode::Ok; ///< Ok, RegistryHistoryGone, or why there is no response
    std::string detail; ///< cause of a failure
    std::vector<RegistryRecord> records;
    bool hasOtherItems = false; ///< there were items that are no records
    Revision revision; ///< of the registry when it responded
    std::size_t size = 0; ///< bytes of the response
    std::string next; ///< where the next page of a listing starts; empty on the last page
};

/// Reads a registry. One call at a time; the event loop calls its handler once.
class RegistrySource
{
public:
    using Handler = std::function<void(RegistryResponse)>;

    virtual ~RegistrySource() = default;

    /// Reads one page of all records; \p after is empty for the first page, then RegistryResponse::next. Records can
    /// change between pages.
    virtual void list(const std::string &after, Handler handler) = 0;
    /// Reads one page of the targets alone. The page may be some seconds old: use it only to find peers.
    virtual void listTargets(const std::string &after, Handler handler) = 0;
    /// Long poll: waits up to \p wait for changes after \p revision.
    virtual void watch(Revision revision, Milliseconds wait, Handler handler) = 0;
    /// Cancels the pending call; its handler is not called.
    virtual void cancel() = 0;
};

} // namespace jasminemast
