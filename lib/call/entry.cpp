// Connects the state machines of calls with endpoint selection, retry budgets and links.
#include "jasminemast/call/entry.h"

#include <algorithm>
#include <type_traits>

namespace jasminemast
{

EntryCore::EntryCore(EntryNodeIdentity identity, const EntryLimits &limits, std::uint64_t seed, Metrics &metrics)
    : m_identity(std::move(identity))
    , m_limits(limits)
    , m_random(seed)
    , m_metrics(metrics)
{
}

void EntryCore::setServices(std::map<ServiceId, std::vector<Candidate>> services, TimePoint now)
{
    std::erase_if(m_services, [&services](const auto &item) { return services.count(item.first) == 0; });
    for (auto &[id, candidates] : services) {
        auto [it, added]
            = m_services.try_emplace(id,
                                     Service {EndpointSelector(m_identity.zone, m_identity.region, m_limits.selector),
                                              RetryBudget(m_limits.retry)});
        it->second.selector.setCandidates(std::move(candidates), now);
    }
}

EntryCore::BeginResult EntryCore::begin(const CallSpec &spec, TimePoint now)
{
    const CallId id {m_identity.host, m_identity.incarnation, ++m_lastSequence};
    const TimePoint deadline = std::min(spec.deadline, m_latestDeadline);
    const TimePoint startDeadline = std::min(spec.startDeadline, deadline);
    CallMachine machine(spec.repeatable, startDeadline, spec.maxAttempts);
    const CallActions first = machine.start();
    Call &call = m_calls.emplace(id, Call {spec, machine, {}, ResultCode::NoEndpoint, {{}, spec.allowedRegions}})
                     .first->second;
    call.spec.deadline = deadline;
    call.spec.startDeadline = startDeadline;
    m_deadlines.emplace(deadline, id);
    EntryActions actions;
    performActions(id, first, actions, now);
    return {id, std::move(actions)};
}

void EntryCore::limitDeadlines(TimePoint latest, Duration withdrawTimeout)
{
    m_latestDeadline = latest;
    m_withdrawTimeout = withdrawTimeout;
    for (auto &[id, call] : m_calls) {
        setDeadline(id, call, std::min(call.spec.deadline, latest));
        call.spec.startDeadline = std::min(call.spec.startDeadline, latest);
        call.machine.limitStartDeadline(latest);
    }
}

void EntryCore::setDeadline(const CallId &id, Call &call, TimePoint deadline)
{
    m_deadlines.erase({call.spec.deadline, id});
    call.spec.deadline = deadline;
    m_deadlines.emplace(deadline, id);
}

AttemptId EntryCore::attemptId(const CallId &id, const Call &call) const
{
    return {id, call.machine.attempt()};
}

bool EntryCore::isOpen(const AttemptId &attempt) const
{
    const auto found = m_calls.find(attempt.call);
    return found != m_calls.end() && found->second.attempt.open && found->second.machine.attempt() == attempt.number;
}

bool EntryCore::awaits(const AttemptId &attempt) const
{
    return isOpen(attempt) && !m_calls.at(attempt.call).machine.isWithdrawing();
}

void EntryCore::handleEvent(const CallId &id, const CallEvent &event, AttemptResult result, EntryActions &actions,
                            TimePoint now)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end()) {
        return;
    }
    Call &call = found->second;
    const auto service = m_services.find(call.spec.service);
    // The calls of a service that a ticket removed meanwhile get no further attempts.
    RetryLimits noTokens = m_limits.retry;
    noTokens.tokensPerCall = 0;
    noTokens.maxTokens = 0;
    RetryBudget emptyBudget(noTokens);
    RetryBudget &budget = service == m_services.end() ? emptyBudget : service->second.budget;
    const CallActions callActions = call.machine.step(event, budget, now);
    for (const CallAction &action : callActions) {
        if (std::holds_alternative<callaction::ChooseEndpoint>(action)
            || std::holds_alternative<callaction::Finish>(action)) {
            closeAttempt(call, result, now);
        }
    }
    performActions(id, callActions, actions, now);
}

