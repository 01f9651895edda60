// The side of a node that callers talk to: carries out what EntryCore decides for their calls.
#pragma once

#include "jasminemast/call/callerwaitestimator.h"
#include "jasminemast/call/entry.h"
#include "jasminemast/call/pausedetector.h"
#include "jasminemast/call/split.h"
#include "jasminemast/net/linkpool.h"
#include "jasminemast/node/callclient.h"
#include "jasminemast/node/entrycall.h"
#include "jasminemast/node/targetside.h"
#include "jasminemast/node/views.h"
#include "jasminemast/support/metrics.h"

#include <map>
#include <memory>
#include <set>

namespace jasminemast
{

/// What an entry side works with; all outlive it.
struct EntryContext
{
    Loop &loop;
    const Clock &clock;
    const PauseDetector &pauseDetector;
    ConfigView &config;
    const FleetView &fleet;
    TargetSide &localTarget;
    LinkPool &links;
    CallClient &remote;
    Metrics &metrics;
};

/// Carries the calls of this node's callers.
class EntrySide
{
public:
    EntrySide(EntryContext context, const NodeSettings &settings, Incarnation incarnation, std::uint64_t seed);
    ~EntrySide();

    /// Takes one request; answers it in time, whatever happens.
    void handle(const std::shared_ptr<HttpExchange> &exchange);

    /// Calls that begin from now on follow \p settings.
    void applySettings(const NodeSettings &settings);

    /// Links that this node dialled.
    void onLinkUp(const std::shared_ptr<Link> &link);
    void onLinkDown(const std::shared_ptr<Link> &link, ResultCode reason);
    void onAnnounced(const AnnounceMessage &announcement);

    /// Asks callers to leave with their next answer.
    void beginDrain()
    {
        m_draining = true;
    }

    /// Calls that are not yet answered.
    [[nodiscard]] std::size_t open() const
    {
        return m_calls.size() + m_waiting;
    }
    [[nodiscard]] const EntryCore &core() const
    {
        return m_core;
    }
    /// When a request last arrived or ended.
    [[nodiscard]] TimePoint lastActivity() const
    {
        return m_lastActivity;
    }

private:
    class Sink;

    void route(const std::shared_ptr<HttpExchange> &exchange, TimePoint arrived, TimePoint deadline);
    void perform(const EntryActions &actions);
    void sendOpen(const entryaction::SendOpen &send);
    void sendFence(const entryaction::SendFence &send);
    void connect(const HostId &host);
    void release(const std::shared_ptr<Link> &link);
    void redial();
    void finish(const entryaction::Finish &end);
    [[nodiscard]] EntryCall *findCall(const CallId &id) const;
    [[nodiscard]] std::shared_ptr<Link> linkTo(const HostId &host) const;
    void followConfiguration();
    [[nodiscard]] std::vector<Candidate> candidatesOf(const State &state, const Service &service) const;
    /// What to tell a refused caller; \p softDeadline as in CallSpec.
    [[nodiscard]] Refusal refusal(TimePoint softDeadline);
    /// Tells the core which links fell silent and which speak again.
    void watchLinks();
    void tick();
    /// Ticks often while there is work and seldom otherwise.
    void scheduleTick();

    EntryContext m_context;
    HostRecord m_self;
    std::uint16_t m_linkPort;
    CallSettings m_settings;
    CallHeaders m_headers;
    RouteSplit m_split;
    CallerWaitEstimator m_callerAge;
    Random m_random;
    Duration m_suspectAfter; ///< silence of a link on which a sign of life is due; one heartbeat and its answer fit in
    std::set<HostId> m_silent; ///< hosts whose links are silent
    EntryCore m_core;
    std::map<CallId, std::unique_ptr<EntryCall>> m_calls; ///< exactly the open calls of m_core
    std::size_t m_waiting = 0; ///< requests that wait for a ticket before their call begins
    std::map<HostId, std::shared_ptr<Link>> m_up; ///< dialled links that are up
    std::set<std::shared_ptr<Link>> m_dialling; ///< links held by this side until they are up
    std::map<HostId, TimePoint> m_dialledAt; ///< latest dialling of each host
    std::set<HostId> m_redial; ///< hosts to dial again once RedialDelay is over
    StatePtr m_followed; ///< configuration that m_core was told last
    TimePoint m_followedAt;
    TimePoint m_lastActivity;
    bool m_draining = false;
    Timer m_tickTimer;
};

} // namespace jasminemast
