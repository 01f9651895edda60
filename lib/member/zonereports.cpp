// Summarizes the versions reported in one zone.
#include "jasminemast/member/zonereports.h"

#include <algorithm>

namespace jasminemast
{

namespace
{

std::uint64_t digestPrefix(const Digest &digest)
{
    std::uint64_t prefix = 0;
    for (std::size_t i = 0; i < sizeof(prefix); ++i) {
        prefix = prefix << 8U | digest.bytes[i];
    }
    return prefix;
}

} // namespace

void ZoneReports::record(const HostId &host, const AppliedVersion &version, TimePoint now)
{
    m_reports.insert_or_assign(host, Report {version, now});
}

void ZoneReports::retain(const std::set<HostId> &hosts)
{
    std::erase_if(m_reports, [&hosts](const auto &entry) { return !hosts.contains(entry.first); });
}

ZoneSummary ZoneReports::summarize(const ZoneId &zone, const std::vector<HostId> &live, const std::vector<HostId> &dead,
                                   Milliseconds maxAge, TimePoint now) const
{
    ZoneSummary summary;
    summary.zone = zone;
    summary.liveHosts = static_cast<std::uint16_t>(live.size());
    summary.dead = dead;
    summary.dead.resize(std::min(dead.size(), ZoneSummary::MaxDead));

    std::map<HostId, AppliedVersion> recentVersions;
    for (const auto &host : live) {
        const auto report = m_reports.find(host);
        if (report == m_reports.end() || now - report->second.at > maxAge) {
            continue;
        }
        recentVersions.emplace(host, report->second.version);
    }
    summary.reportingHosts = static_cast<std::uint16_t>(recentVersions.size());
    if (recentVersions.empty()) {
        return summary;
    }
    const auto byNumber = [](const auto &a, const auto &b) {
        return a.second.number < b.second.number;
    };
    summary.lowest = std::min_element(recentVersions.begin(), recentVersions.end(), byNumber)->second.number;
    const auto &newest = std::max_element(recentVersions.begin(), recentVersions.end(), byNumber)->second;
    summary.highest = newest.number;
    summary.stateDigestPrefix = digestPrefix(newest.stateDigest);
    for (const auto &[host, version] : recentVersions) {
        if (version.number == newest.number) {
            summary.divergentHosts += version.stateDigest == newest.stateDigest ? 0 : 1;
            continue;
        }
        if (summary.laggards.size() < ZoneSummary::MaxLaggards) {
            summary.laggards.push_back(Laggard {host, version.number});
        }
    }
    return summary;
}

} // namespace jasminemast
