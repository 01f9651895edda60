// Configuration distribution as a deterministic state machine without I/O: (state, event, now) gives actions.
//
// A few nodes of each zone are readers: they watch the accepted head at the configuration service. All nodes announce
// heads, pull tickets, serve pulls and exchange heads with random peers. Roles need no agreement: none, one or all
// nodes may hold a role at once, since a role only adds accepted tickets.
#pragma once

#include "jasminemast/member/zonereports.h"
#include "jasminemast/spread/headwatcher.h"
#include "jasminemast/spread/pullserver.h"
#include "jasminemast/spread/readinesstracker.h"
#include "jasminemast/spread/ticketpuller.h"

namespace jasminemast
{

/// Combines the watching, pulling, serving and readiness of one node, and decides which messages it sends.
class SpreadCore
{
public:
    /// \p store and \p random must outlive the core.
    SpreadCore(NodeIdentity self, SpreadSettings settings, TicketStore &store, Random &random);
    SpreadCore(const SpreadCore &) = delete;
    SpreadCore &operator=(const SpreadCore &) = delete;

    /// Interval at which a Tick is due.
    static constexpr Milliseconds TickInterval {50};

    /// Handles one event and returns the actions to perform. Never throws because of what a peer or the service sent.
    SpreadActions handle(const SpreadEvent &event, TimePoint now);

    [[nodiscard]] Readiness readiness() const
    {
        return m_readinessTracker.readiness();
    }
    [[nodiscard]] bool isReader() const
    {
        return m_headWatcher.isReader();
    }
    [[nodiscard]] bool serviceReachable(TimePoint now) const
    {
        return m_headWatcher.serviceReachable(now);
    }
    [[nodiscard]] const Topology &topology() const
    {
        return m_topology;
    }
    [[nodiscard]] HostAvailability availability(const HostId &host, TimePoint now) const
    {
        return m_topology.availability(host, now);
    }
    /// For the local zone the summary as this node sees it, for another zone the last one received, however old.
    [[nodiscard]] std::optional<ZoneSummary> zoneSummary(const ZoneId &zone, TimePoint now) const;
    /// False when the state of a zone is unknown: there is no summary of it or the last one is too old.
    [[nodiscard]] bool zoneKnown(const ZoneId &zone, TimePoint now) const;
    [[nodiscard]] const SpreadCounters &counters() const
    {
        return m_counters;
    }
    /// The sender fields of messages of this node.
    [[nodiscard]] Sender sender(TimePoint now) const;

private:
    struct Handler;

    void on(const Tick &event, TimePoint now);
    void on(const HostListReceived &event, TimePoint now);
    void on(const MessageReceived &event, TimePoint now);
    void on(const WatchCompleted &event, TimePoint now);
    void on(const WatchFailed &event, TimePoint now);
    void on(const TicketFetched &event, TimePoint now);
    void on(const TicketFetchFailed &event, TimePoint now);
    void on(const CheckpointFetched &event, TimePoint now);
    void on(const CheckpointFetchFailed &event, TimePoint now);
    void on(const PullRequested &event, TimePoint now);
    void on(const PullReplyReceived &event, TimePoint now);
    void on(const PullFailed &event, TimePoint now);
    void on(const PullReplySent &event, TimePoint now);
    void on(const NewerTicketSeen &event, TimePoint now);
    void on(const DrainStarted &event, TimePoint now);

    void detectPause(TimePoint now);
    void stepTasks(TimePoint now);
    void processHead(const Head &head, TimePoint now);
    void processSender(const Sender &sender, TimePoint now);
    void publishIfAdvanced(TimePoint now);
    void append(SpreadActions actions);

    void replyToMessage(const ControlMessage &message, TimePoint now);
    void send(const HostId &to, ControlBody body, TimePoint now, bool withSummary = false);
    void announce(TimePoint now);
    void announceInLocalRegion(TimePoint now);
    void announceInZone(TimePoint now);
    void announceToZone(const ZoneId &zone, TimePoint now);
    void announceToRegion(const RegionId &region, TimePoint now);
    void distributeToRegion(const RegionId &region, TimePoint now);
    void announceTo(const HostId &host, TimePoint now);
    void sendReaderHeartbeats(TimePoint now);
    void exchangeSummaries(TimePoint now);
    void exchangeWithOtherZone(TimePoint now);
    void reportToReaders(TimePoint now);
    void queryJoinPeers(TimePoint now);
    void queryRandomPeer(TimePoint now);
    [[nodiscard]] ZoneSummary localZoneSummary(TimePoint now) const;

    NodeIdentity m_self;
    SpreadSettings m_settings;
    TicketStore &m_store;
    Random &m_random;
    SpreadCounters m_counters;
    Membership m_membership;
    ZoneTable m_zoneTable;
    ZoneReports m_reports;
    Topology m_topology;
    ServiceBudget m_budget;
    HeadWatcher m_headWatcher;
    TicketPuller m_puller;
    PullServer m_pullServer;
    ReadinessTracker m_readinessTracker;
    SpreadActions m_actions; ///< actions of the event being handled
    std::optional<TimePoint> m_lastEvent;
    TicketNumber m_publishedNumber; ///< number of the last published state; never decreases
    TicketNumber m_announcedNumber; ///< highest head announced
    std::vector<HostId> m_fanoutOrder; ///< zone peers not yet notified; refilled when empty, so that none repeats
    unsigned m_announceRepeats = 0; ///< remaining announcements of the last applied ticket
    TimePoint m_repeatAnnounceAt;
    TimePoint m_nextRoleUpdate;
    TimePoint m_nextHeartbeat;
    TimePoint m_nextCrossZoneExchange;
    TimePoint m_nextReport;
};

} // namespace jasminemast
