// Decides when a node reads the registry's records, and whether at the registry or at a peer.
#pragma once

#include "jasminemast/registry/registryfollower.h"
#include "jasminemast/registry/upstreamselector.h"

#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace jasminemast
{

/// The actions that ReadSchedule::next() returns, besides those of RegistryFollower.
namespace readaction
{
/// Call RegistrySource::listTargets() to find peers.
struct DiscoverPeers
{
    std::string after;
};
/// Send the request to the node on that host.
struct AskPeer
{
    HostId host;
    SyncRequest request; ///< without its id
    TimePoint giveUpAt; ///< cancel the request and call ReadSchedule::next() again at that time
};
} // namespace readaction

using ReadAction = std::variant<registryaction::List, registryaction::Watch, registryaction::Wait,
                                readaction::DiscoverPeers, readaction::AskPeer>;

/// State machine without I/O. Perform the action that next() returns, report how it ended, and repeat.
///
/// Invariant: a node whose records are too old reads at the registry, however many peers it has.
class ReadSchedule
{
public:
    /// Returns the region of an availability zone.
    using RegionLookup = std::function<RegionId(const ZoneId &)>;

    ReadSchedule(RegistryPeer self, RegionLookup regionOf);

    /// Call once, before next().
    void start(TimePoint now);
    /// The next action. Ask only when no request is pending.
    ReadAction next(TimePoint now);
    /// Handles the response to a List or Watch.
    void onResponse(RegistryResponse response, TimePoint now);
    /// Handles the response to DiscoverPeers.
    void onDiscovered(RegistryResponse response, TimePoint now);
    /// Handles the reply to AskPeer; none if the peer could not be reached or did not reply in time.
    /// Returns why its content was refused, or Ok.
    ResultCode onPeerReply(const HostId &host, const std::optional<SyncReply> &reply, TimePoint now);
    /// The process was paused: the records may be old, and the pending request was dropped.
    void onPause(TimePoint now);
    /// Another registry is read from now on.
    void onRegistryChanged(TimePoint now);
    /// Removes targets that are retained no longer; see RegistryFollower::nextExpiry().
    void expire(TimePoint now);

    [[nodiscard]] RegistryFollower &follower()
    {
        return m_follower;
    }
    [[nodiscard]] const RegistryFollower &follower() const
    {
        return m_follower;
    }
    [[nodiscard]] const UpstreamSelector &upstreams() const
    {
        return m_upstreams;
    }
    /// When the registry last confirmed the records.
    [[nodiscard]] TimePoint confirmedAt() const
    {
        return m_confirmedAt;
    }

private:
    [[nodiscard]] ReadAction choose(TimePoint now);
    [[nodiscard]] ReadAction askPeer(const HostId &host, Milliseconds wait, TimePoint now);
    /// A host to ask for a configuration because that of the registry is refused and this node has none.
    [[nodiscard]] std::optional<HostId> chooseForConfiguration(TimePoint now);
    void applyReply(const HostId &host, const SyncReply &reply, TimePoint now);
    void endDiscovery(TimePoint now);
    /// True if the records are so old that this node is to read the registry itself.
    [[nodiscard]] bool areRecordsOld(TimePoint now) const;
    [[nodiscard]] Duration maxAge() const;
    /// Takes over the hosts of the fleet from the records.
    void updatePeers();
    [[nodiscard]] RegistryPeer peerOf(const RegisteredTarget &target) const;

    RegistryPeer m_self;
    RegionLookup m_regionOf;
    RegistryFollower m_follower;
    UpstreamSelector m_upstreams;
    std::vector<RegistryPeer> m_discovered;
    std::string m_discoverAfter; ///< where the next page of targets starts
    TimePoint m_discoverAt; ///< earliest time of the next page
    bool m_isDiscovering = true;
    TimePoint m_peerRequestedAt;
    TimePoint m_nextRequestAt; ///< earliest time of the next request to a peer or the registry
    TimePoint m_configurationAskedAt; ///< when a peer was last asked by chooseForConfiguration()
    std::size_t m_configurationPeers = 0; ///< number of peers that were asked by it
    TimePoint m_confirmedAt; ///< when the registry last confirmed the records
    std::optional<std::uint64_t> m_peersChanges; ///< value of m_follower.changes() that m_upstreams reflects
};

} // namespace jasminemast