void EntryCore::closeAttempt(Call &call, AttemptResult result, TimePoint now)
{
    if (!call.attempt.open) {
        return;
    }
    call.attempt.open = false;
    call.attempt.fencePending = false;
    call.filter.excluded.insert(call.attempt.endpoint);
    const auto service = m_services.find(call.spec.service);
    if (service != m_services.end()) {
        service->second.selector.recordEnd(call.attempt.endpoint, result, now);
    }
}

template<class Action>
void EntryCore::sendToAttempt(const CallId &id, const Call &call, EntryActions &actions) const
{
    const auto peer = m_peers.find(call.attempt.host);
    if (call.attempt.sent && peer != m_peers.end() && peer->second.up) {
        actions.emplace_back(Action {call.attempt.host, attemptId(id, call)});
    }
}

void EntryCore::performActions(const CallId &id, const CallActions &callActions, EntryActions &actions, TimePoint now)
{
    for (const CallAction &action : callActions) {
        std::visit(
            [&](const auto &concrete) {
                using Action = std::decay_t<decltype(concrete)>;
                if constexpr (std::is_same_v<Action, callaction::ChooseEndpoint>) {
                    if (concrete.reason) {
                        m_metrics.count(Counter::CallRetries, *concrete.reason);
                    }
                    chooseEndpoint(id, concrete.reason, actions, now);
                } else if constexpr (std::is_same_v<Action, callaction::SendOpen>) {
                    m_metrics.count(Counter::Attempts);
                    sendOpen(id, m_calls.at(id), actions, now);
                } else if constexpr (std::is_same_v<Action, callaction::SendFence>) {
                    sendFence(id, m_calls.at(id), actions);
                } else if constexpr (std::is_same_v<Action, callaction::SendCancel>) {
                    sendToAttempt<entryaction::SendCancel>(id, m_calls.at(id), actions);
                } else if constexpr (std::is_same_v<Action, callaction::SendWithdraw>) {
                    sendToAttempt<entryaction::SendWithdraw>(id, m_calls.at(id), actions);
                } else {
                    finish(id, concrete, actions);
                }
            },
            action);
    }
}

void EntryCore::chooseEndpoint(const CallId &id, std::optional<ResultCode> reason, EntryActions &actions, TimePoint now)
{
    Call &call = m_calls.at(id);
    const auto service = m_services.find(call.spec.service);
    // An endpoint that refused the call because of load would refuse it again at once.
    const bool overloaded = reason == ResultCode::SlotsFull || reason == ResultCode::StartTooLate
        || reason == ResultCode::TargetWarmingUp;
    std::optional<EndpointId> picked;
    if (service != m_services.end()) {
        const EndpointSelector::FullEndpoints fullEndpoints
            = overloaded ? EndpointSelector::FullEndpoints::Excluded : EndpointSelector::FullEndpoints::Allowed;
        const TimePoint soft = call.spec.softDeadline;
        const Duration timeLeft = soft == TimePoint::max() ? Duration::max() : soft - now;
        picked = service->second.selector.pick(call.filter, now, m_random, fullEndpoints,
                                               {call.spec.route, call.spec.expectedBytes, timeLeft});
    }
    const bool alreadyRefused = overloaded && picked && call.filter.excluded.contains(*picked);
    if (!picked || alreadyRefused) {
        handleEvent(id, callevent::NoUsableEndpoint {call.lastRefusal}, AttemptResult::Neutral, actions, now);
        return;
    }
    EndpointSelector &selector = service->second.selector;
    selector.recordStart(*picked);
    call.attempt = Attempt {*picked, *selector.hostOf(*picked), {}, {}, false, false, now, true, false};
    handleEvent(id, callevent::EndpointChosen {}, AttemptResult::Neutral, actions, now);
}

