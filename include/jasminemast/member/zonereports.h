// Applied versions that the nodes of the local zone report to its readers, and their summary. Readers are the nodes
// that watch the configuration service for their zone.
#pragma once

#include "jasminemast/member/zonetable.h"

#include <set>

namespace jasminemast
{

/// The configuration that one node runs.
struct AppliedVersion
{
    TicketNumber number; ///< last applied ticket
    Digest ticketDigest;
    Digest stateDigest;

    auto operator<=>(const AppliedVersion &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(number, ticketDigest, stateDigest);
    }
};

/// Last reported version of each node of the zone.
class ZoneReports
{
public:
    /// Replaces the report of \p host. The number may be lower than before, since the process may have restarted.
    void record(const HostId &host, const AppliedVersion &version, TimePoint now);
    /// Removes hosts that are not in \p hosts.
    void retain(const std::set<HostId> &hosts);
    /// Summarizes the reports of the hosts \p live. Reports older than \p maxAge are ignored.
    [[nodiscard]] ZoneSummary summarize(const ZoneId &zone, const std::vector<HostId> &live,
                                        const std::vector<HostId> &dead, Milliseconds maxAge, TimePoint now) const;

private:
    struct Report
    {
        AppliedVersion version;
        TimePoint at;
    };

    std::map<HostId, Report> m_reports;
};

} // namespace jasminemast
