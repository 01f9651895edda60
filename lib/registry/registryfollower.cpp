// Lists, watches and recovers from failures.
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
    if (now < m_nextCallAt) {
        return registryaction::Wait {m_nextCallAt};
    }
    if (m_isListing) {
        return registryaction::List {m_after};
    }
    return registryaction::Watch {m_revision, m_limits.watchWait};
}

void RegistryFollower::onResponse(RegistryResponse response, TimePoint now)
{
    if (response.code == ResultCode::RegistryHistoryGone) {
        refresh(now);
        return;
    }
    if (response.code != ResultCode::Ok) {
        onFailure(response.code, now);
        return;
    }
    if (m_failures > 0) {
        m_failures = 0;
        m_recoveredAt = now;
    }
    if (m_isListing) {
        onPage(response, now);
    } else {
        onChanges(response, now);
    }
}

void RegistryFollower::onFailure(ResultCode /*code*/, TimePoint now)
{
    const auto factor = 1U << std::min(m_failures, MaxDoublings);
    m_nextCallAt = now + std::min(m_limits.minRetryDelay * factor, m_limits.maxRetryDelay);
    ++m_failures;
}

void RegistryFollower::refresh(TimePoint when)
{
    m_isListing = true;
    m_after.clear();
    m_seen.clear();
    m_listStart.reset();
    m_numberAtListStart = number();
    m_nextCallAt = when;
}

TicketNumber RegistryFollower::number() const
{
    return m_configuration ? m_configuration->number : TicketNumber(0);
}

void RegistryFollower::onPage(RegistryResponse &response, TimePoint now)
{
    // The watch starts at the revision of the first page, so that no change between two pages is missed.
    if (!m_listStart) {
        m_listStart = response.revision;
    }
    for (RegistryRecord &record : response.records) {
        if (const auto *target = std::get_if<RegisteredTarget>(&record)) {
            m_seen.insert(target->id);
        }
        applyRecord(record, now);
    }
    m_after = response.next;
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
        removeOrDefer(id, now);
    }
    m_revision = *m_listStart;
    m_listStart.reset();
    m_seen.clear();
    const bool hasNumberChanged = m_hasListed && number() != m_numberAtListStart;
    m_isListing = false;
    m_hasListed = true;
    if (hasNumberChanged) {
        refresh(now + m_limits.relistDelay);
    }
}

void RegistryFollower::onChanges(RegistryResponse &response, TimePoint now)
{
    const TicketNumber before = number();
    for (RegistryRecord &record : response.records) {
        applyRecord(record, now);
    }
    m_revision = std::max(m_revision, response.revision);
    if (number() != before) {
        refresh(now + m_limits.relistDelay);
    } else if (!response.records.empty()) {
        m_nextCallAt = now + m_limits.coalescingDelay;
    }
}

void RegistryFollower::applyRecord(RegistryRecord &record, TimePoint now)
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
                applyTarget(concrete, now);
            } else if constexpr (std::is_same_v<Record, TargetRemoved>) {
                onRemoved(concrete, now);
            } else {
                // A target whose record is invalid must not be used.
                if (concrete.target) {
                    remove(*concrete.target);
                }
                m_invalidRecords.push_back(std::move(concrete));
            }
        },
        record);
}

void RegistryFollower::applyTarget(const RegisteredTarget &target, TimePoint now)
{
    const ReportVersion version {target.startedAt, target.sequence};
    const auto known = m_targets.find(target.id);
    if (known != m_targets.end()) {
        const RegisteredTarget &last = known->second.target;
        if (version < ReportVersion {last.startedAt, last.sequence}) {
            return;
        }
    }
    const auto removedReport = m_removedReports.find(target.id);
    if (known == m_targets.end() && removedReport != m_removedReports.end() && version <= removedReport->second) {
        return;
    }
    m_unconfirmed.erase(target.id);
    m_targets.insert_or_assign(target.id, KnownTarget {target, now + target.warmUpRemaining});
    ++m_changes;
}

bool RegistryFollower::isInGracePeriod(TimePoint now) const
{
    return m_recoveredAt && now < *m_recoveredAt + m_limits.reregistrationGrace;
}

void RegistryFollower::onRemoved(const TargetRemoved &removed, TimePoint now)
{
    // A watch starts at the listing's first page, so it repeats removals that later pages already reflect.
    const auto known = m_targets.find(removed.id);
    if (known != m_targets.end() && known->second.target.revision <= removed.revision) {
        removeOrDefer(removed.id, now);
    }
}

void RegistryFollower::removeOrDefer(const EndpointId &id, TimePoint now)
{
    const auto known = m_targets.find(id);
    if (known == m_targets.end()) {
        return;
    }
    // A draining target does not register again.
    if (!isInGracePeriod(now) || known->second.target.draining) {
        remove(id);
        return;
    }
    m_unconfirmed.emplace(id, *m_recoveredAt + m_limits.reregistrationGrace);
}

void RegistryFollower::remove(const EndpointId &id)
{
    const auto known = m_targets.find(id);
    if (known == m_targets.end()) {
        return;
    }
    if (m_removedReports.size() >= m_limits.maxRemovedReports) {
        m_removedReports.erase(m_removedReports.begin());
    }
    const RegisteredTarget &last = known->second.target;
    m_removedReports.insert_or_assign(id, ReportVersion {last.startedAt, last.sequence});
    m_unconfirmed.erase(id);
    m_targets.erase(known);
    ++m_changes;
}

std::vector<RegisteredTarget> RegistryFollower::activeTargets() const
{
    const auto startOrder = [](const RegisteredTarget &target) {
        return std::pair(target.startedAt, target.revision);
    };
    std::map<SocketAddress, RegisteredTarget> newest;
    for (const auto &[id, known] : m_targets) {
        const auto [place, isFirst] = newest.emplace(known.target.address, known.target);
        if (!isFirst && startOrder(place->second) < startOrder(known.target)) {
            place->second = known.target;
        }
    }
    std::vector<RegisteredTarget> result;
    result.reserve(newest.size());
    for (auto &[address, target] : newest) {
        result.push_back(std::move(target));
    }
    return result;
}

void RegistryFollower::expire(TimePoint now)
{
    std::vector<EndpointId> expired;
    for (const auto &[id, until] : m_unconfirmed) {
        if (until <= now) {
            expired.push_back(id);
        }
    }
    for (const EndpointId &id : expired) {
        remove(id);
    }
}

std::vector<InvalidRecord> RegistryFollower::takeInvalidRecords()
{
    return std::exchange(m_invalidRecords, {});
}

} // namespace jasminemast