void EntryCore::sendOpen(const CallId &id, Call &call, EntryActions &actions, TimePoint now)
{
    Attempt &attempt = call.attempt;
    const Peer &peer = m_peers[attempt.host];
    if (!peer.up) {
        m_unsent.emplace(attempt.chosenAt, id);
        actions.emplace_back(entryaction::Connect {attempt.host});
        return;
    }
    attempt.sent = true;
    attempt.target = peer.incarnation;
    attempt.generation = peer.generation;
    const auto timeUntil = [now](TimePoint deadline) {
        return std::chrono::duration_cast<Microseconds>(std::max(deadline - now, Duration::zero()));
    };
    const Microseconds remaining = timeUntil(call.spec.startDeadline);
    const Microseconds responseTimeout = timeUntil(call.spec.deadline);
    const bool hasSoftDeadline = call.spec.softDeadline != TimePoint::max();
    const Microseconds softTimeout = hasSoftDeadline
        ? std::chrono::duration_cast<Microseconds>(call.spec.softDeadline - now)
        : Microseconds::max();
    const OpenRequest request {attemptId(id, call),  attempt.endpoint,   attempt.target,
                               attempt.generation,   remaining,          responseTimeout,
                               call.spec.repeatable, call.spec.priority, softTimeout};
    actions.emplace_back(entryaction::SendOpen {attempt.host, request});
}

void EntryCore::sendFence(const CallId &id, Call &call, EntryActions &actions)
{
    Attempt &attempt = call.attempt;
    const Peer &peer = m_peers[attempt.host];
    attempt.fencePending = !peer.up || peer.generation <= attempt.generation;
    if (attempt.fencePending) {
        actions.emplace_back(entryaction::Connect {attempt.host});
        return;
    }
    attempt.generation = peer.generation;
    actions.emplace_back(
        entryaction::SendFence {attempt.host, FenceRequest {attemptId(id, call), attempt.target, peer.generation}});
}

void EntryCore::finish(const CallId &id, const callaction::Finish &end, EntryActions &actions)
{
    if (end.retryRefusal) {
        m_metrics.count(Counter::RetriesForbidden, *end.retryRefusal);
    }
    switch (end.outcome) {
    case Outcome::Answered:
        m_metrics.count(Counter::CallsAnswered);
        break;
    case Outcome::NotRun:
        m_metrics.count(Counter::CallsNotRun, end.code);
        break;
    case Outcome::Unknown:
        m_metrics.count(Counter::CallsUnknown, end.code);
        break;
    }
    m_deadlines.erase({m_calls.at(id).spec.deadline, id});
    m_calls.erase(id);
    actions.emplace_back(entryaction::Finish {id, end.outcome, end.code});
}

std::vector<CallId> EntryCore::callsWithAttemptAt(const HostId &host) const
{
    std::vector<CallId> result;
    for (const auto &[id, call] : m_calls) {
        if (call.attempt.open && call.attempt.host == host) {
            result.push_back(id);
        }
    }
    return result;
}

EntryActions EntryCore::onLinkUp(const HostId &host, Incarnation incarnation, TimePoint now)
{
    EntryActions actions = onLinkDown(host, now);
    Peer &peer = m_peers[host];
    if (peer.incarnation != incarnation && peer.generation.value() != 0) {
        for (auto &[id, service] : m_services) {
            service.selector.setRestarted(host, now);
        }
    }
    peer = Peer {true, incarnation, LinkGeneration(++m_lastGeneration)};
    for (const CallId &id : callsWithAttemptAt(host)) {
        resumeOnLink(id, peer, actions, now);
    }
    return actions;
}

void EntryCore::resumeOnLink(const CallId &id, const Peer &peer, EntryActions &actions, TimePoint now)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end() || !found->second.attempt.open) {
        return;
    }
    Call &call = found->second;
    const std::uint32_t number = call.machine.attempt();
    if (!call.attempt.sent) {
        sendOpen(id, call, actions, now);
        return;
    }
    if (!call.attempt.fencePending) {
        return;
    }
    if (call.attempt.target != peer.incarnation) {
        handleEvent(id, callevent::PeerGone {number}, AttemptResult::Failure, actions, now);
        return;
    }
    handleEvent(id, callevent::LinkRestored {number}, AttemptResult::Neutral, actions, now);
}

