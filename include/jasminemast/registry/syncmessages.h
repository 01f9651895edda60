// Messages with which nodes pass the registry's records on.
//
// A request names what the sender has; the reply holds the difference, so that it does not matter which node answered
// the request before.
#pragma once

#include "jasminemast/registry/registrysource.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jasminemast
{

/// Asks for everything that differs from the sender's records, as soon as something does.
struct SyncRequest
{
    std::uint64_t id = 0; ///< repeated in the reply
    bool isListed = false; ///< false: the sender has no targets yet
    TicketNumber number; ///< of the sender's configuration
    Revision revision; ///< up to which the sender knows the changes of the registry
    std::uint64_t recordsDigest = 0; ///< RegistryFollower::recordsDigest()
    std::uint32_t waitMs = 0; ///< how long to wait for a difference

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(id, isListed, number, revision, recordsDigest, waitMs);
    }
};

/// A configuration, or the difference to an older one.
struct ConfigurationDelta
{
    TicketNumber base; ///< configuration to which the difference applies; 0: `configuration` is whole
    PublishedConfiguration configuration; ///< routes: only those that differ
    std::vector<RouteId> removedRoutes;
};

/// The difference between the records of two nodes.
struct SyncContent
{
    Revision revision; ///< up to which the replying node knows the changes of the registry
    std::uint64_t recordsDigest = 0; ///< of the replying node
    std::optional<ConfigurationDelta> configuration;
    bool hasAllTargets = false; ///< `targets` are all; otherwise those that differ
    std::vector<RegisteredTarget> targets;
    std::vector<EndpointId> removedTargets;
    std::vector<ZoneEvacuation> evacuations; ///< all that the replying node knows to be active
};

enum class SyncStatus : std::uint8_t {
    Ok,
    NotListed, ///< the node has no records yet
    Leaving, ///< the node is about to exit
};

struct SyncReply
{
    std::uint64_t id = 0; ///< of the request
    SyncStatus status = SyncStatus::Ok;
    std::uint32_t ageMs = 0; ///< time since the registry confirmed the records
    std::string content; ///< an encoded SyncContent; empty unless the status is Ok

    template<class Archive>
    void serialize(Archive &archive)
    {
        auto number = static_cast<std::uint8_t>(status);
        archive(id, number, ageMs, content);
        status = static_cast<SyncStatus>(number);
    }
};

/// The difference that turns \p base into \p target.
ConfigurationDelta makeDelta(const PublishedConfiguration &base, const PublishedConfiguration &target);
/// The configuration that \p delta leads to from \p base, which is that of ConfigurationDelta::base.
PublishedConfiguration applyDelta(const PublishedConfiguration &base, const ConfigurationDelta &delta);

/// Encodes and compresses.
std::string encodeSyncContent(const SyncContent &content);
/// \throws ResultError with FrameMalformed.
SyncContent decodeSyncContent(std::string_view bytes);

} // namespace jasminemast
