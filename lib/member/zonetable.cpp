// Ages and selects zone summaries.
#include "jasminemast/member/zonetable.h"

namespace jasminemast
{

void ZoneTable::learn(const ZoneSummary &summary, TimePoint now)
{
    const auto madeAt = now - summary.age;
    const auto found = m_zones.find(summary.zone);
    if (found != m_zones.end() && found->second.madeAt >= madeAt) {
        return;
    }
    m_zones.insert_or_assign(summary.zone, Known {summary, madeAt});
}

std::optional<ZoneSummary> ZoneTable::last(const ZoneId &zone, TimePoint now) const
{
    const auto found = m_zones.find(zone);
    if (found == m_zones.end()) {
        return std::nullopt;
    }
    ZoneSummary summary = found->second.summary;
    summary.age = std::chrono::duration_cast<Milliseconds>(now - found->second.madeAt);
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

std::vector<ZoneSummary> ZoneTable::takeNext(std::size_t limit, TimePoint now)
{
    std::vector<ZoneSummary> taken;
    for (std::size_t tried = 0; tried < m_zones.size() && taken.size() < limit; ++tried) {
        auto next = m_zones.upper_bound(m_lastTaken);
        if (next == m_zones.end()) {
            next = m_zones.begin();
        }
        m_lastTaken = next->first;
        if (auto summary = fresh(next->first, now)) {
            taken.push_back(std::move(*summary));
        }
    }
    return taken;
}

} // namespace jasminemast
