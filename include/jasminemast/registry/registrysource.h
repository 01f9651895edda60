// The seam to a platform registry in which operators keep one whole configuration and targets register themselves.
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

/// Counts the changes of a registry; grows with each.
using Revision = StrongId<struct RevisionTag, std::uint64_t>;

/// A whole configuration as an operator published it.
///
/// Invariant: every service that a route names is in `services`.
struct PublishedConfiguration
{
    TicketNumber number;
    Digest digest; ///< SHA-256 of the published bytes
    std::vector<Route> routes;
    std::vector<ServiceId> services;
    RequestLimits requestLimits;
};

/// What a target says of itself.
struct RegisteredTarget
{
    EndpointId id;
    ServiceId service;
    ZoneId zone;
    SocketAddress address;
    unsigned slots = 0;
    bool draining = false;
    Milliseconds warmUpRemaining {0}; ///< how much longer it is slow after its start
    std::uint64_t startedAt = 0; ///< Unix time of its start in milliseconds; 0: not told
    std::uint64_t sequence = 0; ///< counts its reports since its start
    Revision revision; ///< change of the registry that made this record
};

/// A target is no longer registered.
struct TargetRemoved
{
    EndpointId id;
    Revision revision; ///< change of the registry that removed it
};

/// A record that cannot be used.
struct InvalidRecord
{
    ResultCode code = ResultCode::RegistryRecordMalformed;
    std::string detail; ///< key and cause
    std::optional<EndpointId> target; ///< the target whose record it is, when it is one's
};

using RegistryRecord = std::variant<PublishedConfiguration, RegisteredTarget, TargetRemoved, InvalidRecord>;

/// One answer of the registry.
struct RegistryResponse
{
    ResultCode code = ResultCode::Ok; ///< Ok, RegistryHistoryGone, or why there is no answer
    std::string detail; ///< cause of a failure
    std::vector<RegistryRecord> records;
    Revision revision; ///< of the registry when it answered
    std::string next; ///< where the next page of a listing starts; empty: this is the last
};

/// Reads a registry. One call at a time; its handler is called once, from the loop.
class RegistrySource
{
public:
    using Handler = std::function<void(RegistryResponse)>;

    virtual ~RegistrySource() = default;

    /// Reads one page of all records; \p after is empty for the first. Pages are not one snapshot.
    virtual void list(const std::string &after, Handler handler) = 0;
    /// Waits up to \p wait for changes after \p revision.
    virtual void watch(Revision revision, Milliseconds wait, Handler handler) = 0;
    /// Gives up the call under way; its handler is not called.
    virtual void cancel() = 0;
};

} // namespace jasminemast
