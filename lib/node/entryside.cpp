// Carries out the decisions for the calls of this node's callers.
#include "jasminemast/node/entryside.h"

#include <algorithm>
#include <type_traits>

namespace jasminemast
{

namespace
{

constexpr Milliseconds TickInterval {10};
constexpr Milliseconds IdleTickInterval {200}; ///< while there is no work whose time could run out
/// How often the host list is looked at while the ticket stays the same.
constexpr Milliseconds FollowInterval {500};
/// Least time between two diallings of one host.
constexpr Milliseconds RedialDelay {50};
/// A caller that was refused may return after between one and two of these: some requests have ended by then, and
/// those who were refused together do not return together.
constexpr Milliseconds RetryAfterStep {150};
/// The same for a caller whose answer comes late anyway: it makes room for the others for longer.
constexpr Milliseconds LateRetryAfterStep {450};
constexpr unsigned LeastFailureStatus = 500;

EntryLimits entryLimits(const CallSettings &settings)
{
    EntryLimits limits;
    limits.retry.share = settings.retryShare;
    limits.retry.maxTokens = settings.retryBurst;
    limits.retry.freeRefusals = settings.freeRefusals;
    return limits;
}

} // namespace

/// Passes what comes back for one attempt to the core, and the answer to the call while the core awaits it.
class EntrySide::Sink final : public AnswerSink
{
public:
    Sink(EntrySide &side, AttemptId attempt)
        : m_side(side)
        , m_attempt(std::move(attempt))
    {
    }

    void refused(ResultCode code, const std::string & /*detail*/, float load) override
    {
        const TimePoint now = m_side.m_context.clock.now();
        m_side.m_core.onLoad(m_attempt, load, now);
        if (isNotRun(code)) {
            m_side.perform(m_side.m_core.onRefused(m_attempt, code, now));
        } else {
            m_side.perform(m_side.m_core.onLost(m_attempt, code, now));
        }
    }

    void head(const HeadMessage &head) override
    {
        const TimePoint now = m_side.m_context.clock.now();
        if (!m_side.m_core.awaits(m_attempt)) {
            return;
        }
        m_side.m_core.onLoad(m_attempt, head.load, now);
        if (head.status >= LeastFailureStatus) {
            m_side.perform(m_side.m_core.onResponseFailed(m_attempt, now));
        } else {
            m_side.perform(m_side.m_core.onResponseStarted(m_attempt, now));
        }
        if (!m_side.m_core.awaits(m_attempt)) {
            return;
        }
        m_side.findCall(m_attempt.call)->passHead(head, m_side.m_draining);
    }

    void data(std::string_view bytes) override
    {
        if (m_side.m_core.awaits(m_attempt)) {
            m_side.findCall(m_attempt.call)->passData(bytes);
            // Callers are taken to stand behind the same link of the host as other nodes.
            m_side.m_context.links.addUnscheduledBytes(bytes.size());
        }
    }

    void end(ResultCode code, const std::string & /*detail*/) override
    {
        const TimePoint now = m_side.m_context.clock.now();
        if (code == ResultCode::Ok) {
            m_side.perform(m_side.m_core.onResponseCompleted(m_attempt, now));
        } else {
            m_side.perform(m_side.m_core.onLost(m_attempt, code, now));
        }
    }

