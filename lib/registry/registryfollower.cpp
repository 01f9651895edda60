// Lists, watches and recovers from failures.
#include "jasminemast/registry/registryfollower.h"

#include <algorithm>
#include <array>
#include <tuple>
#include <type_traits>
#include <unordered_map>
#include <utility>
#include <xxhash.h>

namespace jasminemast
{

namespace
{

constexpr unsigned MaxDoublings = 8;

std::uint64_t reportDigest(const RegisteredTarget &target)
{
    const std::uint64_t idDigest = XXH3_64bits(target.id.value().data(), target.id.value().size());
    const std::array<std::uint64_t, 5> fields {idDigest, target.revision.era().value(), target.revision.number(),
                                               target.startedAt, target.sequence};
    return XXH3_64bits(fields.data(), sizeof(fields));
}

/// Compares all but the remaining warm-up time, which depends on when it was read.
bool isSameReport(const RegisteredTarget &left, const RegisteredTarget &right)
{
    const auto fields = [](const RegisteredTarget &target) {
        return std::tie(target.revision, target.startedAt, target.sequence, target.address, target.service, target.zone,
                        target.slots, target.draining);
    };
    return fields(left) == fields(right);
}

/// Has \p next share with \p base the routes that are the same in both.
void shareRoutes(PublishedConfiguration &next, const PublishedConfiguration &base)
{
    std::unordered_map<std::string_view, const RoutePtr *> known;
    known.reserve(base.routes.size());
    for (const RoutePtr &route : base.routes) {
        known.emplace(route->id.value(), &route);
    }
    for (RoutePtr &route : next.routes) {
        const auto same = known.find(route->id.value());
        if (same != known.end() && **same->second == *route) {
            route = *same->second;
        }
    }
}

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

bool RegistryFollower::onResponse(RegistryResponse response, TimePoint now)
{
    const TimePoint startedAt = std::exchange(m_callStartedAt, std::nullopt).value_or(now);
    if (response.code == ResultCode::RegistryHistoryGone) {
        refresh(now);
        return false;
    }
    const RegistryEra era = response.revision.era();
    if (response.code != ResultCode::Ok || era < m_era) {
        onFailure(startedAt, now);
        return false;
    }
    onConfirmed(now);
    if (m_era < era) {
        beginEra(era, now);
    }
    // Continuing from a position of an earlier era would miss changes.
    const std::optional<Revision> position = m_isListing ? m_listStart : std::optional(m_revision);
    if (position && position->era() != era) {
        refresh(now);
        return false;
    }
    if (m_isListing) {
        onPage(response, now);
    } else {
        onChanges(response, now);
    }
    return true;
}

void RegistryFollower::beginEra(RegistryEra era, TimePoint now)
{
    m_era = era;
    if (!m_hasListed) {
        return;
    }
    m_retainUntil = std::max(m_retainUntil, now + m_limits.reregistrationGrace);
    m_evacuations.retainUntil(now + m_limits.evacuationGrace);
}

void RegistryFollower::countChange(bool isChanged)
{
    m_changes += isChanged ? 1 : 0;
}

void RegistryFollower::onConfirmed(TimePoint when)
{
    if (m_confirmedAt && when <= *m_confirmedAt) {
        return;
    }
    if (m_failures > 0 && m_confirmedAt && when - *m_confirmedAt >= m_limits.minOutage) {
        m_retainUntil = std::min(when + m_limits.reregistrationGrace, m_failedCallAt + m_limits.maxRemovalDelay);
    }
    m_confirmedAt = when;
    if (when >= m_failedCallAt) {
        m_failures = 0;
    }
}

void RegistryFollower::onFailure(TimePoint startedAt, TimePoint now)
{
    m_failedCallAt = startedAt;
    const auto factor = 1U << std::min(m_failures, MaxDoublings);
    const Milliseconds delay = m_isStandby
        ? std::min(m_limits.minRetryDelay * factor * m_limits.standbyDelayFactor, m_limits.maxStandbyRetryDelay)
        : std::min(m_limits.minRetryDelay * factor, m_limits.maxRetryDelay);
    m_nextCallAt = std::max(now + m_limits.minPeerTime, startedAt + delay);
    ++m_failures;
}

void RegistryFollower::refresh(TimePoint when)
{
    m_isListing = true;
    m_after.clear();
    m_seen.clear();
    m_seenEvacuations.clear();
    m_listStart.reset();
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
        if (const auto *evacuation = std::get_if<ZoneEvacuation>(&record)) {
            m_seenEvacuations.insert(evacuation->zone);
        }
        applyRecord(record, now);
    }
    // A key that could not be read in full may lead to the same page again.
    const bool hasProgress = response.next != m_after;
    m_after = hasProgress ? response.next : std::string();
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
        removeOrRetain(id, *m_listStart, now);
    }
    countChange(m_evacuations.applyAbsence(m_seenEvacuations, *m_listStart, now));
    m_revision = *m_listStart;
    m_listStart.reset();
    m_seen.clear();
    m_seenEvacuations.clear();
    m_isListing = false;
    m_hasListed = true;
}

