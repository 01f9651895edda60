// Performs the actions of TargetCore.
#include "jasminemast/node/targetproxy.h"

#include "jasminemast/call/requestupload.h"
#include "jasminemast/call/responsewindow.h"
#include "jasminemast/call/targetload.h"
#include "jasminemast/support/events.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <type_traits>

namespace jasminemast
{

namespace
{

constexpr Milliseconds TickInterval {10};
constexpr Milliseconds IdleTickInterval {200}; ///< while there are no attempts with deadlines
constexpr Milliseconds ProbeInterval {1'000};
constexpr Milliseconds ProbeTimeout {800};
constexpr std::size_t MaxHealthPageBytes = 4096;
constexpr unsigned StatusOk = 200;
constexpr unsigned MinServerErrorStatus = 500;
/// The window of an upload, and a piece of it in the connection.
constexpr ByteCount UploadBytes = ByteCount(UploadLimits::WindowBytes) + kibibytes(64);
/// How often a target is asked whether it warms up, while that is assumed.
constexpr Milliseconds WarmUpProbeInterval {500};

const std::string *findField(const HeaderFields &headers, const std::string &name)
{
    const auto found = std::find_if(headers.begin(), headers.end(), [&name](const auto &header) {
        return !name.empty() && equalHeaderNames(header.first, name);
    });
    return found == headers.end() ? nullptr : &found->second;
}

/// The limits of the service that lists the endpoint.
WarmUpLimits warmUpOf(const State &state, const EndpointId &endpoint)
{
    for (const auto &[id, service] : state.services) {
        const auto &endpoints = service->endpoints;
        if (service->warmUp.requestsPerSecond > 0
            && std::find(endpoints.begin(), endpoints.end(), endpoint) != endpoints.end()) {
            return service->warmUp;
        }
    }
    return {};
}

TargetLimits targetLimits(const CallSettings &settings)
{
    TargetLimits limits;
    limits.admission.patientQueuePerSlot = settings.patientQueuePerSlot;
    return limits;
}

bool reportsDraining(const std::string &page)
{
    const auto json = nlohmann::json::parse(page, nullptr, false);
    return json.is_object() && json.value("state", nlohmann::json()) == "draining";
}

} // namespace

/// Handle of an attempt on a target of this host.
class TargetHandle final : public AttemptHandle
{
public:
    TargetHandle(TargetProxy &proxy, AttemptId attempt)
        : m_proxy(proxy)
        , m_attempt(std::move(attempt))
    {
    }

    void cancel(ResultCode reason) override
    {
        m_proxy.cancel(m_attempt, reason);
    }

    void withdraw() override
    {
        m_proxy.cancel(m_attempt, ResultCode::CallWithdrawn);
    }

    void credit(std::size_t bytes) override
    {
        if (const auto attempt = m_proxy.findAttempt(m_attempt)) {
            attempt->credit(bytes);
        }
    }

    void sendBody(std::string_view bytes) override
    {
        if (const auto attempt = m_proxy.findAttempt(m_attempt)) {
            attempt->appendBody(bytes);
        }
    }