    void fenced(FenceStatus status) override
    {
        m_side.perform(m_side.m_core.onFenceReplied(m_attempt, status, m_side.m_context.clock.now()));
    }

private:
    EntrySide &m_side;
    AttemptId m_attempt;
};

EntrySide::EntrySide(EntryContext context, const NodeSettings &settings, Incarnation incarnation, std::uint64_t seed)
    : m_context(context)
    , m_self(settings.self)
    , m_linkPort(settings.linkPort)
    , m_settings(settings.calls)
    , m_headers {settings.calls.headers, settings.targetService}
    , m_random(seed)
    , m_suspectAfter(settings.links.heartbeatInterval * 2)
    , m_core(EntryNodeIdentity {settings.self.host, incarnation, settings.self.zone, settings.self.region},
             entryLimits(settings.calls), seed, context.metrics)
    , m_tickTimer(context.loop, [this] { tick(); })
{
    // The target beside this node is reached without a link.
    m_core.onLinkUp(m_self.host, incarnation, m_context.clock.now());
    scheduleTick();
}

EntrySide::~EntrySide() = default;

void EntrySide::applySettings(const NodeSettings &settings)
{
    m_settings = settings.calls;
    m_headers = {settings.calls.headers, settings.targetService};
}

void EntrySide::handle(const std::shared_ptr<HttpExchange> &exchange)
{
    const TimePoint now = m_context.clock.now();
    m_lastActivity = now;
    const CallerLimits limits = callerLimits(exchange->request().headers, m_headers.names, m_settings.defaultDeadline);
    const TimePoint arrived = now - m_context.pauseDetector.inputAge(now);
    const TimePoint deadline = arrived + limits.deadline;
    if (limits.seen <= m_context.config.current()->number) {
        route(exchange, arrived, deadline);
        return;
    }
    ++m_waiting;
    m_context.config.whenReached(limits.seen, deadline, [this, exchange, arrived, deadline](bool reached) {
        --m_waiting;
        if (reached) {
            route(exchange, arrived, deadline);
            return;
        }
        m_context.metrics.count(Counter::CallsNotRun, ResultCode::TicketNotReached);
        respondWithoutAnswer(*exchange, m_headers.names, m_context.config.current()->number, Outcome::NotRun,
                             ResultCode::TicketNotReached, refusal(TimePoint::max()));
    });
}

void EntrySide::route(const std::shared_ptr<HttpExchange> &exchange, TimePoint arrived, TimePoint deadline)
{
    followConfiguration();
    const HttpRequest &request = exchange->request();
    const StatePtr state = m_context.config.current();
    const Route *route = state->findRoute(request.method, request.path(), requestHost(request.headers));
    if (route == nullptr) {
        // Without any ticket this node cannot know what exists.
        const ResultCode code = state->number == TicketNumber(0) ? ResultCode::NotReady : ResultCode::NoRoute;
        m_context.metrics.count(Counter::CallsNotRun, code);
        respondWithoutAnswer(*exchange, m_headers.names, state->number, Outcome::NotRun, code,
                             refusal(TimePoint::max()));
        return;
    }
    CallSpec spec;
    spec.route = route->id;
    spec.service = m_split.next(*route);
    spec.attempts = route->attempts;
    spec.repeatable = route->isRepeatable(request.method);
    spec.deadline = std::min(deadline, arrived + route->timeout);
    spec.priority = route->priority;
    const Duration waited = m_callerAge.observe(route->id, deadline - arrived, arrived);
    if (route->targetLatency.count() > 0) {
        spec.softDeadline = arrived + route->targetLatency - waited;
    }
    const EntryCore::BeginResult begun = m_core.begin(spec, m_context.clock.now());
    m_calls.emplace(
        begun.call,
        std::make_unique<EntryCall>(exchange, state, route, m_headers, EntryTimes {arrived, spec.softDeadline}));
    if (m_calls.size() == 1) {
        scheduleTick();
    }
    exchange->setCancelHandler([this, id = begun.call] { perform(m_core.onCallerGone(id, m_context.clock.now())); });
    perform(begun.actions);
}

EntryCall *EntrySide::findCall(const CallId &id) const
{
    const auto found = m_calls.find(id);
    return found == m_calls.end() ? nullptr : found->second.get();
}

std::shared_ptr<Link> EntrySide::linkTo(const HostId &host) const
{
    const auto found = m_up.find(host);
    return found == m_up.end() ? nullptr : found->second;
}

void EntrySide::perform(const EntryActions &actions)
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
                } else {
                    if (EntryCall *call = findCall(concrete.attempt.call)) {
                        call->cancelAttempt();
                    }
                }
            },
            action);
    }
}

void EntrySide::sendOpen(const entryaction::SendOpen &send)
{
    EntryCall *call = findCall(send.request.attempt.call);
    if (call == nullptr) {
        return;
    }
    const auto sink = std::make_shared<Sink>(*this, send.request.attempt);
    if (send.host == m_self.host) {
        call->setHandle(
            m_context.localTarget.open(call->makeOpen(send.request), call->body(), sink, m_context.clock.now()));
        return;
    }
    // A link that was lost in this very turn of the loop is reported to the core afterwards.
    if (const auto link = linkTo(send.host)) {
        call->setHandle(m_context.remote.open(link, call->makeOpen(send.request), call->body(), sink));
    }
}

void EntrySide::sendFence(const entryaction::SendFence &send)
{
    EntryCall *call = findCall(send.request.attempt.call);
    const auto link = linkTo(send.host);
    if (call == nullptr || link == nullptr) {
        return;
    }
    const FenceMessage fence {0, send.request.attempt, send.request.target, send.request.generation};
    call->setHandle(m_context.remote.fence(link, fence, std::make_shared<Sink>(*this, send.request.attempt)));
}

void EntrySide::connect(const HostId &host)
{
    const HostView *view = m_context.fleet.findHost(host);
    if (view == nullptr) {
        // Nobody knows where to ask what became of an attempt there.
        m_context.loop.post([this, host] { perform(m_core.onUnreachable(host, true, m_context.clock.now())); });
        return;
    }
    const TimePoint now = m_context.clock.now();
    const auto [last, first] = m_dialledAt.try_emplace(host, now);
    if (!first && now - last->second < RedialDelay) {
        m_redial.insert(host);
        return;
    }
    last->second = now;
    const auto link = m_context.links.connect(host, SocketAddress {view->record.address, m_linkPort});
    // Held, a link that never comes up is given up for its silence.
    if (!link->isUp() && m_dialling.insert(link).second) {
        link->retain();
    }
}

