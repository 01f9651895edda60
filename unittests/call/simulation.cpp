// Steps of the simulation, delivery of messages, and the check of the guarantees.
#include "simulation.h"

#include <algorithm>
#include <sstream>
#include <type_traits>

namespace jasminemast::simulation
{

namespace
{

constexpr std::size_t EntryCount = 2;
constexpr std::size_t TargetCount = 3;
constexpr unsigned Slots = 2;
constexpr Duration MaxDeadline = std::chrono::seconds(2);

HostId targetHost(std::size_t index)
{
    return HostId("target" + std::to_string(index));
}

EndpointId endpointOf(std::size_t index)
{
    return EndpointId("endpoint" + std::to_string(index));
}

std::size_t indexOf(const HostId &host)
{
    return static_cast<std::size_t>(host.value().back() - '0');
}

std::string describe(const CallId &id)
{
    std::ostringstream text;
    text << id.node << "/" << id.incarnation << "/" << id.sequence;
    return text.str();
}

} // namespace

Simulation::Simulation(FaultInjection faults, std::size_t maxRemembered)
    : m_faults(faults)
    , m_maxRemembered(maxRemembered)
    , m_entries(EntryCount)
    , m_targets(TargetCount)
{
    for (std::size_t i = 0; i < TargetCount; ++i) {
        startTarget(i);
    }
    for (std::size_t i = 0; i < EntryCount; ++i) {
        startEntry(i);
    }
}

void Simulation::startEntry(std::size_t index)
{
    Entry &entry = m_entries[index];
    ++entry.incarnation;
    const EntryNodeIdentity identity {HostId("entry" + std::to_string(index)), Incarnation(entry.incarnation),
                                      ZoneId("a"), RegionId("r")};
    entry.core = std::make_unique<EntryCore>(identity, EntryLimits {}, 7 * index + entry.incarnation, m_metrics);
    std::vector<Candidate> candidates;
    for (std::size_t i = 0; i < TargetCount; ++i) {
        candidates.push_back({endpointOf(i), targetHost(i), ZoneId("a"), RegionId("r"), Slots, false});
    }
    entry.core->setServices({{ServiceId("s"), candidates}}, m_clock.now());
}

void Simulation::startTarget(std::size_t index)
{
    Target &target = m_targets[index];
    ++target.incarnation;
    TargetLimits limits;
    limits.fence.maxAttempts = m_maxRemembered;
    limits.fence.maxCachedBytes = 32;
    limits.fence.maxCachedResponseBytes = 16;
    target.core = std::make_unique<TargetCore>(Incarnation(target.incarnation), limits, m_metrics);
    target.core->setEndpoints({{endpointOf(index), Slots, false}}, m_clock.now());
    target.running.clear();
    target.leaving = false;
    target.arrived.clear();
    target.arrivedWhileLeaving.clear();
}

void Simulation::run(const std::vector<Step> &steps)
{
    for (const Step &each : steps) {
        step(each);
    }
}

void Simulation::step(const Step &step)
{
    const std::size_t target = step.first % TargetCount;
    const std::size_t entry = step.first % EntryCount;
    switch (step.kind % 16) {
    case 0:
    case 1:
        beginCall(step);
        break;
    case 2:
    case 3:
    case 4:
        deliver(0, false);
        break;
    case 5:
        deliver(step.first, false);
        break;
    case 6:
        deliver(step.first, true);
        break;
    case 7:
    case 8:
        connect(step.first);
        break;
    case 9:
    case 10:
        loseLink(step);
        break;
    case 11:
        finishRun(step);
        break;
    case 12:
        advance(std::chrono::milliseconds(4 * step.first));
        break;
    case 13:
        if (step.second % 4 == 0) {
            startTarget(target);
            for (std::size_t i = 0; i < EntryCount; ++i) {
                apply(i, m_entries[i].core->onLinkDown(targetHost(target), m_clock.now()));
            }
        }
        break;
    case 14:
        if (step.second % 8 == 0) {
            for (auto &[id, record] : m_records) {
                record.entryRestarted
                    = record.entryRestarted || (id.node.value().back() - '0' == static_cast<int>(entry));
            }
            startEntry(entry);
        }
        break;
    default:
        setLeaving(target);
        break;
    }
}

void Simulation::beginCall(const Step &step)
{
    const std::size_t entry = step.first % EntryCount;
    const bool repeatable = step.second % 4 == 0;
    const Duration deadline = MaxDeadline * (1 + step.second % 8) / 8;
    const CallSpec spec {RouteId("r"), ServiceId("s"), repeatable, m_clock.now() + deadline};
    EntryCore::BeginResult started = m_entries[entry].core->begin(spec, m_clock.now());
    m_records[started.call].repeatable = repeatable;
    apply(entry, started.actions);
}

void Simulation::connect(std::size_t index)
{
    if (m_connecting.empty()) {
        return;
    }
    const auto [entry, target] = *std::next(m_connecting.begin(), static_cast<long>(index % m_connecting.size()));
    m_connecting.erase({entry, target});
    apply(
        entry,
        m_entries[entry].core->onLinkUp(targetHost(target), Incarnation(m_targets[target].incarnation), m_clock.now()));
}

void Simulation::loseLink(const Step &step)
{
    const std::size_t entry = step.first % EntryCount;
    const std::size_t target = step.second % TargetCount;
    // Messages on the lost link may still arrive, late and out of order; for every other loss they are dropped.
    if (step.second % 2 == 0) {
        std::erase_if(m_messages,
                      [&](const Message &message) { return message.entry == entry && message.target == target; });
    }
    apply(entry, m_entries[entry].core->onLinkDown(targetHost(target), m_clock.now()));
}

void Simulation::deliver(std::size_t index, bool twice)
{
    if (m_messages.empty()) {
        return;
    }
    const auto it = m_messages.begin() + static_cast<long>(index % m_messages.size());
    const Message message = *it;
    if (!twice) {
        m_messages.erase(it);
    } else if (auto *content = std::get_if<ToTarget>(&it->content); m_faults.renumberDuplicates && content != nullptr) {
        if (auto *open = std::get_if<OpenRequest>(content)) {
            open->attempt.number += 100;
        }
    }
    if (const auto *content = std::get_if<ToTarget>(&message.content)) {
        deliverToTarget(message, *content);
    } else {
        deliverToEntry(message, std::get<Reply>(message.content));
    }
}

void Simulation::deliverToTarget(const Message &message, const ToTarget &content)
{
    TargetCore &core = *m_targets[message.target].core;
    const TimePoint now = m_clock.now();
    if (const auto *open = std::get_if<OpenRequest>(&content)) {
        Target &target = m_targets[message.target];
        if (target.arrived.insert(open->attempt).second && target.leaving) {
            target.arrivedWhileLeaving.insert(open->attempt);
        }
        apply(message.target, core.onOpen(*open, {now, now}, now));
    } else if (const auto *fence = std::get_if<FenceRequest>(&content)) {
        FenceRequest request = *fence;
        if (m_faults.keepMinGeneration) {
            request.generation = LinkGeneration(0);
        }
        apply(message.target, core.onFence(request, now));
    } else {
        apply(message.target, core.onCancel(std::get<AttemptId>(content), ResultCode::CallWithdrawn, now));
    }
}

void Simulation::deliverToEntry(const Message &message, const Reply &reply)
{
    Entry &entry = m_entries[message.entry];
    if (message.entryIncarnation != entry.incarnation) {
        return;
    }
    const TimePoint now = m_clock.now();
    EntryCore &core = *entry.core;
    switch (reply.kind) {
    case Reply::Kind::Refused:
        apply(message.entry, core.onRefused(reply.attempt, reply.code, now));
        break;
    case Reply::Kind::ResponseLost:
        apply(message.entry, core.onResponseLost(reply.attempt, reply.code, now));
        break;
    case Reply::Kind::Fence:
        ++m_fenceReplies;
        apply(message.entry, core.onFenceReplied(reply.attempt, reply.status, now));
        break;
    case Reply::Kind::Response:
        if (m_faults.misrouteResponses || core.awaits(reply.attempt)) {
            m_records[reply.attempt.call].responseOf = reply.responseOf;
        }
        apply(message.entry, core.onResponseStarted(reply.attempt, now));
        apply(message.entry, core.onResponseCompleted(reply.attempt, now));
        break;
    }
}

void Simulation::apply(std::size_t entry, const EntryActions &actions)
{
    for (const EntryAction &action : actions) {
        std::visit(
            [&](const auto &concrete) {
                using Action = std::decay_t<decltype(concrete)>;
                if constexpr (std::is_same_v<Action, entryaction::Finish>) {
                    CallRecord &record = m_records.at(concrete.call);
                    record.outcome = concrete.outcome;
                    ++record.finishes;
                } else if constexpr (std::is_same_v<Action, entryaction::Connect>) {
                    m_connecting.emplace(entry, indexOf(concrete.host));
                } else {
                    const std::size_t target = indexOf(concrete.host);
                    ToTarget content;
                    if constexpr (std::is_same_v<
                                      Action,
                                      entryaction::SendCancel> || std::is_same_v<Action, entryaction::SendWithdraw>) {
                        content = concrete.attempt;
                    } else {
                        content = concrete.request;
                    }
                    m_messages.push_back(
                        {entry, target, m_entries[entry].incarnation, m_targets[target].incarnation, content});
                }
            },
            action);
    }
}

void Simulation::startRun(std::size_t index, const targetaction::Start &start)
{
    Target &target = m_targets[index];
    target.running.emplace(start.attempt, start.repeatable);
    ++m_runCounts[start.attempt.call];
    if (target.running.size() > Slots) {
        m_violations.emplace_back("more running requests than slots");
    }
    if (target.arrivedWhileLeaving.count(start.attempt) != 0) {
        m_violations.emplace_back("started on a leaving target");
    }
    if (start.startDeadline <= m_clock.now()) {
        m_violations.emplace_back("started after the deadline");
    }
}

void Simulation::apply(std::size_t index, const TargetActions &actions)
{
    for (const TargetAction &action : actions) {
        std::visit(
            [&](const auto &concrete) {
                using Action = std::decay_t<decltype(concrete)>;
                if constexpr (std::is_same_v<Action, targetaction::Start>) {
                    startRun(index, concrete);
                } else if constexpr (std::is_same_v<Action, targetaction::Abort>) {
                    m_targets[index].running.erase(concrete.attempt);
                } else if constexpr (std::is_same_v<Action, targetaction::Refuse>) {
                    reply(index, {concrete.attempt, Reply::Kind::Refused, concrete.code, {}, {}});
                } else if constexpr (std::is_same_v<Action, targetaction::Fail>) {
                    const auto kind = m_faults.reportLostAsNotRun ? Reply::Kind::Refused : Reply::Kind::ResponseLost;
                    const auto code = m_faults.reportLostAsNotRun ? ResultCode::SlotsFull : concrete.code;
                    reply(index, {concrete.attempt, kind, code, {}, {}});
                } else if constexpr (std::is_same_v<Action, targetaction::ReplyToFence>) {
                    reply(index, {concrete.attempt, Reply::Kind::Fence, ResultCode::Ok, concrete.result.status, {}});
                    if (concrete.result.status == FenceStatus::Done) {
                        reply(index,
                              {concrete.attempt, Reply::Kind::Response, ResultCode::Ok, {}, concrete.attempt.call});
                    }
                }
            },
            action);
    }
}

void Simulation::reply(std::size_t target, const Reply &reply)
{
    const CallId &call = reply.attempt.call;
    m_messages.push_back({indexOf(call.node), target, call.incarnation.value(), m_targets[target].incarnation, reply});
}

void Simulation::finishRun(const Step &step)
{
    std::vector<std::size_t> busyTargets;
    for (std::size_t i = 0; i < TargetCount; ++i) {
        if (!m_targets[i].running.empty()) {
            busyTargets.push_back(i);
        }
    }
    if (busyTargets.empty()) {
        return;
    }
    const std::size_t index = busyTargets[step.first % busyTargets.size()];
    Target &target = m_targets[index];
    const auto it = std::next(target.running.begin(), step.second % static_cast<long>(target.running.size()));
    const AttemptId attempt = it->first;
    target.running.erase(it);
    const TimePoint now = m_clock.now();
    switch (step.second % 8) {
    case 0:
        --m_runCounts[attempt.call];
        apply(index, target.core->onNotRun(attempt, ResultCode::TargetUnreachable, now));
        break;
    case 1:
        apply(index, target.core->onResponseLost(attempt, ResultCode::OutcomeUnknown, now));
        break;
    default: {
        // Some responses are too large to be cached.
        const std::string body(step.second % 8 == 2 ? 64 : 4, 'x');
        const auto response = std::make_shared<CachedResponse>(CachedResponse {200, "", body});
        const CallId owner = m_faults.misrouteResponses ? CallId {} : attempt.call;
        reply(index, {attempt, Reply::Kind::Response, ResultCode::Ok, {}, owner});
        apply(index, target.core->onResponseReceived(attempt, response, now));
    }
    }
}

void Simulation::setLeaving(std::size_t index)
{
    Target &target = m_targets[index];
    target.leaving = !target.leaving;
    if (!m_faults.ignoreLeaving) {
        apply(index, target.core->setLeaving(DrainReason::HostList, target.leaving, m_clock.now()));
    }
}

void Simulation::advance(Duration duration)
{
    m_clock.advance(duration);
    for (std::size_t i = 0; i < TargetCount; ++i) {
        apply(i, m_targets[i].core->tick(m_clock.now()));
    }
    for (std::size_t i = 0; i < EntryCount; ++i) {
        apply(i, m_entries[i].core->tick(m_clock.now()));
    }
}

void Simulation::runToCompletion()
{
    constexpr int Rounds = 12;
    for (int round = 0; round < Rounds; ++round) {
        while (!m_messages.empty()) {
            deliver(0, false);
        }
        while (!m_connecting.empty()) {
            connect(0);
        }
        for (std::uint8_t i = 0; i < TargetCount * Slots; ++i) {
            finishRun({0, i, 3});
        }
        advance(MaxDeadline / 4);
    }
}

std::size_t Simulation::answeredCalls() const
{
    return static_cast<std::size_t>(std::count_if(
        m_records.begin(), m_records.end(), [](const auto &item) { return item.second.outcome == Outcome::Answered; }));
}

std::vector<std::string> Simulation::violations() const
{
    std::vector<std::string> result = m_violations;
    for (const auto &[id, record] : m_records) {
        const auto entry = m_runCounts.find(id);
        const std::size_t runCount = entry == m_runCounts.end() ? 0 : entry->second;
        if (!record.repeatable && runCount > 1) {
            result.push_back("ran twice: " + describe(id));
        }
        if (record.outcome == Outcome::NotRun && runCount > 0) {
            result.push_back("reported as not run but ran: " + describe(id));
        }
        if (record.outcome == Outcome::Answered && (runCount == 0 || record.responseOf != id)) {
            result.push_back("answered without running, or with the response of another call: " + describe(id));
        }
        if (!record.entryRestarted && record.finishes != 1) {
            result.push_back("finished " + std::to_string(record.finishes) + " times: " + describe(id));
        }
    }
    for (const Target &target : m_targets) {
        if (target.core->accepted() != 0) {
            result.emplace_back("an accepted attempt did not end");
        }
    }
    return result;
}

} // namespace jasminemast::simulation