    void endBody() override
    {
        if (const auto attempt = m_proxy.findAttempt(m_attempt)) {
            attempt->endBody();
        }
    }

private:
    TargetProxy &m_proxy;
    AttemptId m_attempt;
};

TargetProxy::TargetProxy(Loop &loop, const Clock &clock, const ConfigView &config, const FleetView &fleet,
                         TargetProxyIdentity identity, const CallSettings &settings, Metrics &metrics,
                         MemoryBudget &memory, Announcer announcer, QueuedBytesReader readQueuedBytes)
    : m_loop(loop)
    , m_clock(clock)
    , m_config(config)
    , m_fleet(fleet)
    , m_identity(std::move(identity))
    , m_settings(settings)
    , m_announcer(std::move(announcer))
    , m_readQueuedBytes(std::move(readQueuedBytes))
    , m_metrics(metrics)
    , m_memory(memory)
    , m_http(loop, clock)
    , m_probeHttp(loop)
    , m_core(m_identity.incarnation, targetLimits(settings), metrics)
    , m_tickTimer(loop, [this] { tick(); })
    , m_probeTimer(loop, [this] { probeHealth(); })
{
    scheduleTick();
    if (m_settings.probeTargets) {
        m_probeTimer.startRepeating(ProbeInterval);
    }
}

std::shared_ptr<TargetAttempt> TargetProxy::findAttempt(const AttemptId &attempt) const
{
    const auto found = m_attempts.find(attempt);
    return found == m_attempts.end() ? nullptr : found->second;
}

std::optional<MemoryReservation> TargetProxy::reserve(const AttemptBody &body)
{
    if (body.isComplete && body.bytes.empty()) {
        return MemoryReservation();
    }
    const MemoryUse use = body.isComplete ? MemoryUse::Requests : MemoryUse::Uploads;
    const ByteCount size = body.isComplete ? ByteCount(body.bytes.size()) : UploadBytes;
    const auto addition = m_memory.add(use, size, false);
    return addition.holder ? std::optional(MemoryReservation(m_memory, *addition.holder)) : std::nullopt;
}

std::unique_ptr<AttemptHandle> TargetProxy::open(const OpenMessage &open, AttemptBody body,
                                                 std::shared_ptr<ResponseSink> sink, const ArrivalTime &arrival)
{
    updateConfiguration();
    const TimePoint now = m_clock.now();
    m_lastArrival = now;
    auto memory = reserve(body);
    const Microseconds softTimeout
        = open.softTimeoutMs == INT32_MAX ? Microseconds::max() : Microseconds(Milliseconds(open.softTimeoutMs));
    const OpenRequest request {open.attempt,
                               open.endpoint,
                               open.peer,
                               open.generation,
                               Milliseconds(open.remainingMs),
                               Milliseconds(open.responseTimeoutMs),
                               open.repeatable,
                               open.priority,
                               softTimeout};
    auto attempt = std::make_shared<TargetAttempt>(open, std::move(body),
                                                   memory ? std::move(*memory) : MemoryReservation(), std::move(sink));
    // A duplicate finds the first copy here and does not replace it.
    m_attempts.emplace(open.attempt, attempt);
    if (m_attempts.size() == 1) {
        scheduleTick();
    }
    const auto refusal = memory ? std::nullopt : std::optional(ResultCode::MemoryShort);
    perform(m_core.onOpen(request, arrival, now, refusal));
    eraseIfEnded(open.attempt);
    return std::make_unique<TargetHandle>(*this, open.attempt);
}

std::unique_ptr<AttemptHandle> TargetProxy::fence(const FenceMessage &fence, const std::shared_ptr<ResponseSink> &sink)
{
    const FenceRequest request {fence.attempt, fence.peer, fence.generation};
    for (const TargetAction &action : m_core.onFence(request, m_clock.now())) {
        const auto &reply = std::get<targetaction::ReplyToFence>(action);
        m_loop.post([this, reply, sink] { replyToFence(reply.attempt, reply.result, sink); });
    }
    eraseIfEnded(fence.attempt);
    return std::make_unique<TargetHandle>(*this, fence.attempt);
}

void TargetProxy::replyToFence(const AttemptId &attempt, const FenceResult &result,
                               const std::shared_ptr<ResponseSink> &sink)
{
    if (result.status == FenceStatus::Done) {
        sink->fenced(FenceStatus::Done);
        replay(*result.response, *sink);
        return;
    }
    if (result.status != FenceStatus::Running) {
        sink->fenced(result.status);
        return;
    }
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end() || !found->second->switchSink(sink)) {
        sink->fenced(FenceStatus::Unknown);
    }
}

void TargetProxy::perform(const TargetActions &actions)
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
                    eraseIfEnded(concrete.attempt);
                } else if constexpr (std::is_same_v<Action, targetaction::Abort>) {
                    const auto found = m_attempts.find(concrete.attempt);
                    if (found != m_attempts.end() && found->second->isRunning()) {
                        logCut(*found->second, concrete.reason, "");
                    }
                    eraseIfEnded(concrete.attempt);
                }
            },
            action);
    }
}

