// Listing, watching and recovery.
#include "jasminemast/registry/registryfollower.h"

#include <algorithm>
#include <type_traits>

namespace jasminemast
{

namespace
{

constexpr unsigned MaxDoublings = 8;

} // namespace

RegistryFollower::RegistryFollower(RegistryFollowerLimits limits)
    : m_limits(limits)
{
}

RegistryAction RegistryFollower::next(TimePoint now) const
{
    if (now < m_notBefore) {
        return registryaction::Wait {m_notBefore};
    }
    if (m_listing) {
        return registryaction::List {m_after};
    }
    return registryaction::Watch {m_revision, m_limits.watchWait};
}

void RegistryFollower::onResponse(RegistryResponse answer, TimePoint now)
{
    if (answer.code == ResultCode::RegistryHistoryGone) {
        refresh(now);
        return;
    }
    if (answer.code != ResultCode::Ok) {
        onFailure(answer.code, now);
        return;
    }
    if (m_failures > 0) {
        m_failures = 0;
        m_backAt = now;
    }
    if (m_listing) {
        onPage(answer, now);
    } else {
        onChanges(answer, now);
    }
}

void RegistryFollower::onFailure(ResultCode /*code*/, TimePoint now)
{
    const auto factor = 1U << std::min(m_failures, MaxDoublings);
    m_notBefore = now + std::min(m_limits.firstRetry * factor, m_limits.lastRetry);
    ++m_failures;
}

void RegistryFollower::refresh(TimePoint when)
{
    m_listing = true;
    m_after.clear();
    m_seen.clear();
    m_listStart.reset();
    m_numberBefore = number();
    m_notBefore = when;
}

TicketNumber RegistryFollower::number() const
{
    return m_configuration ? m_configuration->number : TicketNumber(0);
}

void RegistryFollower::onPage(RegistryResponse &answer, TimePoint now)
{
    // Changes between two pages are watched for from the first page on.
    if (!m_listStart) {
        m_listStart = answer.revision;
    }
    for (RegistryRecord &record : answer.records) {
        if (const auto *target = std::get_if<RegisteredTarget>(&record)) {
            m_seen.insert(target->id);
        }
        take(record, now);
    }
    m_after = answer.next;
    if (m_after.empty()) {
        endListing(now);
    }
}

void RegistryFollower::endListing(TimePoint now)
{
    std::vector<EndpointId> missing;
    for (const auto &[id, known] : m_targets) {
        if (!m_seen.contains(id)) {
            missing.push_back(id);
        }
    }
    for (const EndpointId &id : missing) {
        vanish(id, now);
    }
    m_revision = *m_listStart;
    m_listStart.reset();
    m_seen.clear();
    const bool isChanging = m_listed && number() != m_numberBefore;
    m_listing = false;
    m_listed = true;
    if (isChanging) {
        refresh(now + m_limits.configurationPause);
    }
}

void RegistryFollower::onChanges(RegistryResponse &answer, TimePoint now)
{
    const TicketNumber before = number();
    for (RegistryRecord &record : answer.records) {
        take(record, now);
    }
    m_revision = std::max(m_revision, answer.revision);
    if (number() != before) {
        refresh(now + m_limits.configurationPause);
    } else if (!answer.records.empty()) {
        m_notBefore = now + m_limits.changePause;
    }
}

void RegistryFollower::take(RegistryRecord &record, TimePoint now)
{
    std::visit(
        [&](auto &concrete) {
            using Record = std::decay_t<decltype(concrete)>;
            if constexpr (std::is_same_v<Record, PublishedConfiguration>) {
                if (!m_configuration || m_configuration->number < concrete.number) {
                    m_configuration = std::move(concrete);
                    ++m_changes;
                }
            } else if constexpr (std::is_same_v<Record, RegisteredTarget>) {
                takeTarget(concrete, now);
            } else if constexpr (std::is_same_v<Record, TargetRemoved>) {
                onRemoved(concrete, now);
            } else {
                // A record that cannot be read names no target to use.
                if (concrete.target) {
                    remove(*concrete.target);
                }
                m_refused.push_back(std::move(concrete));
            }
        },
        record);
}

void RegistryFollower::takeTarget(const RegisteredTarget &target, TimePoint now)
{
    const ReportAge age {target.startedAt, target.sequence};
    const auto known = m_targets.find(target.id);
    if (known != m_targets.end()) {
        const RegisteredTarget &last = known->second.target;
        if (age < ReportAge {last.startedAt, last.sequence}) {
            return;
        }
    }
    const auto forgotten = m_forgotten.find(target.id);
    if (known == m_targets.end() && forgotten != m_forgotten.end() && age <= forgotten->second) {
        return;
    }
    m_vanished.erase(target.id);
    m_targets.insert_or_assign(target.id, KnownTarget {target, now + target.warmUpRemaining});
    ++m_changes;
}

bool RegistryFollower::inGrace(TimePoint now) const
{
    return m_backAt && now < *m_backAt + m_limits.returnGrace;
}

void RegistryFollower::onRemoved(const TargetRemoved &removed, TimePoint now)
{
    // A watch that starts before a listing repeats changes that the listing already showed.
    const auto known = m_targets.find(removed.id);
    if (known != m_targets.end() && known->second.target.revision <= removed.revision) {
        vanish(removed.id, now);
    }
}

void RegistryFollower::vanish(const EndpointId &id, TimePoint now)
{
    const auto known = m_targets.find(id);
    if (known == m_targets.end()) {
        return;
    }
    // A target that had announced to leave does not return.
    if (!inGrace(now) || known->second.target.draining) {
        remove(id);
        return;
    }
    m_vanished.emplace(id, *m_backAt + m_limits.returnGrace);
}

void RegistryFollower::remove(const EndpointId &id)
{
    const auto known = m_targets.find(id);
    if (known == m_targets.end()) {
        return;
    }
    if (m_forgotten.size() >= m_limits.maxForgotten) {
        m_forgotten.erase(m_forgotten.begin());
    }
    const RegisteredTarget &last = known->second.target;
    m_forgotten.insert_or_assign(id, ReportAge {last.startedAt, last.sequence});
    m_vanished.erase(id);
    m_targets.erase(known);
    ++m_changes;
}

std::vector<RegisteredTarget> RegistryFollower::activeTargets() const
{
    const auto age = [](const RegisteredTarget &target) {
        return std::pair(target.startedAt, target.revision);
    };
    std::map<SocketAddress, RegisteredTarget> youngest;
    for (const auto &[id, known] : m_targets) {
        const auto [place, isFirst] = youngest.emplace(known.target.address, known.target);
        if (!isFirst && age(place->second) < age(known.target)) {
            place->second = known.target;
        }
    }
    std::vector<RegisteredTarget> result;
    result.reserve(youngest.size());
    for (auto &[address, target] : youngest) {
        result.push_back(std::move(target));
    }
    return result;
}

void RegistryFollower::expire(TimePoint now)
{
    std::vector<EndpointId> due;
    for (const auto &[id, until] : m_vanished) {
        if (until <= now) {
            due.push_back(id);
        }
    }
    for (const EndpointId &id : due) {
        remove(id);
    }
}

std::vector<InvalidRecord> RegistryFollower::takeInvalidRecords()
{
    return std::exchange(m_refused, {});
}

} // namespace jasminemast