EntryActions EntryCore::onLinkDown(const HostId &host, TimePoint now)
{
    EntryActions actions;
    Peer &peer = m_peers[host];
    if (!peer.up) {
        return actions;
    }
    peer.up = false;
    for (const CallId &id : callsWithAttemptAt(host)) {
        const auto found = m_calls.find(id);
        if (found == m_calls.end() || !found->second.attempt.sent || found->second.attempt.host != host) {
            continue;
        }
        handleEvent(id, callevent::LinkLost {found->second.machine.attempt()}, AttemptResult::Failure, actions, now);
    }
    return actions;
}

EntryActions EntryCore::onUnreachable(const HostId &host, bool processGone, TimePoint now)
{
    EntryActions actions;
    bool hasPendingFence = false;
    for (const CallId &id : callsWithAttemptAt(host)) {
        const auto found = m_calls.find(id);
        if (found == m_calls.end() || !found->second.attempt.open || found->second.attempt.host != host) {
            continue;
        }
        const Call &call = found->second;
        const std::uint32_t number = call.machine.attempt();
        if (!call.attempt.sent) {
            handleEvent(id, callevent::NotSent {number}, AttemptResult::Failure, actions, now);
        } else if (call.attempt.fencePending && processGone) {
            handleEvent(id, callevent::PeerGone {number}, AttemptResult::Failure, actions, now);
        } else if (call.attempt.fencePending) {
            hasPendingFence = true;
        }
    }
    if (hasPendingFence) {
        actions.emplace_back(entryaction::Connect {host});
    }
    return actions;
}

void EntryCore::onLinkSilenceChanged(const HostId &host, bool silent)
{
    for (auto &[id, service] : m_services) {
        service.selector.setSilent(host, silent);
    }
}

EntryActions EntryCore::onRefused(const AttemptId &attempt, ResultCode code, TimePoint now)
{
    EntryActions actions;
    if (!isOpen(attempt)) {
        return actions;
    }
    Call &call = m_calls.at(attempt.call);
    call.lastRefusal = code;
    if (code == ResultCode::TargetLeaving) {
        onAnnounced(call.attempt.endpoint, true, now);
    }
    const bool isFault
        = code == ResultCode::TargetUnreachable || code == ResultCode::TargetShed || code == ResultCode::TargetReplaced;
    handleEvent(attempt.call, callevent::Refused {attempt.number, code},
                isFault ? AttemptResult::Failure : AttemptResult::Neutral, actions, now);
    return actions;
}

EntryActions EntryCore::onResponseLost(const AttemptId &attempt, ResultCode code, TimePoint now)
{
    EntryActions actions;
    handleEvent(attempt.call, callevent::ResponseLost {attempt.number, code}, AttemptResult::Failure, actions, now);
    return actions;
}

EntryActions EntryCore::onFenceReplied(const AttemptId &attempt, FenceStatus status, TimePoint now)
{
    EntryActions actions;
    handleEvent(attempt.call, callevent::FenceReplied {attempt.number, status}, AttemptResult::Neutral, actions, now);
    return actions;
}

EntryActions EntryCore::onResponseStarted(const AttemptId &attempt, TimePoint now)
{
    EntryActions actions;
    handleEvent(attempt.call, callevent::ResponseStarted {attempt.number}, AttemptResult::Neutral, actions, now);
    return actions;
}

EntryActions EntryCore::onResponseFailed(const AttemptId &attempt, TimePoint now)
{
    EntryActions actions;
    handleEvent(attempt.call, callevent::ResponseFailed {attempt.number}, AttemptResult::Failure, actions, now);
    if (awaits(attempt)) {
        m_calls.at(attempt.call).attempt.responseFailed = true;
    }
    return actions;
}

void EntryCore::recordAttemptDuration(const Call &call, TimePoint now)
{
    const auto service = m_services.find(call.spec.service);
    if (service != m_services.end()) {
        service->second.selector.recordDuration(call.attempt.endpoint, call.spec.route, now - call.attempt.chosenAt,
                                                now);
    }
}

