// Combines admission, fences and draining for the endpoints of one host.
#include "jasminemast/call/target.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace jasminemast
{

namespace
{

/// The pace of a target changes many times a second.
constexpr Milliseconds MaxPaceAge {150};

} // namespace

TargetCore::TargetCore(Incarnation self, const TargetLimits &limits, Metrics &metrics)
    : m_limits(limits)
    , m_fence(self, limits.fence)
    , m_metrics(metrics)
{
}

TargetActions TargetCore::setEndpoints(const std::vector<LocalEndpoint> &endpoints, TimePoint now)
{
    TargetActions actions;
    m_served.clear();
    for (const LocalEndpoint &endpoint : endpoints) {
        m_served.insert(endpoint.id);
        AdmissionLimits limits = m_limits.admission;
        limits.slots = endpoint.slots;
        auto [it, added] = m_endpoints.try_emplace(endpoint.id, Endpoint {Admission(limits), Drain(m_limits.drain)});
        Endpoint &state = it->second;
        if (added) {
            for (const DrainReason reason : m_hostReasons) {
                announce(endpoint.id, state.drain.setReason(reason, true, now), actions);
            }
        }
        announce(endpoint.id, state.drain.setReason(DrainReason::Ticket, endpoint.draining, now), actions);
        state.leftAt = endpoint.draining ? std::optional(state.leftAt.value_or(now)) : std::nullopt;
        state.admission.warmUp().setRate(endpoint.warmUpRate, now);
        if (std::exchange(state.reportedWarmUp, endpoint.warmedUpAt) != endpoint.warmedUpAt) {
            state.admission.warmUp().report(endpoint.warmedUpAt, now);
        }
        apply(state.admission.resize(endpoint.slots, now), actions, now);
    }
    for (auto &[id, state] : m_endpoints) {
        if (!m_served.contains(id)) {
            state.leftAt = state.leftAt.value_or(now);
        }
    }
    std::erase_if(m_endpoints, [this](const auto &item) {
        const Admission &admission = item.second.admission;
        return m_served.count(item.first) == 0 && admission.running() == 0 && admission.queued() == 0;
    });
    return actions;
}

TargetActions TargetCore::onOpen(const OpenRequest &request, const ArrivalTime &arrival, TimePoint now,
                                 std::optional<ResultCode> refusal)
{
    const TimePoint startDeadline = arrival.earliest + request.remaining;
    const TimePoint deadline = arrival.latest + std::max(request.remaining, request.responseTimeout);
    const AttemptId &attempt = request.attempt;
    switch (m_fence.open(request, deadline, now)) {
    case OpenResult::Fresh: {
        TargetActions actions;
        if (!refusal) {
            return admit(request, startDeadline, deadline, now);
        }
        refuse(attempt, *refusal, actions, now);
        return actions;
    }
    case OpenResult::Duplicate:
        return {};
    case OpenResult::Refused:
        return {targetaction::Refuse {attempt, *m_fence.refusalOf(attempt)}};
    case OpenResult::Fenced:
        m_metrics.count(Counter::AttemptsRefused, ResultCode::AttemptFenced);
        return {targetaction::Refuse {attempt, ResultCode::AttemptFenced}};
    case OpenResult::Unknown:
        break;
    }
    return {targetaction::Fail {attempt, ResultCode::AttemptTooOld}};
}

TargetActions TargetCore::admit(const OpenRequest &request, TimePoint startDeadline, TimePoint deadline, TimePoint now)
{
    TargetActions actions;
    const AttemptId &attempt = request.attempt;
    if (m_served.count(request.endpoint) == 0) {
        refuse(attempt, ResultCode::EndpointElsewhere, actions, now);
        return actions;
    }
    Endpoint &endpoint = m_endpoints.at(request.endpoint);
    if (endpoint.drain.leaving()) {
        refuse(attempt, ResultCode::TargetLeaving, actions, now);
        return actions;
    }
    m_accepted.emplace(attempt,
                       Accepted {request.endpoint, now, startDeadline, deadline, request.repeatable, std::nullopt});
    AdmissionRank rank {request.priority, TimePoint::max()};
    if (request.softTimeout != Microseconds::max()) {
        rank.softDeadline = now + request.softTimeout;
    }
    apply(endpoint.admission.submit(attempt, startDeadline, now, rank), actions, now);
    return actions;
}

void TargetCore::apply(const AdmissionActions &admissionActions, TargetActions &actions, TimePoint now)
{
    for (const AdmissionAction &action : admissionActions) {
        if (const auto *admitted = std::get_if<AdmissionStart>(&action)) {
            start(admitted->attempt, actions, now);
            continue;
        }
        const auto &refusal = std::get<AdmissionRefuse>(action);
        refuse(refusal.attempt, refusal.code, actions, now);
    }
}

void TargetCore::start(const AttemptId &attempt, TargetActions &actions, TimePoint now)
{
    Accepted &accepted = m_accepted.at(attempt);
    accepted.startedAt = now;
    m_metrics.observe(Summary::QueueWait, now - accepted.arrived);
    m_fence.markStarted(attempt);
    actions.emplace_back(targetaction::Start {attempt, accepted.endpoint, accepted.startDeadline, accepted.deadline,
                                              accepted.repeatable});
}

void TargetCore::refuse(const AttemptId &attempt, ResultCode code, TargetActions &actions, TimePoint now)
{
    m_accepted.erase(attempt);
    m_fence.markRefused(attempt, code, now);
    m_metrics.count(Counter::AttemptsRefused, code);
    actions.emplace_back(targetaction::Refuse {attempt, code});
}

bool TargetCore::isRunning(const AttemptId &attempt) const
{
    const auto found = m_accepted.find(attempt);
    return found != m_accepted.end() && found->second.startedAt;
}

void TargetCore::release(const AttemptId &attempt, TargetActions &actions, TimePoint now)
{
    const Accepted accepted = m_accepted.at(attempt);
    m_accepted.erase(attempt);
    if (!accepted.isTransferring) {
        freeSlot(attempt, accepted, actions, now);
    }
}

void TargetCore::freeSlot(const AttemptId &attempt, const Accepted &accepted, TargetActions &actions, TimePoint now)
{
    Endpoint &endpoint = m_endpoints.at(accepted.endpoint);
    apply(endpoint.admission.release(attempt, now - *accepted.startedAt, now), actions, now);
    if (m_served.count(accepted.endpoint) == 0 && endpoint.admission.running() + endpoint.admission.queued() == 0) {
        m_endpoints.erase(accepted.endpoint);
    }
}

bool TargetCore::withdraw(const AttemptId &attempt, ResultCode code, TimePoint now)
{
    const auto found = m_accepted.find(attempt);
    if (found == m_accepted.end() || found->second.startedAt) {
        return false;
    }
    const bool wasQueued = m_endpoints.at(found->second.endpoint).admission.withdraw(attempt);
    assert(wasQueued && "an accepted attempt that has not started is in the queue of its endpoint");
    static_cast<void>(wasQueued);
    m_accepted.erase(found);
    m_fence.markRefused(attempt, code, now);
    m_metrics.count(Counter::AttemptsRefused, code);
    return true;
}

TargetActions TargetCore::refuseQueued(TimePoint now)
{
    return refuseQueuedIf([](const EndpointId &) { return true; }, now);
}

TargetActions TargetCore::refuseQueuedOfLeft(TimePoint now)
{
    const auto hasLeft = [this, now](const EndpointId &id) {
        const auto &leftAt = m_endpoints.at(id).leftAt;
        return leftAt && now - *leftAt >= m_limits.queueTimeAfterLeaving;
    };
    const bool hasAnyLeft
        = std::any_of(m_endpoints.begin(), m_endpoints.end(), [&](const auto &item) { return hasLeft(item.first); });
    return hasAnyLeft ? refuseQueuedIf(hasLeft, now) : TargetActions {};
}

TargetActions TargetCore::refuseQueuedIf(const std::function<bool(const EndpointId &)> &applies, TimePoint now)
{
    std::vector<AttemptId> queued;
    for (const auto &[attempt, accepted] : m_accepted) {
        if (!accepted.startedAt && applies(accepted.endpoint)) {
            queued.push_back(attempt);
        }
    }
    TargetActions actions;
    for (const AttemptId &attempt : queued) {
        if (withdraw(attempt, ResultCode::TargetLeaving, now)) {
            actions.emplace_back(targetaction::Refuse {attempt, ResultCode::TargetLeaving});
        }
    }
    return actions;
}

TargetActions TargetCore::onFence(const FenceRequest &request, TimePoint now)
{
    withdraw(request.attempt, ResultCode::AttemptFenced, now);
    return {targetaction::ReplyToFence {request.attempt, m_fence.fence(request, now)}};
}

TargetActions TargetCore::onCancel(const AttemptId &attempt, ResultCode reason, TimePoint now)
{
    if (withdraw(attempt, ResultCode::CallWithdrawn, now)) {
        return {targetaction::Refuse {attempt, ResultCode::CallWithdrawn}};
    }
    if (!isRunning(attempt)) {
        return {};
    }
    TargetActions actions {targetaction::Abort {attempt, reason}};
    m_fence.markLost(attempt, now);
    release(attempt, actions, now);
    return actions;
}

std::size_t TargetCore::transferCount(const EndpointId &endpoint) const
{
    return static_cast<std::size_t>(std::count_if(m_accepted.begin(), m_accepted.end(), [&endpoint](const auto &item) {
        return item.second.isTransferring && item.second.endpoint == endpoint;
    }));
}

TargetActions TargetCore::onResponseReady(const AttemptId &attempt, TimePoint now)
{
    TargetActions actions;
    if (!isRunning(attempt)) {
        return actions;
    }
    Accepted &accepted = m_accepted.at(attempt);
    if (accepted.isTransferring
        || transferCount(accepted.endpoint) >= m_endpoints.at(accepted.endpoint).admission.slots()) {
        return actions;
    }
    accepted.isTransferring = true;
    freeSlot(attempt, Accepted(accepted), actions, now);
    return actions;
}

TargetActions TargetCore::onResponseReceived(const AttemptId &attempt, std::shared_ptr<const CachedResponse> response,
                                             TimePoint now)
{
    TargetActions actions;
    if (!isRunning(attempt)) {
        return actions;
    }
    m_fence.markCompleted(attempt, std::move(response), now);
    release(attempt, actions, now);
    return actions;
}

TargetActions TargetCore::onNotRun(const AttemptId &attempt, ResultCode code, TimePoint now)
{
    TargetActions actions;
    if (!isRunning(attempt)) {
        return actions;
    }
    release(attempt, actions, now);
    refuse(attempt, code, actions, now);
    return actions;
}

TargetActions TargetCore::onResponseLost(const AttemptId &attempt, ResultCode code, TimePoint now)
{
    return isRunning(attempt) ? failLost(attempt, code, false, now) : TargetActions {};
}

TargetActions TargetCore::failLost(const AttemptId &attempt, ResultCode code, bool abort, TimePoint now)
{
    TargetActions actions {targetaction::Fail {attempt, code}};
    if (abort) {
        // Must precede the start of the next attempt in this slot.
        actions.emplace_back(targetaction::Abort {attempt, code});
    }
    m_fence.markLost(attempt, now);
    release(attempt, actions, now);
    return actions;
}

TargetActions TargetCore::setLeaving(DrainReason reason, bool applies, TimePoint now)
{
    TargetActions actions;
    if (applies) {
        m_hostReasons.insert(reason);
    } else if (reason != DrainReason::Signal) {
        m_hostReasons.erase(reason);
    }
    for (auto &[id, endpoint] : m_endpoints) {
        announce(id, endpoint.drain.setReason(reason, applies, now), actions);
    }
    return actions;
}

TargetActions TargetCore::onHealth(const EndpointId &endpoint, bool draining, TimePoint now)
{
    TargetActions actions;
    const auto found = m_endpoints.find(endpoint);
    if (found != m_endpoints.end()) {
        announce(endpoint, found->second.drain.onHealth(draining, now), actions);
    }
    return actions;
}

void TargetCore::announce(const EndpointId &id, DrainAction action, TargetActions &actions)
{
    if (action != DrainAction::None) {
        actions.emplace_back(targetaction::Announce {id, action == DrainAction::AnnounceLeaving});
    }
}

TargetActions TargetCore::tick(TimePoint now)
{
    TargetActions actions = refuseQueuedOfLeft(now);
    for (auto &[id, endpoint] : m_endpoints) {
        apply(endpoint.admission.tick(now), actions, now);
        announce(id, endpoint.drain.tick(now), actions);
    }
    std::vector<AttemptId> overdue;
    for (const auto &[attempt, accepted] : m_accepted) {
        if (accepted.startedAt && accepted.deadline <= now) {
            overdue.push_back(attempt);
        }
    }
    for (const AttemptId &attempt : overdue) {
        const TargetActions lost = failLost(attempt, ResultCode::DeadlineExceeded, true, now);
        actions.insert(actions.end(), lost.begin(), lost.end());
    }
    m_fence.expire(now);
    return actions;
}

void TargetCore::confirmWarmUp(const EndpointId &endpoint, TimePoint until, TimePoint now)
{
    const auto found = m_endpoints.find(endpoint);
    if (found != m_endpoints.end()) {
        found->second.admission.warmUp().confirm(until, now);
    }
}

void TargetCore::assumeWarmUp(const EndpointId &endpoint, TimePoint until, TimePoint now)
{
    const auto found = m_endpoints.find(endpoint);
    if (found != m_endpoints.end()) {
        found->second.admission.warmUp().assume(until, now);
    }
}

bool TargetCore::isWarmUpAssumed(const EndpointId &endpoint, TimePoint now)
{
    const auto found = m_endpoints.find(endpoint);
    return found != m_endpoints.end() && found->second.admission.warmUp().isAssuming(now);
}

void TargetCore::recordPace(const EndpointId &endpoint, double pace, TimePoint now)
{
    const auto found = m_endpoints.find(endpoint);
    if (found != m_endpoints.end()) {
        found->second.pace = pace;
        found->second.paceAt = now;
    }
}

void TargetCore::recordOutcome(const EndpointId &endpoint, bool isFailure, TimePoint now)
{
    const auto found = m_endpoints.find(endpoint);
    if (found != m_endpoints.end()) {
        found->second.failures.record(isFailure, now);
    }
}

TargetReport TargetCore::report(const EndpointId &endpoint, TimePoint now) const
{
    const auto found = m_endpoints.find(endpoint);
    if (found == m_endpoints.end()) {
        return {};
    }
    const Endpoint &state = found->second;
    const bool isPaceFresh = now - state.paceAt <= MaxPaceAge;
    return {static_cast<float>(state.admission.load(now)), static_cast<float>(isPaceFresh ? state.pace : 1),
            static_cast<float>(state.failures.value(now))};
}

bool TargetCore::leaving(const EndpointId &endpoint) const
{
    const auto found = m_endpoints.find(endpoint);
    return found != m_endpoints.end() && found->second.drain.leaving();
}

} // namespace jasminemast
