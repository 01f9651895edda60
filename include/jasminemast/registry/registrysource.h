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

/// Counts how often a registry has come back from an older copy of its records; 0: it does not say.
using RegistryEra = StrongId<struct RegistryEraTag, std::uint64_t>;

/// Position in the history of a registry, whose number every change increments. A registry that comes back from an
/// older copy has lost its latest changes and gives out their numbers again, in the next era.
class Revision
{
public:
    constexpr Revision() = default;
    constexpr explicit Revision(std::uint64_t number, RegistryEra era = {})
        : m_era(era)
        , m_number(number)
    {
    }

    [[nodiscard]] constexpr std::uint64_t number() const
    {
        return m_number;
    }
    [[nodiscard]] constexpr RegistryEra era() const
    {
        return m_era;
    }

    /// Any position of an era is later than all of the eras before.
    auto operator<=>(const Revision &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_era, m_number);
    }

    friend std::ostream &operator<<(std::ostream &out, const Revision &revision)
    {
        return out << revision.m_era << ':' << revision.m_number;
    }

private:
    RegistryEra m_era; // compared first
    std::uint64_t m_number = 0;
};

/// The limits of one service.
struct ServiceWarmUp
{
    ServiceId service;
    WarmUpLimits limits;
};

/// A whole configuration as published by an operator.
///
/// Invariant: every service that a route names is in `services`.
struct PublishedConfiguration
{
    TicketNumber number;
    Digest digest; ///< SHA-256 of the published bytes
    std::vector<RoutePtr> routes;
    std::vector<ServiceId> services;
    std::vector<ServiceWarmUp> warmUps; ///< of the services whose targets are limited while they warm up
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

/// An operator has a zone evacuated, or has ended that: its targets take no calls.
struct ZoneEvacuation
{
    ZoneId zone;
    Revision revision; ///< of the change that began or ended it
    bool isActive = true;
    /// Only between nodes: how much longer the sender keeps an evacuation that the registry lacks; 0: the registry has
    /// it.
    Milliseconds retainedFor {0};
};

/// A record that could not be parsed.
struct InvalidRecord
{
    ResultCode code = ResultCode::RegistryRecordMalformed;
    std::string detail; ///< key and cause
    std::optional<EndpointId> target; ///< set when the record is that of a target
    /// Set when the record is a configuration: its number, 0 if that cannot be read.
    std::optional<TicketNumber> configuration {};
};

using RegistryRecord
    = std::variant<PublishedConfiguration, RegisteredTarget, TargetRemoved, ZoneEvacuation, InvalidRecord>;

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
