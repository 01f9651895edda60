// What this node knows about other zones: summaries with their age. Silence turns into "unknown", never into "up to
// date".
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

/// One zone as one of its readers sees it.
struct ZoneSummary
{
    static constexpr std::size_t MaxLaggards = 16;
    static constexpr std::size_t MaxDead = 256;

    ZoneId zone;
    std::uint16_t liveHosts = 0;
    std::uint16_t reportingHosts = 0; ///< of the live hosts, those whose number is known
    TicketNumber lowest; ///< lowest applied number among the reporting hosts
    TicketNumber highest;
    std::uint64_t stateDigestPrefix = 0; ///< start of the digest of the state that goes with the highest number
    std::uint16_t divergentHosts = 0; ///< nodes that run the highest number with another state digest
    std::vector<Laggard> laggards; ///< at most MaxLaggards
    std::vector<HostId> dead; ///< at most MaxDead
    Milliseconds age {0}; ///< since the reporter made it

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

    /// Keeps \p summary when it is younger than what is known of its zone.
    void learn(const ZoneSummary &summary, TimePoint now);
    /// The zone's summary with its present age; nothing when unknown or older than the limit.
    [[nodiscard]] std::optional<ZoneSummary> fresh(const ZoneId &zone, TimePoint now) const;
    /// The zone's last summary with its present age, however old.
    [[nodiscard]] std::optional<ZoneSummary> last(const ZoneId &zone, TimePoint now) const;
    /// Fresh summaries to pass on, at most \p limit, one zone after the other.
    std::vector<ZoneSummary> takeNext(std::size_t limit, TimePoint now);

private:
    struct Known
    {
        ZoneSummary summary;
        TimePoint madeAt; ///< in this node's own time
    };

    Milliseconds m_staleAfter;
    std::map<ZoneId, Known> m_zones;
    ZoneId m_lastTaken;
};

} // namespace jasminemast
