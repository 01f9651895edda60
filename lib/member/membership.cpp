// SWIM-like failure detection of one zone.
#include "jasminemast/member/membership.h"

#include <algorithm>
#include <tuple>

namespace jasminemast
{

namespace
{

constexpr std::uint64_t DeadProbeShare = 8; ///< one probe in this many goes to a host held dead

void shuffle(std::vector<HostId> &hosts, Random &random)
{
    for (std::size_t i = hosts.size(); i > 1; --i) {
        std::swap(hosts[i - 1], hosts[random.nextBelow(i)]);
    }
}

} // namespace

bool MemberRumour::supersedes(const MemberRumour &other) const
{
    return std::tie(incarnation, refutation, liveness) > std::tie(other.incarnation, other.refutation, other.liveness);
}

Membership::Membership(HostId self, Incarnation incarnation, MembershipSettings settings, Random &random)
    : m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_settings(settings)
    , m_random(random)
{
}

void Membership::updateListed(const std::vector<HostId> &hosts)
{
    for (auto &[host, member] : m_members) {
        member.listed = false;
    }
    for (const auto &host : hosts) {
        if (host == m_self) {
            continue;
        }
        auto &member = m_members[host];
        member.rumour.host = host;
        member.listed = true;
    }
    dropUnlistedDead();
    ++m_revision;
}

void Membership::dropUnlistedDead()
{
    std::erase_if(m_members, [](const auto &entry) {
        const Member &member = entry.second;
        const bool neverHeard = member.rumour.incarnation == Incarnation();
        return !member.listed && (neverHeard || member.rumour.liveness == Liveness::Dead);
    });
}

std::vector<ProbeAction> Membership::tick(TimePoint now)
{
    std::vector<ProbeAction> actions;
    expireProbe(now, actions);
    expireSuspicions(now);
    if (now >= m_nextProbe) {
        startProbe(now, actions);
    }
    return actions;
}

void Membership::expireProbe(TimePoint now, std::vector<ProbeAction> &actions)
{
    if (!m_probe) {
        return;
    }
    if (!m_probe->indirectSent && now - m_probe->sentAt >= m_settings.ackTimeout) {
        m_probe->indirectSent = true;
        auto helpers = livePeers();
        std::erase(helpers, m_probe->target);
        shuffle(helpers, m_random);
        helpers.resize(std::min<std::size_t>(helpers.size(), m_settings.indirectProbes));
        for (const auto &helper : helpers) {
            actions.emplace_back(SendIndirectProbe {helper, m_probe->target, m_probe->sequence});
        }
    }
    if (now - m_probe->sentAt < 2 * m_settings.ackTimeout) {
        return;
    }
    const auto found = m_members.find(m_probe->target);
    if (found != m_members.end() && found->second.rumour.liveness == Liveness::Alive) {
        MemberRumour suspicion = found->second.rumour;
        suspicion.liveness = Liveness::Suspect;
        adopt(found->second, suspicion, now);
    }
    m_probe.reset();
}

void Membership::expireSuspicions(TimePoint now)
{
    for (auto &[host, member] : m_members) {
        if (member.rumour.liveness != Liveness::Suspect) {
            continue;
        }
        if (now - member.suspectedAt < m_settings.suspicionTimeout) {
            continue;
        }
        MemberRumour death = member.rumour;
        death.liveness = Liveness::Dead;
        adopt(member, death, now);
    }
    dropUnlistedDead();
}

void Membership::startProbe(TimePoint now, std::vector<ProbeAction> &actions)
{
    if (m_probe) {
        return;
    }
    m_nextProbe = now + m_settings.probeInterval;
    const auto target = nextTarget();
    if (!target) {
        return;
    }
    m_probe = Probe {*target, ++m_sequence, now, false};
    actions.emplace_back(SendProbe {*target, m_sequence});
}

std::optional<HostId> Membership::nextTarget()
{
    const auto dead = deadPeers();
    if (!dead.empty() && m_random.nextBelow(DeadProbeShare) == 0) {
        return dead[m_random.nextBelow(dead.size())];
    }
    if (m_probeOrder.empty()) {
        m_probeOrder = livePeers();
        shuffle(m_probeOrder, m_random);
    }
    while (!m_probeOrder.empty()) {
        auto host = std::move(m_probeOrder.back());
        m_probeOrder.pop_back();
        const auto state = liveness(host);
        if (state && *state != Liveness::Dead) {
            return host;
        }
    }
    return std::nullopt;
}

void Membership::heard(const HostId &host, Incarnation incarnation, std::uint32_t refutation, TimePoint now)
{
    const auto found = m_members.find(host);
    if (found == m_members.end()) {
        return;
    }
    auto &member = found->second;
    member.lastHeard = now;
    const MemberRumour alive {host, incarnation, refutation, Liveness::Alive};
    if (alive.supersedes(member.rumour)) {
        adopt(member, alive, now);
    }
}

void Membership::acknowledged(std::uint32_t sequence, TimePoint now)
{
    if (!m_probe || m_probe->sequence != sequence) {
        return;
    }
    const auto found = m_members.find(m_probe->target);
    if (found != m_members.end()) {
        found->second.lastHeard = now;
    }
    m_probe.reset();
}

void Membership::learn(const MemberRumour &rumour, TimePoint now)
{
    if (rumour.host == m_self) {
        const bool accused = rumour.liveness != Liveness::Alive && rumour.incarnation == m_incarnation;
        if (accused && rumour.refutation >= m_refutation) {
            m_refutation = rumour.refutation + 1;
            queue(MemberRumour {m_self, m_incarnation, m_refutation, Liveness::Alive});
        }
        return;
    }
    const auto found = m_members.find(rumour.host);
    if (found == m_members.end()) {
        return;
    }
    if (rumour.supersedes(found->second.rumour)) {
        adopt(found->second, rumour, now);
    }
}

void Membership::adopt(Member &member, const MemberRumour &rumour, TimePoint now)
{
    member.rumour = rumour;
    if (rumour.liveness == Liveness::Suspect) {
        member.suspectedAt = now;
    }
    ++m_revision;
    queue(rumour);
}

void Membership::queue(const MemberRumour &rumour)
{
    m_queue[rumour.host] = QueuedRumour {rumour, m_settings.rumourRepeats};
}

void Membership::resumeAfterPause(TimePoint now)
{
    m_probe.reset();
    m_nextProbe = now;
    for (auto &[host, member] : m_members) {
        if (member.rumour.liveness == Liveness::Suspect) {
            member.suspectedAt = now;
        }
    }
}

std::vector<MemberRumour> Membership::takeRumours(std::size_t limit)
{
    std::vector<QueuedRumour *> waiting;
    for (auto &[host, queued] : m_queue) {
        waiting.push_back(&queued);
    }
    std::stable_sort(waiting.begin(), waiting.end(),
                     [](const auto *a, const auto *b) { return a->remaining > b->remaining; });
    waiting.resize(std::min(waiting.size(), limit));
    std::vector<MemberRumour> rumours;
    for (auto *queued : waiting) {
        rumours.push_back(queued->rumour);
        --queued->remaining;
    }
    std::erase_if(m_queue, [](const auto &entry) { return entry.second.remaining == 0; });
    return rumours;
}

std::vector<MemberRumour> Membership::deadRumours() const
{
    std::vector<MemberRumour> rumours;
    for (const auto &[host, member] : m_members) {
        if (member.rumour.liveness == Liveness::Dead) {
            rumours.push_back(member.rumour);
        }
    }
    return rumours;
}

std::optional<MemberRumour> Membership::accusation(const HostId &host) const
{
    const auto found = m_members.find(host);
    if (found == m_members.end() || found->second.rumour.liveness == Liveness::Alive) {
        return std::nullopt;
    }
    return found->second.rumour;
}

std::vector<HostId> Membership::livePeers() const
{
    std::vector<HostId> hosts;
    for (const auto &[host, member] : m_members) {
        if (member.rumour.liveness != Liveness::Dead) {
            hosts.push_back(host);
        }
    }
    return hosts;
}

std::vector<HostId> Membership::trustedPeers() const
{
    std::vector<HostId> hosts;
    for (const auto &[host, member] : m_members) {
        if (member.rumour.liveness == Liveness::Alive) {
            hosts.push_back(host);
        }
    }
    return hosts;
}

std::vector<HostId> Membership::deadPeers() const
{
    std::vector<HostId> hosts;
    for (const auto &[host, member] : m_members) {
        if (member.rumour.liveness == Liveness::Dead) {
            hosts.push_back(host);
        }
    }
    return hosts;
}

std::optional<Liveness> Membership::liveness(const HostId &host) const
{
    const auto found = m_members.find(host);
    if (found == m_members.end()) {
        return std::nullopt;
    }
    return found->second.rumour.liveness;
}

std::optional<Incarnation> Membership::incarnation(const HostId &host) const
{
    const auto found = m_members.find(host);
    if (found == m_members.end()) {
        return std::nullopt;
    }
    return found->second.rumour.incarnation;
}

} // namespace jasminemast
