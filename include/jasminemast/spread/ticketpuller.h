// Fetches missing tickets: from a peer if one has them, else from the configuration service.
#pragma once

#include "jasminemast/spread/backoff.h"
#include "jasminemast/spread/servicebudget.h"
#include "jasminemast/spread/spreadevents.h"
#include "jasminemast/spread/ticketstore.h"
#include "jasminemast/spread/topology.h"

#include <map>
#include <optional>

namespace jasminemast
{

/// Last known head and applied ticket of a peer, and whether to pull from it.
struct PeerKnowledge
{
    TicketNumber applied;
    TicketNumber accepted;
    TimePoint avoidUntil; ///< no pull before this time: the peer was busy, silent or had no newer tickets
};

/// Few nodes of a region fetch a ticket from other regions or from the service: rendezvous hashing orders the nodes for
/// each ticket, and nodes late in the order wait longer for a peer of their region to have it.
class TicketPuller
{
public:
    TicketPuller(const SpreadSettings &settings, const Topology &topology, TicketStore &store, ServiceBudget &budget,
                 Random &random, SpreadCounters &counters);

    void updatePeer(const Sender &sender);
    /// Forgets peers that are no longer listed.
    void retainListed();
    /// Starts pulls and fetches that are due. \p sender is sent in the requests.
    SpreadActions step(const Sender &sender, TimePoint now);
    /// Pulls from \p peer at once if \p number, which it runs, is above the applied number of this node.
    SpreadActions pullFrom(const HostId &peer, TicketNumber number, const Sender &sender, TimePoint now);
    /// Ends the pull that \p reply belongs to.
    void onReply(const PullReply &reply, TimePoint now);
    void onPullFailed(std::uint64_t id, TimePoint now);
    void onTicketFetched(TicketNumber number, TimePoint now);
    void onTicketFetchFailed(TicketNumber number, TimePoint now);
    void onCheckpointFetchEnded();
    void resumeAfterPause();

    /// True when it is time to query another random peer for its head; restarts the interval.
    bool takePeerQueryDue(TimePoint now);
    [[nodiscard]] const PeerKnowledge *knowledge(const HostId &host) const;
    /// True when \p number is the last ticket that this node fetched from the service.
    [[nodiscard]] bool fetchedFromService(TicketNumber number) const
    {
        return number == m_lastFetched;
    }

private:
    struct Pull
    {
        std::uint64_t id = 0;
        HostId peer;
        TimePoint deadline;
    };
    struct Fetch
    {
        TimePoint deadline;
        bool inFlight = false; ///< false: waits for its deadline before the next attempt
        unsigned attempts = 0;
        std::uint64_t pullId = 0; ///< not 0: requested from a peer by this pull
    };

    void expire(TimePoint now);
    void updateCatchUp(TimePoint now);
    std::optional<HostId> choosePeer(TimePoint now, bool localRegion);
    SpreadActions startPull(const HostId &peer, const Sender &sender, TimePoint now);
    SpreadActions fetchForRegion(const Sender &sender, TimePoint now);
    SpreadActions fetchFromService(const Sender &sender, TimePoint now);
    SpreadActions fetchOne(TicketNumber number, const Sender &sender, TimePoint now);
    [[nodiscard]] std::optional<HostId> chooseHelper(TicketNumber number, unsigned attempts, TimePoint now) const;
    void endPull(TimePoint now, Milliseconds avoidFor);
    void retryFetchLater(Fetch &fetch, TimePoint now);

    const SpreadSettings &m_settings;
    const Topology &m_topology;
    TicketStore &m_store;
    ServiceBudget &m_budget;
    Random &m_random;
    SpreadCounters &m_counters;
    std::map<HostId, PeerKnowledge> m_peers;
    std::optional<Pull> m_pull; ///< the pull in flight; at most one, apart from those in m_fetches
    std::map<TicketNumber, Fetch> m_fetches;
    std::optional<TimePoint> m_behindSince; ///< set while the accepted head is above the applied number
    TicketNumber m_catchUpHead; ///< head to catch up with; m_behindSince and m_rank belong to it
    std::optional<std::size_t> m_rank; ///< position of this node in the fetch order of its region for m_catchUpHead
    std::uint64_t m_rankRevision = 0; ///< revision of the topology when m_rank was computed
    TimePoint m_nextPeerQuery;
    std::uint64_t m_lastId = 0;
    TicketNumber m_lastFetched;
    std::optional<TimePoint> m_checkpointDeadline; ///< set while a checkpoint is being fetched
    bool m_checkpointTried = false;
    Backoff m_busyBackoff;
};

} // namespace jasminemast
