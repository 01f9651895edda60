// Tracks the configuration and targets in a registry, across outages, lost change history and stale records.
#pragma once

#include "jasminemast/registry/evacuationtracker.h"
#include "jasminemast/registry/syncmessages.h"

#include <map>
#include <memory>
#include <optional>
#include <set>

namespace jasminemast
{

struct RegistryFollowerLimits
{
    /// Max wait of one watch. A watch can stop reporting changes while its connection stays open, so this bounds how
    /// long a change is missed; each watch costs one registry call.
    Milliseconds watchWait {800};
    Milliseconds coalescingDelay {500}; ///< delay after changes, so that several in quick succession cost one call
    /// The same while targets are retained, as those that register again are about to be dropped.
    Milliseconds retainedCoalescingDelay {100};
    /// Delay between the starts of the first failed call and the next one; doubled after each further failure.
    Milliseconds minRetryDelay {100};
    Milliseconds maxRetryDelay {700}; ///< bounds how late a change is seen after an outage
    /// The same for a node that leaves the registry to its peers. They may be lost or cut off, and it must have read
    /// the registry by itself 3 s after its own trouble has ended, in which a call of 1.5 s may have begun.
    Milliseconds maxStandbyRetryDelay {1'500};
    /// Time after an outage of the registry, or after it came back from an older copy, within which targets that were
    /// removed or are missing can register again.
    Milliseconds reregistrationGrace {2'000};
    /// Time after the registry came back from an older copy within which operators can begin their evacuations again.
    Milliseconds evacuationGrace {10'000};
    Milliseconds minPeerTime {200}; ///< time for requests to peers between a failed call and the next one
    /// The records of live targets only expire in an outage of at least two intervals of their reports.
    Milliseconds minOutage {3'000};
    /// How long after the start of a failed call removals may still wait. If only this node was cut off, it must act on
    /// them from 3 s after the cut on, and the cut may have ended as soon as the call had begun.
    Milliseconds maxRemovalDelay {2'750};
    /// After changes of this size the next call is a listing: it contains only the newest configuration, while the
    /// changes of a few seconds can be many times as large.
    std::size_t maxChangeBytes = 1U << 20U;
    /// Factor of the retry delays of a node that reads the registry only because its peers fail.
    unsigned standbyDelayFactor = 4;
    std::size_t maxRemovedReports = 4'096; ///< removed targets whose last report is stored
};

/// The actions that RegistryFollower::next() returns.
namespace registryaction
{
/// Call RegistrySource::list().
struct List
{
    std::string after;
};
/// Call RegistrySource::watch().
struct Watch
{
    Revision revision;
    Milliseconds wait;
};
/// Call RegistryFollower::next() again at that time.
struct Wait
{
    TimePoint until;
};
} // namespace registryaction

using RegistryAction = std::variant<registryaction::List, registryaction::Watch, registryaction::Wait>;

/// A registered target.
struct KnownTarget
{
    RegisteredTarget target;
    TimePoint warmedUpAt; ///< when it is no longer slow after its start
};

/// State machine without I/O. Perform the action that next() returns, pass the response to onResponse(), and repeat.
///
/// A target whose record is removed may register again if the registry was away. It stays in use until then, at this
/// node alone: peers are told of the removal at once, as each of them has its own evidence of an outage. A node that
/// could not call the registry does not take this for an outage if a peer has read it meanwhile.
///
/// A registry that came back from an older copy is in a new era. What it lacks may only be lost, so it is listed again,
/// and what is missing is retained until it could have been written again. Responses of an earlier era are ignored, and
/// so are those without an era of a registry that has named one.
///
/// Invariants: the configuration's number never falls; a report of a target never replaces a newer one; nothing is
/// removed while the registry is unreachable; the era never falls; recordsDigest() and revision() leave out the targets
/// that are retained.
class RegistryFollower
{
public:
    explicit RegistryFollower(RegistryFollowerLimits limits = {});

    /// The next action. Ask only when no call is pending.
    [[nodiscard]] RegistryAction next(TimePoint now) const;
    /// Until then next() returns Wait.
    [[nodiscard]] TimePoint nextCallAt() const
    {
        return m_nextCallAt;
    }
    /// The List or Watch that next() returned is sent now; without this, calls count as taking no time.
    void onCallStarted(TimePoint now)
    {
        m_callStartedAt = now;
    }
    /// Handles the response to the last List or Watch. Returns true if its records were taken over.
    bool onResponse(RegistryResponse response, TimePoint now);
    /// Removes targets that did not register again in time, and ends evacuations that were not begun again.
    void expire(TimePoint now);
    /// When expire() has something to remove; TimePoint::max() if nothing is retained.
    [[nodiscard]] TimePoint nextExpiry() const;
    /// Takes what a peer passes on, to which the registry confirmed it at \p confirmedAt. False if the content does not
    /// fit: ask for all of it.
    bool applyContent(const SyncContent &content, TimePoint confirmedAt, TimePoint now);
    /// Whether this node regularly reads the registry, and so is the first to try again after a failure.
    void setStandby(bool isStandby)
    {
        m_isStandby = isStandby;
    }
    /// Discards the position in the change history: lists everything again, not before \p when.
    void refresh(TimePoint when);

    /// The newest configuration; null before the first.
    [[nodiscard]] const std::shared_ptr<const PublishedConfiguration> &configuration() const
    {
        return m_configuration;
    }
    /// Number of a configuration that the registry has and that was refused, if it is newer than configuration(); 0 if
    /// its number could not be read.
    [[nodiscard]] const std::optional<TicketNumber> &refusedConfiguration() const
    {
        return m_refusedConfiguration;
    }
    /// All targets in use, also those that are retained.
    [[nodiscard]] const std::map<EndpointId, KnownTarget> &targets() const
    {
        return m_targets;
    }
    /// True if the target is in use although its record was removed.
    [[nodiscard]] bool isRetained(const EndpointId &id) const
    {
        return m_retained.contains(id);
    }
    /// The targets except those whose address belongs to a newer one: a crashed target stays registered for a while
    /// after its successor has started at the same address. Targets of unknown services come after all others.
    [[nodiscard]] std::vector<RegisteredTarget> activeTargets() const;
    /// False if there is a configuration without \p service.
    [[nodiscard]] bool isServiceKnown(const ServiceId &service) const
    {
        return !m_configuration || m_services.contains(service);
    }
    /// True once a complete listing has been read.
    [[nodiscard]] bool isListed() const
    {
        return m_hasListed;
    }
    /// Number of targets in use although their records were removed.
    [[nodiscard]] std::size_t retainedCount() const
    {
        return m_retained.size();
    }
    [[nodiscard]] const EvacuationTracker &evacuations() const
    {
        return m_evacuations;
    }
    /// The latest era in which the registry responded to this node or a peer.
    [[nodiscard]] RegistryEra era() const
    {
        return m_era;
    }
    /// Identifies the set of registered targets, their reports, and the evacuated zones.
    [[nodiscard]] std::uint64_t recordsDigest() const
    {
        return m_targetsDigest ^ m_evacuations.digest();
    }
    /// All changes up to this revision are in the records.
    [[nodiscard]] Revision revision() const
    {
        return m_revision;
    }
    /// Returns the targets that were changed or removed since the last call.
    std::vector<EndpointId> takeChangedTargets();
    /// Number of changes of configuration and targets so far.
    [[nodiscard]] std::uint64_t changes() const
    {
        return m_changes;
    }
    /// Returns the invalid records since the last call, for logs and metrics.
    std::vector<InvalidRecord> takeInvalidRecords();
    /// True if the last call failed.
    [[nodiscard]] bool isDown() const
    {
        return m_failures > 0;
    }

private:
    /// Orders the reports of one target.
    struct ReportVersion
    {
        std::uint64_t startedAt = 0;
        std::uint64_t sequence = 0;

        auto operator<=>(const ReportVersion &) const = default;
    };

    /// A target whose record was removed, but which may register again.
    struct RetainedTarget
    {
        TimePoint until;
        Revision removedAt; ///< older reports do not register it again
    };

    [[nodiscard]] TicketNumber number() const;
    /// The registry has responded in a later era than before.
    void beginEra(RegistryEra era, TimePoint now);
    void countChange(bool isChanged);
    void applyEvacuations(const SyncContent &content, TimePoint now);
    void onFailure(TimePoint startedAt, TimePoint now);
    /// The registry was reachable at \p when, for this node or a peer.
    void onConfirmed(TimePoint when);
    void setConfiguration(PublishedConfiguration configuration);
    void onInvalidRecord(InvalidRecord record);
    void recordTargetChange(const EndpointId &id);
    void onPage(RegistryResponse &response, TimePoint now);
    void endListing(TimePoint now);
    void onChanges(RegistryResponse &response, TimePoint now);
    void applyRecord(RegistryRecord &record, TimePoint now);
    void applyTarget(const RegisteredTarget &target, TimePoint now);
    void onRemoved(const TargetRemoved &removed, TimePoint now);
    void removeOrRetain(const EndpointId &id, Revision removedAt, TimePoint now);
    void remove(const EndpointId &id);

    RegistryFollowerLimits m_limits;
    std::shared_ptr<const PublishedConfiguration> m_configuration;
    std::set<ServiceId> m_services; ///< of m_configuration
    std::optional<TicketNumber> m_refusedConfiguration; ///< as refusedConfiguration() returns
    std::map<EndpointId, KnownTarget> m_targets;
    std::map<EndpointId, RetainedTarget> m_retained; ///< their targets are in m_targets
    /// Last reports of removed targets, so that a late report does not add them again.
    std::map<EndpointId, ReportVersion> m_removedReports;
    std::vector<InvalidRecord> m_invalidRecords;
    std::set<EndpointId> m_seen; ///< targets in the current listing so far
    std::set<ZoneId> m_seenEvacuations; ///< evacuated zones in the current listing so far
    std::string m_after; ///< where the next page of the current listing starts
    std::optional<Revision> m_listStart; ///< revision of the first page of the current listing
    Revision m_revision; ///< up to which all changes have been read
    std::uint64_t m_targetsDigest = 0; ///< combines the reports of m_targets without m_retained
    EvacuationTracker m_evacuations;
    RegistryEra m_era;
    std::vector<EndpointId> m_changedTargets;
    bool m_isStandby = false;
    bool m_isListing = true;
    bool m_hasListed = false;
    unsigned m_failures = 0; ///< consecutive failed calls
    TimePoint m_nextCallAt; ///< earliest time of the next call
    std::optional<TimePoint> m_callStartedAt; ///< of the pending call
    TimePoint m_failedCallAt; ///< when the last failed call started
    std::optional<TimePoint> m_confirmedAt; ///< when the registry was last known to be reachable
    TimePoint m_retainUntil; ///< until when targets removed after the last outage are retained
    std::uint64_t m_changes = 0;
};

} // namespace jasminemast