void TargetProxy::start(const targetaction::Start &start)
{
    const auto attempt = m_attempts.at(start.attempt);
    attempt->setHeadContext([this, id = start.attempt, endpoint = start.endpoint](HeadMessage &head) {
        head.ticket = m_config.current()->number;
        readLoad(endpoint, findField(head.headers, m_settings.headers.load));
        readWarmUp(endpoint, findField(head.headers, m_settings.headers.warmUp));
        m_core.recordOutcome(endpoint, head.status >= MinServerErrorStatus, m_clock.now());
        head.report = m_core.report(endpoint, m_clock.now());
        // Without a length, the target may still be producing the response.
        if (head.length) {
            m_loop.post([this, id] { perform(m_core.onResponseReady(id, m_clock.now())); });
        }
    });
    const TimePoint now = m_clock.now();
    const auto remaining = std::max(std::chrono::floor<Milliseconds>(start.startDeadline - now), Milliseconds(1));
    // Rounding to 0 ms would mean a transfer without timeout, which might never end.
    const auto timeout = std::max(std::chrono::ceil<Milliseconds>(start.deadline - now), Milliseconds(1));
    const auto window = [this] {
        return responseWindow(m_readQueuedBytes());
    };
    attempt->start(
        m_http,
        TargetRequest {targetAddress(start.endpoint), now, remaining, timeout, m_settings.headers, window,
                       [this] {
                           m_metrics.count(Counter::InputRefused, ResultCode::AnswerForeign);
                       }},
        [this, id = start.attempt](const HttpClientResult &result, std::shared_ptr<const CachedResponse> response) {
            onDone(id, result, std::move(response));
        });
}

void TargetProxy::onDone(const AttemptId &attempt, const HttpClientResult &result,
                         std::shared_ptr<const CachedResponse> response)
{
    const TimePoint now = m_clock.now();
    if (!m_attempts.contains(attempt)) {
        return;
    }
    if (result.code == ResultCode::Ok) {
        const auto sink = m_attempts.at(attempt)->sink();
        perform(m_core.onResponseReceived(attempt, std::move(response), now));
        sink->end(ResultCode::Ok, "");
    } else if (isNotRun(result.code)) {
        perform(m_core.onNotRun(attempt, result.code, now));
    } else if (result.requestSent) {
        logCut(*m_attempts.at(attempt), result.code, result.detail);
        perform(m_core.onResponseLost(attempt, result.code, now));
    } else {
        const EndpointId endpoint = m_attempts.at(attempt)->open().endpoint;
        perform(m_core.onNotRun(attempt, ResultCode::TargetUnreachable, now));
        eraseIfEnded(attempt);
        // A target that is at work just accepts no further connection. Otherwise whoever listens there next has just
        // started.
        if (!isAtWork(endpoint)) {
            assumeWarmUp(endpoint);
        }
        return;
    }
    eraseIfEnded(attempt);
}

bool TargetProxy::isAtWork(const EndpointId &endpoint) const
{
    return std::any_of(m_attempts.begin(), m_attempts.end(), [&endpoint](const auto &item) {
        return item.second->isRunning() && item.second->open().endpoint == endpoint;
    });
}

void TargetProxy::logCut(const TargetAttempt &attempt, ResultCode code, const std::string &detail) const
{
    const OpenMessage &open = attempt.open();
    const auto since = std::chrono::duration_cast<Milliseconds>(m_clock.now() - attempt.startedAt());
    const auto id = std::find_if(open.headers.begin(), open.headers.end(), [this](const auto &header) {
        return equalHeaderNames(header.first, m_settings.headers.requestId);
    });
    logEvent(Event::AttemptCut,
             {{"request", id == open.headers.end() ? std::string() : id->second},
              {"endpoint", open.endpoint.value()},
              {"code", std::to_string(number(code))},
              {"detail", detail},
              {"ms", std::to_string(since.count())},
              {"timeoutMs", std::to_string(attempt.timeout().count())},
              {"allowedMs", std::to_string(open.responseTimeoutMs)},
              {"peer", open.attempt.call.node.value()}});
}

