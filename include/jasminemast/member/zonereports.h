// Which ticket each node of the own zone runs, as reported to a reader, and the summary made of it.
#pragma once

#include "jasminemast/member/zonetable.h"

#include <set>

namespace jasminemast
{

/// What one node runs.
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
    /// Keeps the report of \p host. A lower number than before means that another process has started there.
    void learn(const HostId &host, const AppliedVersion &version, TimePoint now);
    /// Forgets hosts that are not in \p hosts.
    void retain(const std::set<HostId> &hosts);
    /// Summarises the live hosts \p live; reports older than \p maxAge do not count.
    [[nodiscard]] ZoneSummary summarise(const ZoneId &zone, const std::vector<HostId> &live,
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
