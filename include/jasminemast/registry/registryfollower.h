// Follows a registry through outages, lost history and stale records, and says which configuration and targets hold.
#pragma once

#include "jasminemast/registry/registrysource.h"

#include <map>
#include <optional>
#include <set>

namespace jasminemast
{

struct RegistryFollowerLimits
{
    /// Longest wait of one watch. A watch can fall silent for good without its connection ending, so this bounds how
    /// long a change is missed; each watch costs one registry call.
    Milliseconds watchWait {2'000};
    Milliseconds changePause {1'000}; ///< pause after changes, so that those in quick succession cost one call
    Milliseconds firstRetry {100}; ///< delay after the first failed call; doubled after each further one
    Milliseconds lastRetry {800}; ///< most delay; bounds how late a change is seen after an outage
    /// For how long targets that vanished during an outage of the registry may be registering anew after it.
    Milliseconds returnGrace {2'000};
    /// After a new configuration the next one is looked for this much later, by a listing, which holds only the newest:
    /// the changes of a few seconds may be many times as large. Under half of the time in which a change is to be
    /// in force.
    Milliseconds configurationPause {1'000};
    std::size_t maxForgotten = 4'096; ///< removed targets whose last report is remembered
};

/// What to do next.
namespace registryaction
{
struct List
{
    std::string after;
};
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

/// A registered target as this node knows it.
struct KnownTarget
{
    RegisteredTarget target;
    TimePoint warmAt; ///< when it stops being slow after its start
};

/// State machine without input or output. After each answer, call next().
///
/// Invariants: the configuration's number never falls; a report of a target never replaces a newer one of it; while the
/// registry is silent, nothing is removed.
class RegistryFollower
{
public:
    explicit RegistryFollower(RegistryFollowerLimits limits = {});

    /// What to do now; a call under way is not to be repeated.
    [[nodiscard]] RegistryAction next(TimePoint now) const;
    /// The answer to the last List or Watch.
    void onResponse(RegistryResponse answer, TimePoint now);
    /// Removes vanished targets whose grace is over.
    void expire(TimePoint now);
    /// What was read may be old: read everything anew, from \p when on.
    void refresh(TimePoint when);

    [[nodiscard]] const std::optional<PublishedConfiguration> &configuration() const
    {
        return m_configuration;
    }
    [[nodiscard]] const std::map<EndpointId, KnownTarget> &targets() const
    {
        return m_targets;
    }
    /// The targets without those whose address a younger one has taken over: a target that crashed stays registered for
    /// a while beside its successor.
    [[nodiscard]] std::vector<RegisteredTarget> activeTargets() const;
    /// True once one listing was read whole.
    [[nodiscard]] bool isListed() const
    {
        return m_listed;
    }
    /// Counts the changes of configuration and targets.
    [[nodiscard]] std::uint64_t changes() const
    {
        return m_changes;
    }
    /// Records refused since the last call, for log and counters.
    std::vector<InvalidRecord> takeInvalidRecords();
    /// True while calls fail.
    [[nodiscard]] bool isDown() const
    {
        return m_failures > 0;
    }

private:
    /// Which report of a target came last.
    struct ReportAge
    {
        std::uint64_t startedAt = 0;
        std::uint64_t sequence = 0;

        auto operator<=>(const ReportAge &) const = default;
    };

    [[nodiscard]] TicketNumber number() const;
    void onFailure(ResultCode code, TimePoint now);
    void onPage(RegistryResponse &answer, TimePoint now);
    void endListing(TimePoint now);
    void onChanges(RegistryResponse &answer, TimePoint now);
    void take(RegistryRecord &record, TimePoint now);
    void takeTarget(const RegisteredTarget &target, TimePoint now);
    void onRemoved(const TargetRemoved &removed, TimePoint now);
    void vanish(const EndpointId &id, TimePoint now);
    void remove(const EndpointId &id);
    [[nodiscard]] bool inGrace(TimePoint now) const;

    RegistryFollowerLimits m_limits;
    std::optional<PublishedConfiguration> m_configuration;
    std::map<EndpointId, KnownTarget> m_targets;
    std::map<EndpointId, TimePoint> m_vanished; ///< targets in m_targets that are gone unless they return by then
    std::map<EndpointId, ReportAge> m_forgotten; ///< last reports of removed targets
    std::vector<InvalidRecord> m_refused;
    std::set<EndpointId> m_seen; ///< targets of the listing under way
    std::string m_after; ///< where the next page of the listing under way starts
    TicketNumber m_numberBefore; ///< of the configuration when the listing under way began
    std::optional<Revision> m_listStart; ///< revision of the first page of the listing under way
    Revision m_revision; ///< up to which changes are known
    bool m_listing = true;
    bool m_listed = false;
    unsigned m_failures = 0; ///< failed calls in a row
    TimePoint m_notBefore; ///< of the next call
    std::optional<TimePoint> m_backAt; ///< end of the latest outage
    std::uint64_t m_changes = 0;
};

} // namespace jasminemast
