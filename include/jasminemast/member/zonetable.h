// Summaries of other zones with their age. A zone without a recent summary counts as unknown, never as up to date.
#pragma once

#include "jasminemast/support/clock.h"
#include "jasminemast/support/digest.h"
#include "jasminemast/support/ids.h"

#include <map>
#include <optional>
#include <vector>

namespace jasminemast
{

/// A node that runs an older ticket than the newest in its zone.
struct Laggard
{
    HostId host;
    TicketNumber number;

    bool operator==(const Laggard &) const = default;
};

/// Summary of a zone, made by one of its readers.
struct ZoneSummary
{
    static constexpr std::size_t MaxLaggards = 16;
    static constexpr std::size_t MaxDead = 256;

    ZoneId zone;
    std::uint16_t liveHosts = 0;
    std::uint16_t reportingHosts = 0; ///< live hosts whose applied number is known
    TicketNumber lowest; ///< lowest applied number among the reporting hosts
    TicketNumber highest;
    std::uint64_t stateDigestPrefix = 0; ///< first bytes of the state digest at the highest number
    std::uint16_t divergentHosts = 0; ///< nodes at the highest number with another state digest
    std::vector<Laggard> laggards; ///< at most MaxLaggards
    std::vector<HostId> dead; ///< at most MaxDead
    Milliseconds age {0}; ///< time since the reader made the summary

    bool operator==(const ZoneSummary &) const = default;
};

/// The newest summary of every zone.
class ZoneTable
{
public:
    explicit ZoneTable(Milliseconds staleAfter)
        : m_staleAfter(staleAfter)
    {
    }

    /// Stores \p summary if it is newer than the one stored for its zone.
    void update(const ZoneSummary &summary, TimePoint now);
    /// The last summary of the zone with its current age; nothing when there is none or it is too old.
    [[nodiscard]] std::optional<ZoneSummary> fresh(const ZoneId &zone, TimePoint now) const;
    /// The last summary of the zone with its current age, however old.
    [[nodiscard]] std::optional<ZoneSummary> last(const ZoneId &zone, TimePoint now) const;
    /// Returns up to \p limit summaries to forward that are not too old, round-robin over the zones.
    std::vector<ZoneSummary> takeFresh(std::size_t limit, TimePoint now);

private:
    struct Entry
    {
        ZoneSummary summary;
        TimePoint createdAt; ///< by the clock of this node
    };

    Milliseconds m_staleAfter;
    std::map<ZoneId, Entry> m_zones;
    ZoneId m_lastReturnedZone;
};

} // namespace jasminemast