EntryActions EntryCore::onResponseCompleted(const AttemptId &attempt, TimePoint now)
{
    EntryActions actions;
    const bool responseFailed = awaits(attempt) && m_calls.at(attempt.call).attempt.responseFailed;
    if (awaits(attempt) && !responseFailed) {
        recordAttemptDuration(m_calls.at(attempt.call), now);
    }
    handleEvent(attempt.call, callevent::ResponseCompleted {attempt.number},
                responseFailed ? AttemptResult::Failure : AttemptResult::Success, actions, now);
    return actions;
}

void EntryCore::onReport(const AttemptId &attempt, const TargetReport &report, TimePoint now)
{
    if (!awaits(attempt)) {
        return;
    }
    const Call &call = m_calls.at(attempt.call);
    const auto service = m_services.find(call.spec.service);
    if (service != m_services.end()) {
        service->second.selector.recordReport(call.attempt.endpoint, report, now);
    }
}

void EntryCore::onAnnounced(const EndpointId &endpoint, bool leaving, TimePoint now)
{
    for (auto &[id, service] : m_services) {
        service.selector.setLeaving(endpoint, leaving, now);
    }
}

EntryActions EntryCore::onCallerDisconnected(const CallId &call, TimePoint now)
{
    EntryActions actions;
    handleEvent(call, callevent::CallerDisconnected {}, AttemptResult::Neutral, actions, now);
    return actions;
}

EntryActions EntryCore::onRequestBroken(const CallId &call, ResultCode code, TimePoint now)
{
    EntryActions actions;
    handleEvent(call, callevent::RequestBroken {code}, AttemptResult::Neutral, actions, now);
    return actions;
}

EntryActions EntryCore::onRequestConsumed(const AttemptId &attempt, TimePoint now)
{
    EntryActions actions;
    handleEvent(attempt.call, callevent::RequestConsumed {attempt.number}, AttemptResult::Neutral, actions, now);
    return actions;
}

void EntryCore::failIfUnsent(const CallId &id, EntryActions &actions, TimePoint now)
{
    const Call &call = m_calls.at(id);
    if (call.attempt.open && !call.attempt.sent) {
        handleEvent(id, callevent::NotSent {call.machine.attempt()}, AttemptResult::Failure, actions, now);
    }
}

void EntryCore::failUnsentAttempts(TimePoint chosenUntil, EntryActions &actions, TimePoint now)
{
    while (!m_unsent.empty() && m_unsent.begin()->first <= chosenUntil) {
        const auto [chosenAt, id] = *m_unsent.begin();
        m_unsent.erase(m_unsent.begin());
        const auto found = m_calls.find(id);
        if (found != m_calls.end() && found->second.attempt.chosenAt == chosenAt) {
            failIfUnsent(id, actions, now);
        }
    }
}

EntryActions EntryCore::tick(TimePoint now)
{
    EntryActions actions;
    failUnsentAttempts(now - m_limits.connectTimeout, actions, now);
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        const CallId id = m_deadlines.begin()->second;
        if (m_calls.at(id).attempt.open) {
            recordAttemptDuration(m_calls.at(id), now);
        }
        failIfUnsent(id, actions, now);
        const auto call = m_calls.find(id);
        if (call != m_calls.end() && call->second.spec.deadline == m_latestDeadline) {
            withdraw(id, actions, now);
        } else {
            handleEvent(id, callevent::DeadlinePassed {}, AttemptResult::Failure, actions, now);
        }
    }
    return actions;
}

void EntryCore::withdraw(const CallId &id, EntryActions &actions, TimePoint now)
{
    setDeadline(id, m_calls.at(id), now + m_withdrawTimeout);
    handleEvent(id, callevent::ExitStarted {}, AttemptResult::Neutral, actions, now);
}

std::optional<TimePoint> EntryCore::earliestDeadline() const
{
    return m_deadlines.empty() ? std::nullopt : std::optional(m_deadlines.begin()->first);
}

} // namespace jasminemast