void RegistryFollower::onChanges(RegistryResponse &response, TimePoint now)
{
    for (RegistryRecord &record : response.records) {
        applyRecord(record, now);
    }
    m_revision = std::max(m_revision, response.revision);
    if (response.size > m_limits.maxChangeBytes) {
        refresh(now + m_limits.coalescingDelay);
    } else if (!response.records.empty() || response.hasOtherItems) {
        m_nextCallAt = now + (m_retained.empty() ? m_limits.coalescingDelay : m_limits.retainedCoalescingDelay);
    }
}

void RegistryFollower::applyRecord(RegistryRecord &record, TimePoint now)
{
    std::visit(
        [&](auto &concrete) {
            using Record = std::decay_t<decltype(concrete)>;
            if constexpr (std::is_same_v<Record, PublishedConfiguration>) {
                if (m_configuration && m_configuration->number < concrete.number) {
                    shareRoutes(concrete, *m_configuration);
                }
                m_refusedConfiguration.reset();
                setConfiguration(std::move(concrete));
            } else if constexpr (std::is_same_v<Record, RegisteredTarget>) {
                applyTarget(concrete, now);
            } else if constexpr (std::is_same_v<Record, TargetRemoved>) {
                onRemoved(concrete, now);
            } else if constexpr (std::is_same_v<Record, ZoneEvacuation>) {
                countChange(m_evacuations.apply(concrete, now));
            } else {
                onInvalidRecord(std::move(concrete));
            }
        },
        record);
}

void RegistryFollower::onInvalidRecord(InvalidRecord record)
{
    // A target whose record is invalid must not be used.
    if (record.target) {
        remove(*record.target);
    }
    const TicketNumber refused = record.configuration.value_or(TicketNumber(0));
    if (record.configuration && (refused == TicketNumber(0) || refused > number())) {
        m_refusedConfiguration = refused;
    }
    m_invalidRecords.push_back(std::move(record));
}

void RegistryFollower::setConfiguration(PublishedConfiguration configuration)
{
    if (!m_configuration || m_configuration->number < configuration.number) {
        m_configuration = std::make_shared<const PublishedConfiguration>(std::move(configuration));
        m_services = {m_configuration->services.begin(), m_configuration->services.end()};
        ++m_changes;
        // A number that could not be read may be newer still.
        if (m_refusedConfiguration > TicketNumber(0) && m_refusedConfiguration <= number()) {
            m_refusedConfiguration.reset();
        }
    }
}

bool RegistryFollower::applyContent(const SyncContent &content, TimePoint confirmedAt, TimePoint now)
{
    if (content.configuration) {
        const ConfigurationDelta &delta = *content.configuration;
        if (delta.base == TicketNumber(0)) {
            setConfiguration(delta.configuration);
        } else if (delta.base == number()) {
            setConfiguration(applyDelta(*m_configuration, delta));
        } else {
            return false;
        }
    }
    if (m_era < content.revision.era()) {
        beginEra(content.revision.era(), now);
    }
    const bool wasDown = isDown();
    onConfirmed(confirmedAt);
    if (wasDown && !isDown()) {
        m_nextCallAt = now;
    }
    std::set<EndpointId> passedOn;
    for (const RegisteredTarget &target : content.targets) {
        passedOn.insert(target.id);
        applyTarget(target, now);
    }
    std::vector<EndpointId> removed = content.removedTargets;
    if (content.hasAllTargets) {
        for (const auto &[id, known] : m_targets) {
            if (!passedOn.contains(id)) {
                removed.push_back(id);
            }
        }
        m_hasListed = true;
    }
    for (const EndpointId &id : removed) {
        const auto known = m_targets.find(id);
        // The peer cannot know a target that registered later than what it has read.
        if (known != m_targets.end() && known->second.target.revision <= content.revision) {
            removeOrRetain(id, content.revision, now);
        }
    }
    applyEvacuations(content, now);
    const bool isCurrentEra = content.revision.era() == m_era;
    if (m_hasListed && isCurrentEra && content.recordsDigest == recordsDigest()) {
        m_isListing = false;
        m_after.clear();
        m_seen.clear();
        m_seenEvacuations.clear();
        m_listStart.reset();
        m_revision = std::max(m_revision, content.revision);
    }
    return true;
}

