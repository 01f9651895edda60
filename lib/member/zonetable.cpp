// Stores zone summaries and selects those that are recent enough.
#include "jasminemast/member/zonetable.h"

namespace jasminemast
{

void ZoneTable::update(const ZoneSummary &summary, TimePoint now)
{
    const auto createdAt = now - summary.age;
    const auto found = m_zones.find(summary.zone);
    if (found != m_zones.end() && found->second.createdAt >= createdAt) {
        return;
    }
    m_zones.insert_or_assign(summary.zone, Entry {summary, createdAt});
}

std::optional<ZoneSummary> ZoneTable::last(const ZoneId &zone, TimePoint now) const
{
    const auto found = m_zones.find(zone);
    if (found == m_zones.end()) {
        return std::nullopt;
    }
    ZoneSummary summary = found->second.summary;
    summary.age = std::chrono::duration_cast<Milliseconds>(now - found->second.createdAt);
    return summary;
}

std::optional<ZoneSummary> ZoneTable::fresh(const ZoneId &zone, TimePoint now) const
{
    auto summary = last(zone, now);
    if (summary && summary->age > m_staleAfter) {
        return std::nullopt;
    }
    return summary;
}

std::vector<ZoneSummary> ZoneTable::takeFresh(std::size_t limit, TimePoint now)
{
    std::vector<ZoneSummary> taken;
    for (std::size_t visited = 0; visited < m_zones.size() && taken.size() < limit; ++visited) {
        auto next = m_zones.upper_bound(m_lastReturnedZone);
        if (next == m_zones.end()) {
            next = m_zones.begin();
        }
        m_lastReturnedZone = next->first;
        if (auto summary = fresh(next->first, now)) {
            taken.push_back(std::move(*summary));
        }
    }
    return taken;
}

} // namespace jasminemast
