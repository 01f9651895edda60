// The side of a node that stands beside a target: carries out what TargetCore decides.
#pragma once

#include "jasminemast/call/target.h"
#include "jasminemast/net/httpclient.h"
#include "jasminemast/node/answersink.h"
#include "jasminemast/node/targetattempt.h"
#include "jasminemast/node/views.h"
#include "jasminemast/settings/nodesettings.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace jasminemast
{

/// Who the node beside the target is.
struct TargetSideIdentity
{
    HostId host;
    Incarnation incarnation;
    std::string targetAddress; ///< IP number of the targets
};

/// Runs attempts on the targets of this host.
class TargetSide
{
public:
    using Announcer = std::function<void(const EndpointId &, bool leaving)>;
    /// Bytes of bodies that wait on the links of the host.
    using HeldMeter = std::function<std::size_t()>;

    TargetSide(Loop &loop, const Clock &clock, const ConfigView &config, const FleetView &fleet,
               TargetSideIdentity identity, const CallSettings &settings, Metrics &metrics, Announcer announcer,
               HeldMeter held);

    /// Runs one attempt whose request body is whole and that reached this host at \p arrived. The sink is called later,
    /// never from within this call.
    std::unique_ptr<AttemptHandle> open(const OpenMessage &open, std::string body, std::shared_ptr<AnswerSink> sink,
                                        TimePoint arrived);
    /// Answers a fence; the sink is called later.
    std::unique_ptr<AttemptHandle> fence(const FenceMessage &fence, const std::shared_ptr<AnswerSink> &sink);

    /// Takes no new attempts from now on.
    void beginDrain();

    [[nodiscard]] const TargetCore &core() const
    {
        return m_core;
    }
    /// When an attempt last arrived, also one that was refused.
    [[nodiscard]] TimePoint lastArrival() const
    {
        return m_lastArrival;
    }

private:
    friend class TargetHandle;

    void perform(const TargetActions &actions);
    void start(const targetaction::Start &start);
    void onDone(const AttemptId &attempt, const HttpClientResult &result, std::shared_ptr<const CachedResponse> answer);
    void cancel(const AttemptId &attempt);
    void refuse(const targetaction::Refuse &refusal);
    void answerFence(const AttemptId &attempt, const FenceResult &answer, const std::shared_ptr<AnswerSink> &sink);
    void dropEnded(const AttemptId &attempt);
    void tick();
    /// Ticks often while there is work and seldom otherwise.
    void scheduleTick();
    void followConfiguration();
    void probeHealth();
    [[nodiscard]] std::string urlOf(const EndpointId &endpoint) const;

    Loop &m_loop;
    const Clock &m_clock;
    const ConfigView &m_config;
    const FleetView &m_fleet;
    TargetSideIdentity m_identity;
    const CallSettings &m_settings;
    Announcer m_announcer;
    HeldMeter m_held;
    HttpClient m_http;
    HttpClient m_probes; ///< own connections, so that a slow health page holds up no call
    TargetCore m_core;
    StatePtr m_followed; ///< configuration that m_core was told last
    std::map<EndpointId, std::uint16_t> m_ports; ///< also of endpoints that are gone but still run something
    std::map<AttemptId, std::shared_ptr<TargetAttempt>> m_attempts; ///< exactly the attempts that m_core holds
    std::set<EndpointId> m_probing; ///< endpoints whose health page is being read
    TimePoint m_lastArrival;
    Timer m_tickTimer;
    Timer m_probeTimer;
};

} // namespace jasminemast
