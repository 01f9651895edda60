// Carries out the decisions beside a target.
#include "jasminemast/node/targetside.h"

#include "jasminemast/call/responsewindow.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <type_traits>

namespace jasminemast
{

namespace
{

constexpr long MaxTargetConnections = 100;
constexpr Milliseconds TickInterval {10};
constexpr Milliseconds IdleTickInterval {200}; ///< while there is no work whose time could run out
constexpr Milliseconds ProbeInterval {1'000};
constexpr Milliseconds ProbeTimeout {800};
constexpr std::size_t MaxHealthPageBytes = 4096;

bool saysDraining(const std::string &page)
{
    const auto json = nlohmann::json::parse(page, nullptr, false);
    return json.is_object() && json.value("state", nlohmann::json()) == "draining";
}

} // namespace

/// An asker's hold on an attempt beside the target.
class TargetHandle final : public AttemptHandle
{
public:
    TargetHandle(TargetSide &side, AttemptId attempt)
        : m_side(side)
        , m_attempt(std::move(attempt))
    {
    }

    void cancel() override
    {
        m_side.cancel(m_attempt);
    }

    void credit(std::size_t bytes) override
    {
        const auto found = m_side.m_attempts.find(m_attempt);
        if (found != m_side.m_attempts.end()) {
            found->second->credit(bytes);
        }
    }

private:
    TargetSide &m_side;
    AttemptId m_attempt;
};

TargetSide::TargetSide(Loop &loop, const Clock &clock, const ConfigView &config, const FleetView &fleet,
                       TargetSideIdentity identity, const CallSettings &settings, Metrics &metrics, Announcer announcer,
                       HeldMeter held)
    : m_loop(loop)
    , m_clock(clock)
    , m_config(config)
    , m_fleet(fleet)
    , m_identity(std::move(identity))
    , m_settings(settings)
    , m_announcer(std::move(announcer))
    , m_held(std::move(held))
    , m_http(loop, MaxTargetConnections)
    , m_probes(loop)
    , m_core(m_identity.incarnation, TargetLimits {}, metrics)
    , m_tickTimer(loop, [this] { tick(); })
    , m_probeTimer(loop, [this] { probeHealth(); })
{
    scheduleTick();
    if (m_settings.probeTargets) {
        m_probeTimer.startRepeating(ProbeInterval);
    }
}

std::unique_ptr<AttemptHandle> TargetSide::open(const OpenMessage &open, std::string body,
                                                std::shared_ptr<AnswerSink> sink, TimePoint arrived)
{
    followConfiguration();
    const TimePoint now = m_clock.now();
    m_lastArrival = now;
    const Microseconds softTimeout
        = open.softTimeoutMs == INT32_MAX ? Microseconds::max() : Microseconds(Milliseconds(open.softTimeoutMs));
    const OpenRequest request {
        open.attempt,    open.endpoint, open.peer,  open.generation, Milliseconds(open.remainingMs),
        open.repeatable, open.priority, softTimeout};
    auto attempt = std::make_shared<TargetAttempt>(open, std::move(body), std::move(sink));
    // A second copy finds the first one here and does not displace it.
    m_attempts.emplace(open.attempt, attempt);
    if (m_attempts.size() == 1) {
        scheduleTick();
    }
    perform(m_core.onOpen(request, now - arrived, now));
    dropEnded(open.attempt);
    return std::make_unique<TargetHandle>(*this, open.attempt);
}

std::unique_ptr<AttemptHandle> TargetSide::fence(const FenceMessage &fence, const std::shared_ptr<AnswerSink> &sink)
{
    const FenceRequest request {fence.attempt, fence.peer, fence.generation};
    for (const TargetAction &action : m_core.onFence(request, m_clock.now())) {
        const auto &reply = std::get<targetaction::ReplyToFence>(action);
        m_loop.post([this, reply, sink] { answerFence(reply.attempt, reply.answer, sink); });
    }
    dropEnded(fence.attempt);
    return std::make_unique<TargetHandle>(*this, fence.attempt);
}

void TargetSide::answerFence(const AttemptId &attempt, const FenceResult &answer,
                             const std::shared_ptr<AnswerSink> &sink)
{
    if (answer.status == FenceStatus::Done) {
        sink->fenced(FenceStatus::Done);
        replay(*answer.answer, *sink);
        return;
    }
    if (answer.status != FenceStatus::Running) {
        sink->fenced(answer.status);
        return;
    }
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end() || !found->second->moveTo(sink)) {
        sink->fenced(FenceStatus::Unknown);
    }
}

void TargetSide::perform(const TargetActions &actions)
{
    for (const TargetAction &action : actions) {
        std::visit(
            [this](const auto &concrete) {
                using Action = std::decay_t<decltype(concrete)>;
                if constexpr (std::is_same_v<Action, targetaction::Start>) {
                    start(concrete);
                } else if constexpr (std::is_same_v<Action, targetaction::Refuse>) {
                    refuse(concrete);
                } else if constexpr (std::is_same_v<Action, targetaction::Announce>) {
                    m_announcer(concrete.endpoint, concrete.leaving);
                } else if constexpr (std::is_same_v<Action, targetaction::Fail>) {
                    const auto &sink = m_attempts.at(concrete.attempt)->sink();
                    m_loop.post([sink, code = concrete.code] { sink->end(code, ""); });
                    dropEnded(concrete.attempt);
                } else if constexpr (std::is_same_v<Action, targetaction::Abort>) {
                    dropEnded(concrete.attempt);
                }
            },
            action);
    }
}

void TargetSide::start(const targetaction::Start &start)
{
    const auto attempt = m_attempts.at(start.attempt);
    attempt->setHeadContext([this, id = start.attempt, endpoint = start.endpoint](HeadMessage &head) {
        head.ticket = m_config.current()->number;
        head.load = static_cast<float>(m_core.load(endpoint));
        // An answer of unknown length may still be being made.
        if (head.length) {
            m_loop.post([this, id] { perform(m_core.onResponseReady(id, m_clock.now())); });
        }
    });
    // The deadline is in the future, and a transfer without a timeout would never end.
    const auto remaining
        = std::max(std::chrono::duration_cast<Milliseconds>(start.deadline - m_clock.now()), Milliseconds(1));
    const auto window = [this] {
        return responseWindow(m_held());
    };
    attempt->start(
        m_http, TargetRequest {urlOf(start.endpoint), remaining, m_settings.headers, window},
        [this, id = start.attempt](const HttpClientResult &result, std::shared_ptr<const CachedResponse> kept) {
            onDone(id, result, std::move(kept));
        });
}

void TargetSide::onDone(const AttemptId &attempt, const HttpClientResult &result,
                        std::shared_ptr<const CachedResponse> answer)
{
    const TimePoint now = m_clock.now();
    if (!m_attempts.contains(attempt)) {
        return;
    }
    if (result.code == ResultCode::Ok) {
        const auto sink = m_attempts.at(attempt)->sink();
        perform(m_core.onResponseReceived(attempt, std::move(answer), now));
        sink->end(ResultCode::Ok, "");
    } else if (isNotRun(result.code)) {
        perform(m_core.onNotRun(attempt, result.code, now));
    } else if (result.requestSent) {
        perform(m_core.onLost(attempt, result.code, now));
    } else {
        perform(m_core.onNotRun(attempt, ResultCode::TargetUnreachable, now));
    }
    dropEnded(attempt);
}

void TargetSide::refuse(const targetaction::Refuse &refusal)
{
    const auto found = m_attempts.find(refusal.attempt);
    if (found == m_attempts.end()) {
        return;
    }
    const auto sink = found->second->sink();
    const auto load = static_cast<float>(m_core.load(found->second->open().endpoint));
    m_loop.post([sink, code = refusal.code, load] { sink->refused(code, "", load); });
    dropEnded(refusal.attempt);
}

void TargetSide::cancel(const AttemptId &attempt)
{
    perform(m_core.onCancel(attempt, m_clock.now()));
    dropEnded(attempt);
}

void TargetSide::dropEnded(const AttemptId &attempt)
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end() || m_core.hasAttempt(attempt)) {
        return;
    }
    found->second->abort();
    m_attempts.erase(found);
}

