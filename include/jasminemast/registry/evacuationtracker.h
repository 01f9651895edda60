// Tracks which availability zones operators have evacuated.
#pragma once

#include "jasminemast/registry/registrysource.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace jasminemast
{

/// State machine without I/O.
///
/// Invariants: a report never replaces one of a later revision; an evacuation that is merely missing in what a registry
/// has after it came back from an older copy stays active until it could have been written again.
class EvacuationTracker
{
public:
    static constexpr std::size_t MaxZones = 4'096; ///< further zones are ignored

    /// Takes over a report of the registry or of a peer. Returns true if anything changed.
    bool apply(const ZoneEvacuation &report, TimePoint now);
    /// Whoever knows all changes up to \p upTo has only the evacuations of \p present. Returns true if anything
    /// changed.
    bool applyAbsence(const std::set<ZoneId> &present, Revision upTo, TimePoint now);
    /// The registry came back from an older copy: evacuations that are missing stay active until \p until.
    void retainUntil(TimePoint until)
    {
        m_retainUntil = until;
    }
    /// Ends the evacuations that were missing and not written again in time. Returns true if anything changed.
    bool expire(TimePoint now);
    /// When expire() has something to end; TimePoint::max() if nothing is retained.
    [[nodiscard]] TimePoint nextExpiry() const;

    [[nodiscard]] bool isEvacuated(const ZoneId &zone) const;
    [[nodiscard]] std::vector<ZoneEvacuation> active(TimePoint now) const;
    /// Identifies the active evacuations and their revisions.
    [[nodiscard]] std::uint64_t digest() const;

private:
    struct Entry
    {
        Revision revision; ///< of the latest report
        bool isActive = false; ///< false: ended, so that an earlier report does not begin it again
        std::optional<TimePoint> retainedUntil; ///< set if the registry lacks the evacuation
    };

    std::map<ZoneId, Entry> m_entries;
    TimePoint m_retainUntil; ///< evacuations that are found missing before are retained until then
};

} // namespace jasminemast
