// Liveness of the hosts of the own zone: SWIM-like probing, suspicion and refutation.
//
// Rumours about one host form a join-semilattice ordered by (incarnation, refutation, liveness), so their order of
// arrival does not matter. Only the accused process raises its own refutation counter.
#pragma once

#include "jasminemast/support/clock.h"
#include "jasminemast/support/ids.h"
#include "jasminemast/support/random.h"

#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace jasminemast
{

enum class Liveness : std::uint8_t { Alive, Suspect, Dead };

/// What one process believes about another.
struct MemberRumour
{
    HostId host;
    Incarnation incarnation; ///< wall-clock start of the process in milliseconds; 0: never heard of
    std::uint32_t refutation = 0; ///< how often that process has contradicted a suspicion
    Liveness liveness = Liveness::Alive;

    bool operator==(const MemberRumour &) const = default;
    /// True when this rumour replaces \p other about the same host.
    [[nodiscard]] bool supersedes(const MemberRumour &other) const;
};

struct MembershipSettings
{
    Milliseconds probeInterval {1000};
    Milliseconds ackTimeout {300}; ///< then indirect probes start; suspicion follows after the same time again
    Milliseconds suspicionTimeout {2000}; ///< from suspicion to death
    unsigned indirectProbes = 2;
    unsigned rumourRepeats = 8; ///< times that one rumour is passed on
};

/// A direct probe of \p to.
struct SendProbe
{
    HostId to;
    std::uint32_t sequence = 0;
};

/// Asks \p via to probe \p target.
struct SendIndirectProbe
{
    HostId via;
    HostId target;
    std::uint32_t sequence = 0;
};

using ProbeAction = std::variant<SendProbe, SendIndirectProbe>;

/// Membership table of one zone.
class Membership
{
public:
    Membership(HostId self, Incarnation incarnation, MembershipSettings settings, Random &random);

    /// Takes the hosts that the platform lists for the zone. A host that left the list stays while it answers.
    void updateListed(const std::vector<HostId> &hosts);
    /// Advances timers: starts probes, raises suspicions, declares deaths.
    std::vector<ProbeAction> tick(TimePoint now);
    /// First-hand sign of life of a host; ignored for hosts that are neither listed nor known.
    void heard(const HostId &host, Incarnation incarnation, std::uint32_t refutation, TimePoint now);
    /// A positive answer, direct or relayed, to probe \p sequence.
    void acknowledged(std::uint32_t sequence, TimePoint now);
    /// A rumour from a peer. A rumour against this process is refuted.
    void learn(const MemberRumour &rumour, TimePoint now);
    /// Forgets probes in flight and open suspicions after this process itself was paused.
    void resumeAfterPause(TimePoint now);

    /// Rumours to add to the next outgoing message, at most \p limit.
    std::vector<MemberRumour> takeRumours(std::size_t limit);
    /// Every host held dead, for a process that has just joined.
    [[nodiscard]] std::vector<MemberRumour> deadRumours() const;

    /// What is held against \p host, so that it can be told and refute it; nothing when it is held alive.
    [[nodiscard]] std::optional<MemberRumour> accusation(const HostId &host) const;

    /// Hosts of the zone that are not dead, without this one.
    [[nodiscard]] std::vector<HostId> livePeers() const;
    /// Hosts of the zone that are neither dead nor suspected, without this one.
    [[nodiscard]] std::vector<HostId> trustedPeers() const;
    [[nodiscard]] std::vector<HostId> deadPeers() const;
    /// Nothing for a host that is unknown in this zone.
    [[nodiscard]] std::optional<Liveness> liveness(const HostId &host) const;
    [[nodiscard]] std::optional<Incarnation> incarnation(const HostId &host) const;
    [[nodiscard]] std::uint32_t refutation() const
    {
        return m_refutation;
    }
    /// Changes whenever the set of live hosts may have changed.
    [[nodiscard]] std::uint64_t revision() const
    {
        return m_revision;
    }

private:
    struct Member
    {
        MemberRumour rumour;
        bool listed = true;
        TimePoint lastHeard; ///< last first-hand sign of life
        TimePoint suspectedAt; ///< meaningful only while suspect
    };
    struct Probe
    {
        HostId target;
        std::uint32_t sequence = 0;
        TimePoint sentAt;
        bool indirectSent = false;
    };
    struct QueuedRumour
    {
        MemberRumour rumour;
        unsigned remaining = 0;
    };

    void adopt(Member &member, const MemberRumour &rumour, TimePoint now);
    void queue(const MemberRumour &rumour);
    void expireProbe(TimePoint now, std::vector<ProbeAction> &actions);
    void expireSuspicions(TimePoint now);
    void startProbe(TimePoint now, std::vector<ProbeAction> &actions);
    std::optional<HostId> nextTarget();
    void dropUnlistedDead();

    HostId m_self;
    Incarnation m_incarnation;
    std::uint32_t m_refutation = 0; ///< only grows
    MembershipSettings m_settings;
    Random &m_random;
    std::map<HostId, Member> m_members; ///< never holds m_self
    std::vector<HostId> m_probeOrder; ///< hosts still to be probed in this round
    std::optional<Probe> m_probe; ///< at most one probe in flight
    TimePoint m_nextProbe;
    std::uint32_t m_sequence = 0;
    std::map<HostId, QueuedRumour> m_queue;
    std::uint64_t m_revision = 0;
};

} // namespace jasminemast
