// Configuration distribution as a state machine without input or output: (state, event, now) gives actions.
//
// The core keeps the duties of a node together: it watches the service when it is a reader, announces heads, pulls
// tickets, serves pulls, exchanges heads with random peers, and decides whether the node is ready. Every duty is safe
// when held by none, one or all nodes, since each only ever brings accepted tickets forward.
#pragma once

#include "jasminemast/member/zonereports.h"
#include "jasminemast/spread/joinduty.h"
#include "jasminemast/spread/pullduty.h"
#include "jasminemast/spread/pullserver.h"
#include "jasminemast/spread/watchduty.h"

namespace jasminemast
{

class SpreadCore
{
public:
    /// \p store and \p random must outlive the core.
    SpreadCore(NodeIdentity self, SpreadSettings settings, TicketStore &store, Random &random);
    SpreadCore(const SpreadCore &) = delete;
    SpreadCore &operator=(const SpreadCore &) = delete;

    /// Interval at which a Tick is due.
    static constexpr Milliseconds TickInterval {50};

    /// Takes one event. Never throws for what a peer or the service sent.
    SpreadActions handle(const SpreadEvent &event, TimePoint now);

    [[nodiscard]] Readiness readiness() const
    {
        return m_join.readiness();
    }
    [[nodiscard]] bool isReader() const
    {
        return m_watch.isReader();
    }
    [[nodiscard]] bool sourceFresh(TimePoint now) const
    {
        return m_watch.sourceFresh(now);
    }
    [[nodiscard]] const Topology &topology() const
    {
        return m_topology;
    }
    [[nodiscard]] HostAvailability condition(const HostId &host, TimePoint now) const
    {
        return m_topology.condition(host, now);
    }
    /// The own zone as this node sees it, every other zone as last heard; \c age tells how old that is.
    [[nodiscard]] std::optional<ZoneSummary> zone(const ZoneId &zone, TimePoint now) const;
    /// False when the zone's state is unknown: its last summary is too old or there is none.
    [[nodiscard]] bool zoneKnown(const ZoneId &zone, TimePoint now) const;
    [[nodiscard]] const SpreadCounters &counters() const
    {
        return m_counters;
    }
    /// What this node says of itself.
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
    void stepDuties(TimePoint now);
    void takeHead(const Head &head, TimePoint now);
    void takeSender(const Sender &sender, TimePoint now);
    void publishIfAdvanced(TimePoint now);
    void append(SpreadActions actions);

    void answerBody(const ControlMessage &message, TimePoint now);
    void send(const HostId &to, ControlBody body, TimePoint now, bool withSummary = false);
    void announce(TimePoint now);
    void announceInOwnRegion(TimePoint now);
    void announceInZone(TimePoint now);
    void announceToZone(const ZoneId &zone, TimePoint now);
    void announceToRegion(const RegionId &region, TimePoint now);
    void offerToRegion(const RegionId &region, TimePoint now);
    void announceTo(const HostId &host, TimePoint now);
    void heartbeatAsReader(TimePoint now);
    void exchangeAsReader(TimePoint now);
    void exchangeOutside(TimePoint now);
    void reportToReaders(TimePoint now);
    void askJoinPeers(TimePoint now);
    void askRandomPeer(TimePoint now);
    [[nodiscard]] ZoneSummary ownZone(TimePoint now) const;

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
    WatchDuty m_watch;
    PullDuty m_pull;
    PullServer m_server;
    JoinDuty m_join;
    SpreadActions m_actions; ///< of the event being handled
    std::optional<TimePoint> m_lastEvent;
    TicketNumber m_published; ///< number of the last published state; only grows
    TicketNumber m_announced; ///< highest head announced
    std::vector<HostId> m_fanoutOrder; ///< zone peers still to be announced to, so that rounds do not repeat hosts
    unsigned m_announceRepeats = 0; ///< times that zone peers are still to be told of the last applied ticket
    TimePoint m_repeatAnnounceAt;
    TimePoint m_nextReview;
    TimePoint m_nextHeartbeat;
    TimePoint m_nextOutside;
    TimePoint m_nextReport;
};

} // namespace jasminemast
