// Liveness of the hosts of the local zone: SWIM-like probing, suspicion and refutation.
//
// Membership updates about one host form a join-semilattice ordered by (incarnation, refutation, liveness), so their
// order of arrival does not matter. A process raises only its own refutation counter, when others suspect it.
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

/// The liveness of one process as another process sees it.
struct MembershipUpdate
{
    HostId host;
    Incarnation incarnation; ///< wall-clock start of the process in milliseconds; 0: no message received yet
    std::uint32_t refutation = 0; ///< number of suspicions that the process has refuted
    Liveness liveness = Liveness::Alive;

    bool operator==(const MembershipUpdate &) const = default;
    /// True when this update replaces \p other about the same host.
    [[nodiscard]] bool supersedes(const MembershipUpdate &other) const;
};

struct MembershipSettings
{
    Milliseconds probeInterval {1000};
    Milliseconds ackTimeout {300}; ///< until indirect probes start, and again until the host is suspected
    Milliseconds suspicionTimeout {2000}; ///< until a suspected host is declared dead
    unsigned indirectProbes = 2;
    unsigned rumourRepeats = 8; ///< number of messages that carry one update
};

/// A direct probe of \c to.
struct SendProbe
{
    HostId to;
    std::uint32_t sequence = 0;
};

/// Requests that \c via probes \c target.
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

    /// Sets the hosts that the platform lists for the zone. A host that left the list stays a member until it is dead.
    void setListedHosts(const std::vector<HostId> &hosts);
    /// Handles timeouts: starts probes, suspects hosts and declares them dead.
    std::vector<ProbeAction> tick(TimePoint now);
    /// Handles a message received from a host itself. Ignored for unknown hosts.
    void messageReceived(const HostId &host, Incarnation incarnation, std::uint32_t refutation, TimePoint now);
    /// Handles a direct or forwarded Ack of probe \p sequence.
    void ackReceived(std::uint32_t sequence, TimePoint now);
    /// Applies an update from a peer. Refutes it if it says that this process is suspected or dead.
    void applyUpdate(const MembershipUpdate &update, TimePoint now);
    /// Drops the probe in flight and restarts suspicion timeouts after this process itself was paused.
    void resumeAfterPause(TimePoint now);

    /// Returns the updates for the next outgoing message, at most \p limit.
    std::vector<MembershipUpdate> takeUpdates(std::size_t limit);
    /// Updates about all dead hosts, for a process that has just joined.
    [[nodiscard]] std::vector<MembershipUpdate> deadUpdates() const;

    /// The update that says that \p host is suspected or dead, to be sent to it so that it can refute it; nothing when
    /// it is alive.
    [[nodiscard]] std::optional<MembershipUpdate> suspicionAbout(const HostId &host) const;

    /// Hosts of the zone that are not dead, except this one.
    [[nodiscard]] std::vector<HostId> livePeers() const;
    /// Hosts of the zone that are neither dead nor suspected, except this one.
    [[nodiscard]] std::vector<HostId> unsuspectedPeers() const;
    [[nodiscard]] std::vector<HostId> deadPeers() const;
    /// Returns nothing for a host that is unknown in this zone.
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
        MembershipUpdate latest; ///< the update that supersedes all others
        bool listed = true;
        TimePoint lastMessageAt; ///< last message received from the host itself
        TimePoint suspectedAt; ///< valid only while suspected
    };
    struct Probe
    {
        HostId target;
        std::uint32_t sequence = 0;
        TimePoint sentAt;
        bool indirectSent = false;
    };
    struct QueuedUpdate
    {
        MembershipUpdate update;
        unsigned remainingSends = 0;
    };

    void replaceLatest(Member &member, const MembershipUpdate &update, TimePoint now);
    void enqueue(const MembershipUpdate &update);
    void expireProbe(TimePoint now, std::vector<ProbeAction> &actions);
    void expireSuspicions(TimePoint now);
    void startProbe(TimePoint now, std::vector<ProbeAction> &actions);
    std::optional<HostId> nextTarget();
    void dropUnlistedDead();

    HostId m_self;
    Incarnation m_incarnation;
    std::uint32_t m_refutation = 0; ///< never decreases
    MembershipSettings m_settings;
    Random &m_random;
    std::map<HostId, Member> m_members; ///< never contains m_self
    std::vector<HostId> m_probeOrder; ///< hosts not yet probed in this round
    std::optional<Probe> m_probe; ///< at most one probe in flight
    TimePoint m_nextProbe;
    std::uint32_t m_sequence = 0;
    std::map<HostId, QueuedUpdate> m_queuedUpdates;
    std::uint64_t m_revision = 0;
};

} // namespace jasminemast
