// The proxy that serves the callers of a node: performs the actions that EntryCore decides on for their calls.
#pragma once

#include "jasminemast/call/callerwaitestimator.h"
#include "jasminemast/call/entry.h"
#include "jasminemast/call/pausedetector.h"
#include "jasminemast/call/routemaxima.h"
#include "jasminemast/call/split.h"
#include "jasminemast/call/waycosts.h"
#include "jasminemast/net/linkpool.h"
#include "jasminemast/node/callclient.h"
#include "jasminemast/node/entrycall.h"
#include "jasminemast/node/nodedrain.h"
#include "jasminemast/node/targetproxy.h"
#include "jasminemast/node/views.h"
#include "jasminemast/support/metrics.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace jasminemast
{

/// Dependencies of an EntryProxy; all outlive it.
struct EntryContext
{
    Loop &loop;
    const Clock &clock;
    const PauseDetector &pauseDetector;
    ConfigView &config;
    const FleetView &fleet;
    TargetProxy &localTarget;
    LinkPool &links;
    CallClient &remote;
    Metrics &metrics;
};

/// Accepts the calls of this node's callers and forwards them to targets.
class EntryProxy
{
public:
    EntryProxy(EntryContext context, const NodeSettings &settings, Incarnation incarnation, std::uint64_t seed);
    ~EntryProxy();

    /// Handles one request. Every request gets a response by its deadline.
    void handle(const std::shared_ptr<HttpExchange> &exchange);

    /// Applies \p settings to calls that begin from now on.
    void applySettings(const NodeSettings &settings);

    /// Events of outgoing links.
    void onLinkUp(const std::shared_ptr<Link> &link);
    void onLinkDown(const std::shared_ptr<Link> &link, ResultCode reason);
    void onAnnounced(const AnnounceMessage &announcement);

    /// Closes each caller's connection with its next response.
    void beginDrain()
    {
        m_draining = true;
    }
    /// Decides whether a call may begin now; one that may not is refused. The forecast is without a backlog.
    using Admission = std::function<bool(const CallForecast &call)>;
    void setAdmission(Admission admission)
    {
        m_admission = std::move(admission);
    }
    /// See EntryCore::limitDeadlines(). A call without a response gets a failure.
    void limitDeadlines(TimePoint latest, Duration withdrawTimeout);

    /// Logs each call that has no complete response, before the exit of the node cuts it.
    void logOpenCalls() const;

    /// Number of calls without a complete response.
    [[nodiscard]] std::size_t openCalls() const
    {
        return m_calls.size() + m_waitingForTicket.size();
    }
    [[nodiscard]] const EntryCore &core() const
    {
        return m_core;
    }
    /// Time at which a request last arrived or ended.
    [[nodiscard]] TimePoint lastActivity() const
    {
        return m_lastActivity;
    }

private:
    class Sink;

    void routeCall(const std::shared_ptr<HttpExchange> &exchange, const ArrivalTime &arrival, Duration callerTimeout);
    /// Ends a request of m_waitingForTicket, whose ticket came too late.
    void refuseWaiting(const std::shared_ptr<HttpExchange> &exchange);
    void perform(const EntryActions &actions);
    void sendOpen(const entryaction::SendOpen &send);
    void sendFence(const entryaction::SendFence &send);
    void connect(const HostId &host);
    void releaseLink(const std::shared_ptr<Link> &link);
    void retryConnecting();
    void finish(const entryaction::Finish &end);
    /// More of the body of an upload has arrived, or will not.
    void onUpload(const CallId &id);
    [[nodiscard]] EntryCall *findCall(const CallId &id) const;
    /// How long a call of the route may take, by those that have ended and those that are open.
    [[nodiscard]] Duration expectedDuration(const RouteId &route, TimePoint now) const;
    [[nodiscard]] std::shared_ptr<Link> linkTo(const HostId &host) const;
    void updateConfiguration();
    [[nodiscard]] std::vector<Candidate> findCandidates(const State &state, const Service &service) const;
    /// Headers for a caller whose call failed; \p softDeadline as in CallSpec.
    [[nodiscard]] FailureHeaders failureHeaders(TimePoint softDeadline);
    /// Reports to the core which links have become silent and which carry traffic again.
    void updateSilentLinks();
    void tick();
    /// Uses the short interval while there are calls, and the long one otherwise.
    void scheduleTick();

    EntryContext m_context;
    HostRecord m_self;
    std::uint16_t m_linkPort;
    CallSettings m_settings;
    CallHeaders m_headers;
    RouteSplit m_split;
    CallerWaitEstimator m_callerWait;
    RouteMaxima m_durations; ///< of the calls that have ended
    CallSizes m_sizes;
    Random m_random;
    Duration m_silenceLimit; ///< a link that expects traffic is silent after this; covers a heartbeat and its reply
    std::set<HostId> m_silentHosts; ///< hosts whose links are silent
    EntryCore m_core;
    std::map<CallId, std::unique_ptr<EntryCall>> m_calls; ///< exactly the open calls of m_core
    std::set<std::shared_ptr<HttpExchange>> m_waitingForTicket; ///< requests whose call begins with a later ticket
    std::map<HostId, std::shared_ptr<Link>> m_upLinks; ///< outgoing links that are up
    std::set<std::shared_ptr<Link>> m_connecting; ///< links retained until they are up
    std::map<HostId, TimePoint> m_lastConnectAt; ///< latest connection attempt to each host
    std::set<HostId> m_delayedConnects; ///< hosts to connect to once MinConnectInterval has passed
    StatePtr m_appliedState; ///< configuration that m_core has
    TimePoint m_appliedAt;
    TimePoint m_lastActivity;
    bool m_draining = false;
    Admission m_admission; ///< empty: all calls may begin
    TimePoint m_latestDeadline = TimePoint::max(); ///< as in EntryCore
    Timer m_tickTimer;
};

} // namespace jasminemast