void RegistryFollower::applyEvacuations(const SyncContent &content, TimePoint now)
{
    // A peer that is behind may not know yet that an evacuation has ended.
    if (content.revision < m_revision) {
        return;
    }
    std::set<ZoneId> zones;
    for (const ZoneEvacuation &evacuation : content.evacuations) {
        zones.insert(evacuation.zone);
        countChange(m_evacuations.apply(evacuation, now));
    }
    countChange(m_evacuations.applyAbsence(zones, content.revision, now));
}

void RegistryFollower::recordTargetChange(const EndpointId &id)
{
    ++m_changes;
    m_changedTargets.push_back(id);
}

std::vector<EndpointId> RegistryFollower::takeChangedTargets()
{
    return std::exchange(m_changedTargets, {});
}

void RegistryFollower::applyTarget(const RegisteredTarget &target, TimePoint now)
{
    const ReportVersion version {target.startedAt, target.sequence};
    const auto known = m_targets.find(target.id);
    const auto retained = m_retained.find(target.id);
    if (retained != m_retained.end() && target.revision <= retained->second.removedAt) {
        return;
    }
    if (known != m_targets.end()) {
        const RegisteredTarget &last = known->second.target;
        if (version < ReportVersion {last.startedAt, last.sequence}) {
            return;
        }
    }
    if (known != m_targets.end() && isSameReport(known->second.target, target)) {
        return;
    }
    const auto removedReport = m_removedReports.find(target.id);
    if (known == m_targets.end() && removedReport != m_removedReports.end() && version <= removedReport->second) {
        return;
    }
    if (retained != m_retained.end()) {
        m_retained.erase(retained);
    } else if (known != m_targets.end()) {
        m_targetsDigest ^= reportDigest(known->second.target);
    }
    m_targetsDigest ^= reportDigest(target);
    m_targets.insert_or_assign(target.id, KnownTarget {target, now + target.warmUpRemaining});
    recordTargetChange(target.id);
}

void RegistryFollower::onRemoved(const TargetRemoved &removed, TimePoint now)
{
    // A watch starts at the listing's first page, so it repeats removals that later pages already reflect.
    const auto known = m_targets.find(removed.id);
    if (known != m_targets.end() && known->second.target.revision <= removed.revision) {
        removeOrRetain(removed.id, removed.revision, now);
    }
}

void RegistryFollower::removeOrRetain(const EndpointId &id, Revision removedAt, TimePoint now)
{
    const auto known = m_targets.find(id);
    if (known == m_targets.end() || m_retained.contains(id)) {
        return;
    }
    // A draining target does not register again.
    if (now >= m_retainUntil || known->second.target.draining) {
        remove(id);
        return;
    }
    m_retained.emplace(id, RetainedTarget {m_retainUntil, removedAt});
    m_targetsDigest ^= reportDigest(known->second.target);
    recordTargetChange(id);
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
    if (m_retained.erase(id) == 0) {
        m_targetsDigest ^= reportDigest(last);
    }
    m_targets.erase(known);
    recordTargetChange(id);
}

std::vector<RegisteredTarget> RegistryFollower::activeTargets() const
{
    const auto startOrder = [this](const RegisteredTarget &target) {
        return std::tuple(isServiceKnown(target.service), target.startedAt, target.revision);
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
    for (const auto &[id, retained] : m_retained) {
        if (retained.until <= now) {
            expired.push_back(id);
        }
    }
    for (const EndpointId &id : expired) {
        remove(id);
    }
    countChange(m_evacuations.expire(now));
}

TimePoint RegistryFollower::nextExpiry() const
{
    TimePoint next = m_evacuations.nextExpiry();
    for (const auto &[id, retained] : m_retained) {
        next = std::min(next, retained.until);
    }
    return next;
}

std::vector<InvalidRecord> RegistryFollower::takeInvalidRecords()
{
    return std::exchange(m_invalidRecords, {});
}

} // namespace jasminemast
