// Getting the tickets that this node lacks: from a peer, else, by region and rank, from the service.
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

/// What a peer is known to run, and whether to ask it.
struct PeerKnowledge
{
    TicketNumber applied;
    TicketNumber accepted;
    TimePoint avoidUntil; ///< not asked before: it was busy, silent or of no use
};

class PullDuty
{
public:
    PullDuty(const SpreadSettings &settings, const Topology &topology, TicketStore &store, ServiceBudget &budget,
             Random &random, SpreadCounters &counters);

    void peerHeard(const Sender &sender);
    /// Forgets peers that are no longer listed.
    void retainListed();
    /// Starts pulls and fetches that are due. \p sender goes into requests.
    SpreadActions step(const Sender &sender, TimePoint now);
    /// Pulls from \p peer at once, if it is known or said to run more than this node.
    SpreadActions pullFrom(const HostId &peer, TicketNumber number, const Sender &sender, TimePoint now);
    /// Ends the pull that \p answer belongs to.
    void answered(const PullReply &answer, TimePoint now);
    void failed(std::uint64_t id, TimePoint now);
    void ticketFetched(TicketNumber number, TimePoint now);
    void ticketFetchFailed(TicketNumber number, TimePoint now);
    void checkpointEnded();
    void resumeAfterPause();

    /// True once when another random peer should be asked for what it knows.
    bool takeAskDue(TimePoint now);
    [[nodiscard]] const PeerKnowledge *knowledge(const HostId &host) const;
    /// True when this node has fetched \p number from the service for its region.
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
        std::uint64_t pullId = 0; ///< not 0: asked of a peer by this pull
    };

    void expire(TimePoint now);
    void refreshNeed(TimePoint now);
    std::optional<HostId> choosePeer(TimePoint now, bool ownRegion);
    SpreadActions startPull(const HostId &peer, const Sender &sender, TimePoint now);
    SpreadActions fetchForRegion(const Sender &sender, TimePoint now);
    SpreadActions fetchFromService(const Sender &sender, TimePoint now);
    SpreadActions fetchOne(TicketNumber number, const Sender &sender, TimePoint now);
    [[nodiscard]] std::optional<HostId> chooseHelper(TicketNumber number, unsigned attempts, TimePoint now) const;
    void endPull(TimePoint now, Milliseconds avoid);
    void retryFetchLater(Fetch &fetch, TimePoint now);

    const SpreadSettings &m_settings;
    const Topology &m_topology;
    TicketStore &m_store;
    ServiceBudget &m_budget;
    Random &m_random;
    SpreadCounters &m_counters;
    std::map<HostId, PeerKnowledge> m_peers;
    std::optional<Pull> m_pull; ///< at most one pull of the tail in flight
    std::map<TicketNumber, Fetch> m_fetches;
    std::optional<TimePoint> m_needSince; ///< set while the head is above the applied number
    TicketNumber m_neededHead; ///< head that m_needSince and m_rank belong to
    std::optional<std::size_t> m_rank; ///< this node's place in the region's order for m_neededHead
    std::uint64_t m_rankRevision = 0; ///< revision of the topology that m_rank was taken from
    TimePoint m_nextAsk;
    std::uint64_t m_lastId = 0;
    TicketNumber m_lastFetched;
    std::optional<TimePoint> m_checkpointDeadline; ///< a checkpoint is being fetched
    bool m_checkpointTried = false;
    Backoff m_busyBackoff;
};

} // namespace jasminemast