void EntrySide::release(const std::shared_ptr<Link> &link)
{
    if (m_dialling.erase(link) > 0) {
        link->release();
    }
}

void EntrySide::redial()
{
    std::set<HostId> due;
    due.swap(m_redial);
    for (const HostId &host : due) {
        connect(host);
    }
}

void EntrySide::onLinkUp(const std::shared_ptr<Link> &link)
{
    release(link);
    const HostId host = link->peer().host;
    m_up[host] = link;
    perform(m_core.onLinkUp(host, link->peer().incarnation, m_context.clock.now()));
}

void EntrySide::onLinkDown(const std::shared_ptr<Link> &link, ResultCode reason)
{
    release(link);
    const HostId host = link->peer().host;
    const TimePoint now = m_context.clock.now();
    const auto up = m_up.find(host);
    if (up != m_up.end() && up->second == link) {
        m_up.erase(up);
        // What is known of a lost link tells nothing of the next one; the failed attempts count as failures.
        if (m_silent.erase(host) > 0) {
            m_core.onLinkSilenceChanged(host, false);
        }
        perform(m_core.onLinkDown(host, now));
        return;
    }
    perform(m_core.onUnreachable(host, reason == ResultCode::LinkRefused, now));
}

void EntrySide::onAnnounced(const AnnounceMessage &announcement)
{
    m_core.onAnnounced(announcement.endpoint, announcement.leaving, m_context.clock.now());
}

void EntrySide::finish(const entryaction::Finish &end)
{
    const auto found = m_calls.find(end.call);
    if (found == m_calls.end()) {
        return;
    }
    const std::unique_ptr<EntryCall> call = std::move(found->second);
    m_calls.erase(found);
    const TimePoint now = m_context.clock.now();
    m_lastActivity = now;
    if (end.outcome == Outcome::Answered) {
        m_context.metrics.observe(Summary::CallDuration, now - call->began());
    }
    call->finish(end.outcome, end.code, refusal(call->softDeadline()));
}

Refusal EntrySide::refusal(TimePoint softDeadline)
{
    const bool isUseful = m_context.clock.now() < softDeadline;
    const Milliseconds step = isUseful ? RetryAfterStep : LateRetryAfterStep;
    const auto spread = static_cast<Milliseconds::rep>(m_random.nextBelow(static_cast<std::uint64_t>(step.count())));
    return {m_draining, step + Milliseconds(spread)};
}

std::vector<Candidate> EntrySide::candidatesOf(const State &state, const Service &service) const
{
    std::vector<Candidate> live;
    std::vector<Candidate> silent;
    for (const EndpointId &id : service.endpoints) {
        const Endpoint &endpoint = *state.endpoints.at(id);
        const HostView *host = m_context.fleet.findHost(endpoint.host);
        if (host == nullptr) {
            continue;
        }
        const bool leaving = endpoint.draining || host->state == HostState::Leaving;
        const Candidate candidate {id, endpoint.host, host->record.zone, host->record.region, endpoint.slots, leaving};
        (host->state == HostState::Dead ? silent : live).push_back(candidate);
    }
    // When no host answers, the fault may be on this side: go on trying.
    return live.empty() ? silent : live;
}

void EntrySide::followConfiguration()
{
    const TimePoint now = m_context.clock.now();
    const StatePtr state = m_context.config.current();
    if (state == m_followed && now - m_followedAt < FollowInterval) {
        return;
    }
    m_followed = state;
    m_followedAt = now;
    std::map<ServiceId, std::vector<Candidate>> services;
    for (const auto &[id, service] : state->services) {
        services.emplace(id, candidatesOf(*state, *service));
    }
    m_core.setServices(std::move(services), now);
}

void EntrySide::scheduleTick()
{
    m_tickTimer.start(m_calls.empty() ? IdleTickInterval : TickInterval);
}

void EntrySide::watchLinks()
{
    const TimePoint now = m_context.clock.now();
    for (const auto &[host, link] : m_up) {
        const bool silent = link->expectsTraffic() && now - link->silentSince() > m_suspectAfter;
        if (silent != m_silent.contains(host)) {
            m_core.onLinkSilenceChanged(host, silent);
            if (silent) {
                m_silent.insert(host);
            } else {
                m_silent.erase(host);
            }
        }
    }
}

void EntrySide::tick()
{
    followConfiguration();
    redial();
    watchLinks();
    perform(m_core.tick(m_context.clock.now()));
    scheduleTick();
}

} // namespace jasminemast