void TargetProxy::refuse(const targetaction::Refuse &refusal)
{
    const auto found = m_attempts.find(refusal.attempt);
    if (found == m_attempts.end()) {
        return;
    }
    const auto sink = found->second->sink();
    if (refusal.code == ResultCode::TargetShed) {
        m_core.recordOutcome(found->second->open().endpoint, true, m_clock.now());
    }
    const TargetReport report = m_core.report(found->second->open().endpoint, m_clock.now());
    m_loop.post([sink, code = refusal.code, report] { sink->refused(code, "", report); });
    eraseIfEnded(refusal.attempt);
}

void TargetProxy::cancel(const AttemptId &attempt, ResultCode reason)
{
    perform(m_core.onCancel(attempt, reason, m_clock.now()));
    eraseIfEnded(attempt);
}

void TargetProxy::eraseIfEnded(const AttemptId &attempt)
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end() || m_core.hasAttempt(attempt)) {
        return;
    }
    found->second->abort();
    m_attempts.erase(found);
}

void TargetProxy::beginDrain()
{
    perform(m_core.setLeaving(DrainReason::Signal, true, m_clock.now()));
}

void TargetProxy::refuseQueued()
{
    perform(m_core.refuseQueued(m_clock.now()));
}

void TargetProxy::scheduleTick()
{
    m_tickTimer.start(m_attempts.empty() ? IdleTickInterval : TickInterval);
}

void TargetProxy::tick()
{
    updateConfiguration();
    const TimePoint now = m_clock.now();
    std::erase_if(m_warmUpProbes, [this, now](const auto &item) { return !m_core.isWarmUpAssumed(item.first, now); });
    for (auto &[endpoint, due] : m_warmUpProbes) {
        if (due <= now) {
            due = now + WarmUpProbeInterval;
            probeWarmUp(endpoint);
        }
    }
    perform(m_core.tick(m_clock.now()));
    scheduleTick();
}

void TargetProxy::updateConfiguration()
{
    const TimePoint now = m_clock.now();
    const HostView *self = m_fleet.findHost(m_identity.host);
    const bool leaving = self != nullptr && self->state == HostState::Leaving;
    perform(m_core.setLeaving(DrainReason::HostList, leaving, now));
    const StatePtr state = m_config.current();
    if (state == m_appliedState) {
        return;
    }
    m_appliedState = state;
    std::vector<LocalEndpoint> local;
    for (const auto &[id, endpoint] : state->endpoints) {
        if (endpoint->host != m_identity.host) {
            continue;
        }
        WarmUpLimits &warmUp = m_warmUps[id];
        warmUp = warmUpOf(*state, id);
        local.push_back({id, endpoint->slots, endpoint->draining, endpoint->warmedUpAt, warmUp.requestsPerSecond});
        m_ports[id] = endpoint->port;
    }
    perform(m_core.setEndpoints(local, now));
    applyEvacuation(*state);
}

void TargetProxy::applyEvacuation(const State &state)
{
    const bool isEvacuated = state.evacuatedZones.contains(m_identity.zone);
    if (isEvacuated == m_isZoneEvacuated) {
        return;
    }
    m_isZoneEvacuated = isEvacuated;
    perform(m_core.setLeaving(DrainReason::Evacuation, isEvacuated, m_clock.now()));
    if (isEvacuated) {
        perform(m_core.refuseQueued(m_clock.now()));
        return;
    }
    for (const auto &[endpoint, port] : m_ports) {
        assumeWarmUp(endpoint);
    }
}