void TargetSide::beginDrain()
{
    perform(m_core.setLeaving(DrainReason::Signal, true, m_clock.now()));
}

void TargetSide::scheduleTick()
{
    m_tickTimer.start(m_attempts.empty() ? IdleTickInterval : TickInterval);
}

void TargetSide::tick()
{
    followConfiguration();
    perform(m_core.tick(m_clock.now()));
    scheduleTick();
}

void TargetSide::followConfiguration()
{
    const TimePoint now = m_clock.now();
    const HostView *self = m_fleet.findHost(m_identity.host);
    const bool leaving = self != nullptr && self->state == HostState::Leaving;
    perform(m_core.setLeaving(DrainReason::HostList, leaving, now));
    const StatePtr state = m_config.current();
    if (state == m_followed) {
        return;
    }
    m_followed = state;
    std::vector<LocalEndpoint> local;
    for (const auto &[id, endpoint] : state->endpoints) {
        if (endpoint->host != m_identity.host) {
            continue;
        }
        local.push_back({id, endpoint->slots, endpoint->draining});
        m_ports[id] = endpoint->port;
    }
    perform(m_core.setEndpoints(local, now));
}

void TargetSide::probeHealth()
{
    for (const auto &[id, port] : m_ports) {
        if (!m_core.serves(id) || !m_probing.insert(id).second) {
            continue;
        }
        HttpClientRequest request;
        request.url = urlOf(id) + "/health";
        request.timeout = ProbeTimeout;
        request.maxBodyBytes = MaxHealthPageBytes;
        m_probes.fetch(std::move(request),
                       [this, endpoint = id](const HttpClientResult &result, unsigned /*status*/,
                                             const HttpHeaders & /*headers*/, const std::string &body) {
                           m_probing.erase(endpoint);
                           // A page that cannot be read says nothing: the outcomes of calls decide.
                           if (result.code == ResultCode::Ok) {
                               perform(m_core.onHealth(endpoint, saysDraining(body), m_clock.now()));
                           }
                       });
    }
}

std::string TargetSide::urlOf(const EndpointId &endpoint) const
{
    return "http://" + m_identity.targetAddress + ":" + std::to_string(m_ports.at(endpoint));
}

} // namespace jasminemast
