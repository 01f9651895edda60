// Performs the actions of EntryCore.
#include "jasminemast/node/entryproxy.h"

#include "jasminemast/support/events.h"

#include <algorithm>
#include <type_traits>

namespace jasminemast
{

namespace
{

constexpr Milliseconds TickInterval {10};
constexpr Milliseconds IdleTickInterval {200}; ///< while there are no calls with deadlines
/// How often the host list is checked while the ticket stays the same.
constexpr Milliseconds HostListCheckInterval {500};
/// Minimum time between two connection attempts to one host.
constexpr Milliseconds MinConnectInterval {50};
/// A refused caller may retry after a random delay of one to two steps: some requests have ended by then, and callers
/// that were refused together do not retry together.
constexpr Milliseconds RetryAfterStep {150};
/// Longer step for a call past its soft deadline: its response is late anyway, so other calls go first.
constexpr Milliseconds LateRetryAfterStep {450};
constexpr unsigned MinServerErrorStatus = 500;
/// Expected of a call while none has ended.
constexpr Milliseconds InitialDuration {1'000};

EntryLimits entryLimits(const CallSettings &settings)
{
    EntryLimits limits;
    limits.retry.tokensPerCall = settings.retryShare;
    limits.retry.maxTokens = settings.retryBurst;
    limits.retry.freeRefusals = settings.freeRefusals;
    limits.selector.ways = settings.ways;
    return limits;
}

std::string formatMilliseconds(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<Milliseconds>(duration).count());
}

/// Logs \p call, which ends without a complete response because of \p code.
void logIncompleteCall(Event event, const EntryCall &call, TimePoint now, ResultCode code)
{
    const ResponseProgress progress = call.progress();
    const EntryTimes &times = call.times();
    logEvent(event,
             {{"request", call.requestId()},
              {"code", std::to_string(number(code))},
              {"ms", formatMilliseconds(now - times.arrival.latest)},
              {"unreadMs", formatMilliseconds(times.arrival.latest - times.arrival.earliest)},
              {"limit", times.source == DeadlineSource::Route ? "route" : "caller"},
              {"limitMs", formatMilliseconds(times.timeout)},
              {"host", call.targetHost().value()},
              {"response", progress.isStarted ? "started" : "none"},
              {"received", std::to_string(progress.received)},
              {"unsent", std::to_string(progress.unsent)},
              {"length", progress.length ? std::to_string(*progress.length) : "unknown"}});
}

} // namespace

/// Reports the replies to one attempt to the core, and forwards the response to the caller while the core awaits it.
class EntryProxy::Sink final : public ResponseSink
{
public:
    Sink(EntryProxy &proxy, AttemptId attempt)
        : m_proxy(proxy)
        , m_attempt(std::move(attempt))
    {
    }

    void refused(ResultCode code, const std::string & /*detail*/, const TargetReport &report) override
    {
        const TimePoint now = m_proxy.m_context.clock.now();
        m_proxy.m_core.onReport(m_attempt, report, now);
        if (isNotRun(code)) {
            m_proxy.perform(m_proxy.m_core.onRefused(m_attempt, code, now));
        } else {
            m_proxy.perform(m_proxy.m_core.onResponseLost(m_attempt, code, now));
        }
    }

    void head(const HeadMessage &head) override
    {
        const TimePoint now = m_proxy.m_context.clock.now();
        if (!m_proxy.m_core.awaits(m_attempt)) {
            return;
        }
        m_proxy.m_core.onReport(m_attempt, head.report, now);
        if (head.status >= MinServerErrorStatus) {
            m_proxy.perform(m_proxy.m_core.onResponseFailed(m_attempt, now));
        } else {
            m_proxy.perform(m_proxy.m_core.onResponseStarted(m_attempt, now));
        }
        if (!m_proxy.m_core.awaits(m_attempt)) {
            return;
        }
        EntryCall &call = *m_proxy.findCall(m_attempt.call);
        // Heads overtake bodies; a response of which the caller has only the head could just break off at the exit.
        if (m_proxy.m_latestDeadline != TimePoint::max()) {
            call.holdHead();
        }
        call.forwardHead(head, m_proxy.m_draining);
    }

    void data(std::string_view bytes) override
    {
        if (m_proxy.m_core.awaits(m_attempt)) {
            m_proxy.findCall(m_attempt.call)->forwardData(bytes);
            // Responses to callers are assumed to share the host's network link with traffic to other nodes.
            m_proxy.m_context.links.addUnscheduledBytes(bytes.size());
        }
    }