void TargetProxy::assumeWarmUp(const EndpointId &endpoint)
{
    const auto warmUp = m_warmUps.find(endpoint);
    if (warmUp == m_warmUps.end() || warmUp->second.requestsPerSecond <= 0 || !m_core.serves(endpoint)) {
        return;
    }
    const TimePoint now = m_clock.now();
    if (!m_core.isWarmUpAssumed(endpoint, now)) {
        logEvent(Event::WarmUpAssumed, {{"endpoint", endpoint.value()}});
    }
    m_core.assumeWarmUp(endpoint, now + warmUp->second.duration, now);
    m_warmUpProbes.try_emplace(endpoint, now);
}

void TargetProxy::probeWarmUp(const EndpointId &endpoint)
{
    const std::string &path = m_warmUps.at(endpoint).healthPath;
    if (path.empty() || m_settings.headers.warmUp.empty()) {
        return;
    }
    HttpClientRequest request;
    request.url = "http://" + targetAddress(endpoint).toString() + path;
    request.timeout = ProbeTimeout;
    request.maxBodyBytes = MaxHealthPageBytes;
    m_probeHttp.fetch(std::move(request),
                      [this, endpoint](const HttpClientResult &result, unsigned status, const HttpHeaders &headers,
                                       const std::string & /*body*/) {
                          const std::string *value = findHeader(headers, m_settings.headers.warmUp);
                          const bool isKnown = result.code == ResultCode::Ok && isFinalStatus(status);
                          if (!isKnown || (value == nullptr && status != StatusOk)) {
                              return;
                          }
                          // Only targets that warm up send the header.
                          const std::string none = "0";
                          readWarmUp(endpoint, value == nullptr ? &none : value);
                          logEvent(Event::WarmUpConfirmed,
                                   {{"endpoint", endpoint.value()}, {"ms", value == nullptr ? "none" : *value}});
                      });
}

void TargetProxy::readLoad(const EndpointId &endpoint, const std::string *value)
{
    if (value == nullptr) {
        return;
    }
    if (const auto load = parseTargetLoad(*value)) {
        m_core.recordPace(endpoint, load->pace, m_clock.now());
    } else {
        m_metrics.count(Counter::InputRefused, ResultCode::TargetReportMalformed);
    }
}

void TargetProxy::readWarmUp(const EndpointId &endpoint, const std::string *value)
{
    constexpr std::uint32_t MaxMilliseconds = 86'400'000; // one day
    if (value == nullptr) {
        return;
    }
    std::uint32_t remaining = 0;
    const char *last = value->data() + value->size();
    const auto [end, error] = std::from_chars(value->data(), last, remaining);
    if (error != std::errc() || end != last || remaining > MaxMilliseconds) {
        m_metrics.count(Counter::InputRefused, ResultCode::TargetReportMalformed);
        return;
    }
    const TimePoint now = m_clock.now();
    m_core.confirmWarmUp(endpoint, now + Milliseconds(remaining), now);
}

void TargetProxy::probeHealth()
{
    for (const auto &[id, port] : m_ports) {
        if (!m_core.serves(id) || !m_probing.insert(id).second) {
            continue;
        }
        HttpClientRequest request;
        request.url = "http://" + targetAddress(id).toString() + "/health";
        request.timeout = ProbeTimeout;
        request.maxBodyBytes = MaxHealthPageBytes;
        m_probeHttp.fetch(std::move(request),
                          [this, endpoint = id](const HttpClientResult &result, unsigned /*status*/,
                                                const HttpHeaders & /*headers*/, const std::string &body) {
                              m_probing.erase(endpoint);
                              // A failed health check is ignored: only the outcomes of calls show whether a target
                              // works.
                              if (result.code == ResultCode::Ok) {
                                  perform(m_core.onHealth(endpoint, reportsDraining(body), m_clock.now()));
                              }
                          });
    }
}

SocketAddress TargetProxy::targetAddress(const EndpointId &endpoint) const
{
    return {m_identity.targetAddress, m_ports.at(endpoint)};
}

} // namespace jasminemast
