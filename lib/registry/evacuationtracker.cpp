// Orders reports on evacuated zones by their revisions.
#include "jasminemast/registry/evacuationtracker.h"

#include <algorithm>
#include <array>
#include <xxhash.h>

namespace jasminemast
{

bool EvacuationTracker::apply(const ZoneEvacuation &report, TimePoint now)
{
    Entry entry {report.revision, report.isActive, std::nullopt};
    if (report.isActive && report.retainedFor.count() > 0) {
        entry.retainedUntil = now + report.retainedFor;
    }
    const auto known = m_entries.find(report.zone);
    if (known != m_entries.end()) {
        Entry &last = known->second;
        if (report.revision == last.revision && last.isActive && !last.retainedUntil) {
            last.retainedUntil = entry.retainedUntil;
        }
        if (report.revision <= last.revision) {
            return false;
        }
        const bool isChange = report.isActive || last.isActive;
        last = entry;
        return isChange;
    }
    if (m_entries.size() >= MaxZones) {
        std::erase_if(m_entries, [](const auto &item) { return !item.second.isActive; });
    }
    if (m_entries.size() >= MaxZones) {
        return false;
    }
    m_entries.emplace(report.zone, entry);
    return report.isActive;
}

bool EvacuationTracker::applyAbsence(const std::set<ZoneId> &present, Revision upTo, TimePoint now)
{
    bool isChanged = false;
    for (auto &[zone, entry] : m_entries) {
        if (!entry.isActive || present.contains(zone) || upTo < entry.revision) {
            continue;
        }
        if (now < m_retainUntil) {
            entry.retainedUntil = m_retainUntil;
            continue;
        }
        entry = Entry {upTo, false, std::nullopt};
        isChanged = true;
    }
    return isChanged;
}

bool EvacuationTracker::expire(TimePoint now)
{
    bool isChanged = false;
    for (auto &[zone, entry] : m_entries) {
        if (entry.retainedUntil && *entry.retainedUntil <= now) {
            entry = Entry {entry.revision, false, std::nullopt};
            isChanged = true;
        }
    }
    return isChanged;
}

TimePoint EvacuationTracker::nextExpiry() const
{
    TimePoint next = TimePoint::max();
    for (const auto &[zone, entry] : m_entries) {
        next = std::min(next, entry.retainedUntil.value_or(TimePoint::max()));
    }
    return next;
}

bool EvacuationTracker::isEvacuated(const ZoneId &zone) const
{
    const auto found = m_entries.find(zone);
    return found != m_entries.end() && found->second.isActive;
}

std::vector<ZoneEvacuation> EvacuationTracker::active(TimePoint now) const
{
    std::vector<ZoneEvacuation> result;
    for (const auto &[zone, entry] : m_entries) {
        if (!entry.isActive) {
            continue;
        }
        const Duration retained = entry.retainedUntil ? *entry.retainedUntil - now : Duration::zero();
        const auto retainedFor = std::chrono::ceil<Milliseconds>(std::max(retained, Duration::zero()));
        result.push_back({zone, entry.revision, true, retainedFor});
    }
    return result;
}

std::uint64_t EvacuationTracker::digest() const
{
    std::uint64_t digest = 0;
    for (const auto &[zone, entry] : m_entries) {
        if (!entry.isActive) {
            continue;
        }
        const std::array<std::uint64_t, 3> fields {XXH3_64bits(zone.value().data(), zone.value().size()),
                                                   entry.revision.era().value(), entry.revision.number()};
        digest ^= XXH3_64bits(fields.data(), sizeof(fields));
    }
    return digest;
}

} // namespace jasminemast
