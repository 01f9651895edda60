// The proxy in front of the targets of a host: performs the actions that TargetCore decides on.
#pragma once

#include "jasminemast/call/memorybudget.h"
#include "jasminemast/call/target.h"
#include "jasminemast/net/httpclient.h"
#include "jasminemast/node/responsesink.h"
#include "jasminemast/node/targetattempt.h"
#include "jasminemast/node/views.h"
#include "jasminemast/settings/nodesettings.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace jasminemast
{

/// Identity of the target's node.
struct TargetProxyIdentity
{
    HostId host;
    Incarnation incarnation;
    std::string targetAddress; ///< IP address of the targets
    ZoneId zone {};
};

/// Runs attempts on the targets of this host.
class TargetProxy
{
public:
    /// Notifies the entry nodes connected to this host that an endpoint is leaving or has stopped leaving.
    using Announcer = std::function<void(const EndpointId &, bool leaving)>;
    /// Returns the bytes of bodies that are queued on the links of the host.
    using QueuedBytesReader = std::function<std::size_t()>;

    TargetProxy(Loop &loop, const Clock &clock, const ConfigView &config, const FleetView &fleet,
                TargetProxyIdentity identity, const CallSettings &settings, Metrics &metrics, MemoryBudget &memory,
                Announcer announcer, QueuedBytesReader readQueuedBytes);

    /// Runs one attempt, whose message reached this host at \p arrival. The rest of an incomplete body follows through
    /// the handle. The sink is called later, never from within this function.
    std::unique_ptr<AttemptHandle> open(const OpenMessage &open, AttemptBody body, std::shared_ptr<ResponseSink> sink,
                                        const ArrivalTime &arrival);
    /// Replies to a fence; the sink is called later.
    std::unique_ptr<AttemptHandle> fence(const FenceMessage &fence, const std::shared_ptr<ResponseSink> &sink);

    /// Accepts no new attempts from now on.
    void beginDrain();
    /// See TargetCore::refuseQueued().
    void refuseQueued();

    [[nodiscard]] const TargetCore &core() const
    {
        return m_core;
    }
    /// Time at which an attempt last arrived, including refused ones.
    [[nodiscard]] TimePoint lastArrival() const
    {
        return m_lastArrival;
    }

private:
    friend class TargetHandle;

    /// Counts the memory of an attempt; unset if there is none.
    std::optional<MemoryReservation> reserve(const AttemptBody &body);
    /// The attempt of \p handle if it has not ended; null otherwise.
    [[nodiscard]] std::shared_ptr<TargetAttempt> findAttempt(const AttemptId &attempt) const;
    void perform(const TargetActions &actions);
    void start(const targetaction::Start &start);
    void onDone(const AttemptId &attempt, const HttpClientResult &result,
                std::shared_ptr<const CachedResponse> response);
    void cancel(const AttemptId &attempt, ResultCode reason);
    /// Logs that a request under way ended without its response.
    void logCut(const TargetAttempt &attempt, ResultCode code, const std::string &detail) const;
    void refuse(const targetaction::Refuse &refusal);
    void replyToFence(const AttemptId &attempt, const FenceResult &result, const std::shared_ptr<ResponseSink> &sink);
    void eraseIfEnded(const AttemptId &attempt);
    void tick();
    /// Uses the short interval while there are attempts, and the long one otherwise.
    void scheduleTick();
    void updateConfiguration();
    void probeHealth();
    /// Refuses or takes calls again when the zone is evacuated or taken back.
    void applyEvacuation(const State &state);
    /// True while the target works on any request of this node.
    [[nodiscard]] bool isAtWork(const EndpointId &endpoint) const;
    /// The target may warm up without the registry having said so.
    void assumeWarmUp(const EndpointId &endpoint);
    /// Asks the target for how much longer it warms up.
    void probeWarmUp(const EndpointId &endpoint);
    /// Takes over what a response says about the load of its target.
    void readLoad(const EndpointId &endpoint, const std::string *value);
    /// Takes over what a response says about the warm-up of its target.
    void readWarmUp(const EndpointId &endpoint, const std::string *value);
    [[nodiscard]] SocketAddress targetAddress(const EndpointId &endpoint) const;

    Loop &m_loop;
    const Clock &m_clock;
    const ConfigView &m_config;
    const FleetView &m_fleet;
    TargetProxyIdentity m_identity;
    const CallSettings &m_settings;
    Announcer m_announcer;
    QueuedBytesReader m_readQueuedBytes;
    Metrics &m_metrics;
    MemoryBudget &m_memory;
    TargetClient m_http;
    HttpClient m_probeHttp; ///< separate connections, so that a slow health check delays no call
    TargetCore m_core;
    StatePtr m_appliedState; ///< configuration that m_core has
    std::map<EndpointId, WarmUpLimits> m_warmUps; ///< of the endpoints in m_ports
    bool m_isZoneEvacuated = false;
    std::map<EndpointId, TimePoint> m_warmUpProbes; ///< when the next question to a target is due
    std::map<EndpointId, std::uint16_t> m_ports; ///< includes removed endpoints that still run attempts
    std::map<AttemptId, std::shared_ptr<TargetAttempt>> m_attempts; ///< exactly the attempts in m_core
    std::set<EndpointId> m_probing; ///< endpoints with a health check in progress
    TimePoint m_lastArrival;
    Timer m_tickTimer;
    Timer m_probeTimer;
};

} // namespace jasminemast