    void end(ResultCode code, const std::string & /*detail*/) override
    {
        const TimePoint now = m_proxy.m_context.clock.now();
        if (code == ResultCode::Ok) {
            m_proxy.perform(m_proxy.m_core.onResponseCompleted(m_attempt, now));
        } else {
            m_proxy.perform(m_proxy.m_core.onResponseLost(m_attempt, code, now));
        }
    }

    void consumed(std::size_t bytes) override
    {
        if (!m_proxy.m_core.awaits(m_attempt)) {
            return;
        }
        if (m_proxy.findCall(m_attempt.call)->recordConsumed(bytes)) {
            m_proxy.perform(m_proxy.m_core.onRequestConsumed(m_attempt, m_proxy.m_context.clock.now()));
        }
    }

    void fenced(FenceStatus status) override
    {
        m_proxy.perform(m_proxy.m_core.onFenceReplied(m_attempt, status, m_proxy.m_context.clock.now()));
    }

private:
    EntryProxy &m_proxy;
    AttemptId m_attempt;
};

EntryProxy::EntryProxy(EntryContext context, const NodeSettings &settings, Incarnation incarnation, std::uint64_t seed)
    : m_context(context)
    , m_self(settings.self)
    , m_linkPort(settings.linkPort)
    , m_settings(settings.calls)
    , m_headers {settings.calls.headers, settings.targetService}
    , m_random(seed)
    , m_silenceLimit(settings.links.heartbeatInterval * 2)
    , m_core(EntryNodeIdentity {settings.self.host, incarnation, settings.self.zone, settings.self.region},
             entryLimits(settings.calls), seed, context.metrics)
    , m_tickTimer(context.loop, [this] { tick(); })
{
    // The target on this host is reached without a link.
    m_core.onLinkUp(m_self.host, incarnation, m_context.clock.now());
    scheduleTick();
}

EntryProxy::~EntryProxy() = default;

void EntryProxy::applySettings(const NodeSettings &settings)
{
    m_settings = settings.calls;
    m_headers = {settings.calls.headers, settings.targetService};
}

void EntryProxy::limitDeadlines(TimePoint latest, Duration withdrawTimeout)
{
    m_latestDeadline = latest;
    m_core.limitDeadlines(latest, withdrawTimeout);
}

void EntryProxy::handle(const std::shared_ptr<HttpExchange> &exchange)
{
    const TimePoint now = m_context.clock.now();
    m_lastActivity = now;
    const CallerLimits limits = callerLimits(exchange->request().headers, m_headers.names, m_settings.defaultDeadline);
    const ArrivalTime arrival = m_context.pauseDetector.arrivalTime(now);
    if (limits.minTicket <= m_context.config.current()->number) {
        routeCall(exchange, arrival, limits.deadline);
        return;
    }
    m_waitingForTicket.insert(exchange);
    const TimePoint startDeadline = std::min(arrival.earliest + limits.deadline, m_latestDeadline);
    m_context.config.whenReached(limits.minTicket, startDeadline, [this, exchange, arrival, limits](bool reached) {
        if (!m_waitingForTicket.contains(exchange)) {
            return;
        }
        if (exchange->isOver()) {
            m_waitingForTicket.erase(exchange);
            return;
        }
        if (!reached) {
            refuseWaiting(exchange);
            return;
        }
        m_waitingForTicket.erase(exchange);
        routeCall(exchange, arrival, limits.deadline);
    });
}

void EntryProxy::refuseWaiting(const std::shared_ptr<HttpExchange> &exchange)
{
    m_waitingForTicket.erase(exchange);
    m_context.metrics.count(Counter::CallsNotRun, ResultCode::TicketNotReached);
    respondWithFailure(*exchange, m_headers.names, m_context.config.current()->number, Outcome::NotRun,
                       ResultCode::TicketNotReached, failureHeaders(TimePoint::max()));
}

void EntryProxy::routeCall(const std::shared_ptr<HttpExchange> &exchange, const ArrivalTime &arrival,
                           Duration callerTimeout)
{
    updateConfiguration();
    const HttpRequest &request = exchange->request();
    const StatePtr state = m_context.config.current();
    const Route *route = state->findRoute(request.method, request.path(), requestHost(request.headers));
    if (route == nullptr) {
        // A node without any ticket does not know which routes exist.
        const ResultCode code = state->number == TicketNumber(0) ? ResultCode::NotReady : ResultCode::NoRoute;
        m_context.metrics.count(Counter::CallsNotRun, code);
        respondWithFailure(*exchange, m_headers.names, state->number, Outcome::NotRun, code,
                           failureHeaders(TimePoint::max()));
        return;
    }
    CallSpec spec;
    spec.route = route->id;
    spec.service = m_split.next(*route);
    spec.maxAttempts = route->attempts;
    spec.repeatable = route->isRepeatable(request.method);
    const Duration timeout = std::min<Duration>(callerTimeout, route->timeout);
    spec.deadline = arrival.latest + timeout;
    spec.startDeadline = arrival.earliest + timeout;
    const TimePoint now = m_context.clock.now();
    if (m_admission && !m_admission(CallForecast {spec.deadline, expectedDuration(route->id, now), Duration(0)})) {
        m_context.metrics.count(Counter::CallsNotRun, ResultCode::NodeLeaving);
        respondWithFailure(*exchange, m_headers.names, state->number, Outcome::NotRun, ResultCode::NodeLeaving,
                           failureHeaders(TimePoint::max()));
        return;
    }
    spec.priority = route->priority;
    spec.allowedRegions = route->allowedRegions;
    spec.expectedBytes = m_sizes.expectedBytes(route->id);
    const Duration observedTimeout = std::min(arrival.earliest + callerTimeout, m_latestDeadline) - arrival.earliest;
    const Duration callerWait = m_callerWait.observe(route->id, observedTimeout, arrival.earliest);
    if (route->targetLatency.count() > 0) {
        spec.softDeadline = arrival.earliest + route->targetLatency - callerWait;
    }
    const EntryCore::BeginResult result = m_core.begin(spec, now);
    EntryTimes times {arrival, spec.softDeadline, timeout};
    times.source = timeout < callerTimeout ? DeadlineSource::Route : DeadlineSource::Caller;
    m_calls.emplace(result.call, std::make_unique<EntryCall>(exchange, state, route, m_headers, times));
    if (m_calls.size() == 1) {
        scheduleTick();
    }
    exchange->setCancelHandler(
        [this, id = result.call] { perform(m_core.onCallerDisconnected(id, m_context.clock.now())); });
    if (exchange->isUpload()) {
        exchange->setUploadHandler([this, id = result.call] { onUpload(id); });
    }
    perform(result.actions);
}

void EntryProxy::onUpload(const CallId &id)
{
    EntryCall *call = findCall(id);
    if (call == nullptr) {
        return;
    }
    const ResultCode error = call->exchange().uploadError();
    if (error != ResultCode::Ok) {
        perform(m_core.onRequestBroken(id, error, m_context.clock.now()));
        return;
    }
    call->pumpUpload();
}

EntryCall *EntryProxy::findCall(const CallId &id) const
{
    const auto found = m_calls.find(id);
    return found == m_calls.end() ? nullptr : found->second.get();
}

Duration EntryProxy::expectedDuration(const RouteId &route, TimePoint now) const
{
    const auto ended = m_durations.longest(route, now);
    Duration duration = ended ? *ended : m_durations.longestOfAll(now).value_or(InitialDuration);
    for (const auto &[id, call] : m_calls) {
        if (call->routeId() == route) {
            duration = std::max(duration, now - call->times().arrival.latest);
        }
    }
    return duration;
}

std::shared_ptr<Link> EntryProxy::linkTo(const HostId &host) const
{
    const auto found = m_upLinks.find(host);
    return found == m_upLinks.end() ? nullptr : found->second;
}

void EntryProxy::perform(const EntryActions &actions)
{
    for (const EntryAction &action : actions) {
        std::visit(
            [this](const auto &concrete) {
                using Action = std::decay_t<decltype(concrete)>;
                if constexpr (std::is_same_v<Action, entryaction::SendOpen>) {
                    sendOpen(concrete);
                } else if constexpr (std::is_same_v<Action, entryaction::SendFence>) {
                    sendFence(concrete);
                } else if constexpr (std::is_same_v<Action, entryaction::Connect>) {
                    connect(concrete.host);
                } else if constexpr (std::is_same_v<Action, entryaction::Finish>) {
                    finish(concrete);
                } else if (EntryCall *call = findCall(concrete.attempt.call)) {
                    if constexpr (std::is_same_v<Action, entryaction::SendCancel>) {
                        call->cancelAttempt();
                    } else {
                        call->withdrawAttempt();
                    }
                }
            },
            action);
    }
}

void EntryProxy::sendOpen(const entryaction::SendOpen &send)
{
    EntryCall *call = findCall(send.request.attempt.call);
    if (call == nullptr) {
        return;
    }
    call->setTargetHost(send.host);
    const auto sink = std::make_shared<Sink>(*this, send.request.attempt);
    if (send.host == m_self.host) {
        const TimePoint now = m_context.clock.now();
        OpenMessage open = call->makeOpenMessage(send.request);
        if (call->isUpload()) {
            open.bodyBytes = call->exchange().uploadLength().value_or(OpenMessage::UnknownBodyBytes);
        }
        call->setHandle(m_context.localTarget.open(open, AttemptBody {call->body(), !call->isUpload()}, sink,
                                                   ArrivalTime {now, now}));
    } else if (const auto link = linkTo(send.host); link && call->isUpload()) {
        call->setHandle(m_context.remote.openUpload(link, call->makeOpenMessage(send.request), call->body(),
                                                    call->exchange().uploadLength(), sink));
    } else if (link) {
        call->setHandle(m_context.remote.open(link, call->makeOpenMessage(send.request), call->body(), sink));
    } else {
        // A link that was lost in this iteration of the event loop is reported to the core later.
        return;
    }
    call->beginUpload();
}

void EntryProxy::sendFence(const entryaction::SendFence &send)
{
    EntryCall *call = findCall(send.request.attempt.call);
    const auto link = linkTo(send.host);
    if (call == nullptr || link == nullptr) {
        return;
    }
    const FenceMessage fence {0, send.request.attempt, send.request.target, send.request.generation};
    call->setHandle(m_context.remote.fence(link, fence, std::make_shared<Sink>(*this, send.request.attempt)));
}

void EntryProxy::connect(const HostId &host)
{
    const HostView *view = m_context.fleet.findHost(host);
    if (view == nullptr) {
        // Without an address, the outcome of an attempt on that host cannot be queried.
        m_context.loop.post([this, host] { perform(m_core.onUnreachable(host, true, m_context.clock.now())); });
        return;
    }
    const TimePoint now = m_context.clock.now();
    const auto [last, inserted] = m_lastConnectAt.try_emplace(host, now);
    if (!inserted && now - last->second < MinConnectInterval) {
        m_delayedConnects.insert(host);
        return;
    }
    last->second = now;
    const auto link = m_context.links.connect(host, SocketAddress {view->record.address, m_linkPort});
    // A retained link that never comes up is closed when its silence times out.
    if (!link->isUp() && m_connecting.insert(link).second) {
        link->retain();
    }
}

void EntryProxy::releaseLink(const std::shared_ptr<Link> &link)
{
    if (m_connecting.erase(link) > 0) {
        link->release();
    }
}

void EntryProxy::retryConnecting()
{
    std::set<HostId> due;
    due.swap(m_delayedConnects);
    for (const HostId &host : due) {
        connect(host);
    }
}

void EntryProxy::onLinkUp(const std::shared_ptr<Link> &link)
{
    releaseLink(link);
    const HostId host = link->peer().host;
    m_upLinks[host] = link;
    perform(m_core.onLinkUp(host, link->peer().incarnation, m_context.clock.now()));
}

void EntryProxy::onLinkDown(const std::shared_ptr<Link> &link, ResultCode reason)
{
    releaseLink(link);
    const HostId host = link->peer().host;
    const TimePoint now = m_context.clock.now();
    const auto up = m_upLinks.find(host);
    if (up != m_upLinks.end() && up->second == link) {
        m_upLinks.erase(up);
        // The silence of a lost link says nothing about the next one; the attempts that it failed count as failures.
        if (m_silentHosts.erase(host) > 0) {
            m_core.onLinkSilenceChanged(host, false);
        }
        perform(m_core.onLinkDown(host, now));
        return;
    }
    perform(m_core.onUnreachable(host, reason == ResultCode::LinkRefused, now));
}

void EntryProxy::onAnnounced(const AnnounceMessage &announcement)
{
    m_core.onAnnounced(announcement.endpoint, announcement.leaving, m_context.clock.now());
}

void EntryProxy::finish(const entryaction::Finish &end)
{
    const auto found = m_calls.find(end.call);
    if (found == m_calls.end()) {
        return;
    }
    const std::unique_ptr<EntryCall> call = std::move(found->second);
    m_calls.erase(found);
    const TimePoint now = m_context.clock.now();
    m_lastActivity = now;
    const Duration duration = now - call->times().arrival.latest;
    if (end.outcome != Outcome::NotRun) {
        m_durations.record(call->routeId(), duration, now);
    }
    if (end.outcome == Outcome::Answered) {
        m_context.metrics.observe(Summary::CallDuration, duration);
        m_sizes.record(call->routeId(), call->exchange().bodyBytes() + call->progress().received);
    }
    if (end.outcome == Outcome::Unknown && end.code != ResultCode::CallerGone) {
        const Event event = now < m_latestDeadline ? Event::CallUnknown : Event::CallCutByExit;
        logIncompleteCall(event, *call, now, end.code);
    }
    call->finish(end.outcome, end.code, failureHeaders(call->times().softDeadline));
}

void EntryProxy::logOpenCalls() const
{
    const TimePoint now = m_context.clock.now();
    for (const auto &[id, call] : m_calls) {
        logIncompleteCall(Event::CallCutByExit, *call, now, ResultCode::DeadlineExceeded);
    }
}

FailureHeaders EntryProxy::failureHeaders(TimePoint softDeadline)
{
    const bool isBeforeSoftDeadline = m_context.clock.now() < softDeadline;
    const Milliseconds step = isBeforeSoftDeadline ? RetryAfterStep : LateRetryAfterStep;
    const auto jitter = static_cast<Milliseconds::rep>(m_random.nextBelow(static_cast<std::uint64_t>(step.count())));
    return {m_draining, step + Milliseconds(jitter)};
}

std::vector<Candidate> EntryProxy::findCandidates(const State &state, const Service &service) const
{
    std::vector<Candidate> live;
    std::vector<Candidate> dead;
    for (const EndpointId &id : service.endpoints) {
        const Endpoint &endpoint = *state.endpoints.at(id);
        const HostView *host = m_context.fleet.findHost(endpoint.host);
        if (host == nullptr) {
            continue;
        }
        const bool leaving = endpoint.draining || host->state == HostState::Leaving
            || state.evacuatedZones.contains(host->record.zone);
        const Candidate candidate {
            id,
            endpoint.host,
            host->record.zone,
            host->record.region,
            endpoint.slots,
            leaving,
            endpoint.warmedUpAt,
            service.warmUp.requestsPerSecond,
        };
        (host->state == HostState::Dead ? dead : live).push_back(candidate);
    }
    // If all hosts are dead, this node itself may be cut off: keep trying all of them.
    return live.empty() ? dead : live;
}

void EntryProxy::updateConfiguration()
{
    const TimePoint now = m_context.clock.now();
    const StatePtr state = m_context.config.current();
    if (state == m_appliedState && now - m_appliedAt < HostListCheckInterval) {
        return;
    }
    m_appliedState = state;
    m_appliedAt = now;
    std::map<ServiceId, std::vector<Candidate>> services;
    for (const auto &[id, service] : state->services) {
        services.emplace(id, findCandidates(*state, *service));
    }
    m_core.setServices(std::move(services), now);
}

void EntryProxy::scheduleTick()
{
    m_tickTimer.start(openCalls() == 0 ? IdleTickInterval : TickInterval);
}

void EntryProxy::updateSilentLinks()
{
    const TimePoint now = m_context.clock.now();
    for (const auto &[host, link] : m_upLinks) {
        const bool silent = link->expectsTraffic() && now - link->silentSince() > m_silenceLimit;
        if (silent != m_silentHosts.contains(host)) {
            m_core.onLinkSilenceChanged(host, silent);
            if (silent) {
                m_silentHosts.insert(host);
            } else {
                m_silentHosts.erase(host);
            }
        }
    }
}

void EntryProxy::tick()
{
    updateConfiguration();
    retryConnecting();
    updateSilentLinks();
    const TimePoint now = m_context.clock.now();
    perform(m_core.tick(now));
    m_context.remote.reportWritten();
    while (now >= m_latestDeadline && !m_waitingForTicket.empty()) {
        refuseWaiting(std::shared_ptr(*m_waitingForTicket.begin()));
    }
    scheduleTick();
}

} // namespace jasminemast
