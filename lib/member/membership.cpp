// SWIM-like failure detection in one zone.
#include "jasminemast/member/membership.h"

#include <algorithm>
#include <tuple>

namespace jasminemast
{

namespace
{

constexpr std::uint64_t DeadProbeInterval = 8; ///< on average, one probe in this many goes to a dead host

void shuffle(std::vector<HostId> &hosts, Random &random)
{
    for (std::size_t i = hosts.size(); i > 1; --i) {
        std::swap(hosts[i - 1], hosts[random.nextBelow(i)]);
    }
}

} // namespace

bool MembershipUpdate::supersedes(const MembershipUpdate &other) const
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

void Membership::setListedHosts(const std::vector<HostId> &hosts)
{
    for (auto &[host, member] : m_members) {
        member.listed = false;
    }
    for (const auto &host : hosts) {
        if (host == m_self) {
            continue;
        }
        auto &member = m_members[host];
        member.latest.host = host;
        member.listed = true;
    }
    dropUnlistedDead();
    ++m_revision;
}

void Membership::dropUnlistedDead()
{
    std::erase_if(m_members, [](const auto &entry) {
        const Member &member = entry.second;
        const bool incarnationUnknown = member.latest.incarnation == Incarnation();
        return !member.listed && (incarnationUnknown || member.latest.liveness == Liveness::Dead);
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
    if (found != m_members.end() && found->second.latest.liveness == Liveness::Alive) {
        MembershipUpdate suspicion = found->second.latest;
        suspicion.liveness = Liveness::Suspect;
        replaceLatest(found->second, suspicion, now);
    }
    m_probe.reset();
}

void Membership::expireSuspicions(TimePoint now)
{
    for (auto &[host, member] : m_members) {
        if (member.latest.liveness != Liveness::Suspect) {
            continue;
        }
        if (now - member.suspectedAt < m_settings.suspicionTimeout) {
            continue;
        }
        MembershipUpdate deadUpdate = member.latest;
        deadUpdate.liveness = Liveness::Dead;
        replaceLatest(member, deadUpdate, now);
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
    if (!dead.empty() && m_random.nextBelow(DeadProbeInterval) == 0) {
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

void Membership::messageReceived(const HostId &host, Incarnation incarnation, std::uint32_t refutation, TimePoint now)
{
    const auto found = m_members.find(host);
    if (found == m_members.end()) {
        return;
    }
    auto &member = found->second;
    member.lastMessageAt = now;
    const MembershipUpdate alive {host, incarnation, refutation, Liveness::Alive};
    if (alive.supersedes(member.latest)) {
        replaceLatest(member, alive, now);
    }
}

void Membership::ackReceived(std::uint32_t sequence, TimePoint now)
{
    if (!m_probe || m_probe->sequence != sequence) {
        return;
    }
    const auto found = m_members.find(m_probe->target);
    if (found != m_members.end()) {
        found->second.lastMessageAt = now;
    }
    m_probe.reset();
}

void Membership::applyUpdate(const MembershipUpdate &update, TimePoint now)
{
    if (update.host == m_self) {
        const bool suspected = update.liveness != Liveness::Alive && update.incarnation == m_incarnation;
        if (suspected && update.refutation >= m_refutation) {
            m_refutation = update.refutation + 1;
            enqueue(MembershipUpdate {m_self, m_incarnation, m_refutation, Liveness::Alive});
        }
        return;
    }
    const auto found = m_members.find(update.host);
    if (found == m_members.end()) {
        return;
    }
    if (update.supersedes(found->second.latest)) {
        replaceLatest(found->second, update, now);
    }
}

void Membership::replaceLatest(Member &member, const MembershipUpdate &update, TimePoint now)
{
    member.latest = update;
    if (update.liveness == Liveness::Suspect) {
        member.suspectedAt = now;
    }
    ++m_revision;
    enqueue(update);
}

void Membership::enqueue(const MembershipUpdate &update)
{
    m_queuedUpdates[update.host] = QueuedUpdate {update, m_settings.rumourRepeats};
}

void Membership::resumeAfterPause(TimePoint now)
{
    m_probe.reset();
    m_nextProbe = now;
    for (auto &[host, member] : m_members) {
        if (member.latest.liveness == Liveness::Suspect) {
            member.suspectedAt = now;
        }
    }
}

std::vector<MembershipUpdate> Membership::takeUpdates(std::size_t limit)
{
    std::vector<QueuedUpdate *> waiting;
    for (auto &[host, queued] : m_queuedUpdates) {
        waiting.push_back(&queued);
    }
    std::stable_sort(waiting.begin(), waiting.end(),
                     [](const auto *a, const auto *b) { return a->remainingSends > b->remainingSends; });
    waiting.resize(std::min(waiting.size(), limit));
    std::vector<MembershipUpdate> updates;
    for (auto *queued : waiting) {
        updates.push_back(queued->update);
        --queued->remainingSends;
    }
    std::erase_if(m_queuedUpdates, [](const auto &entry) { return entry.second.remainingSends == 0; });
    return updates;
}

std::vector<MembershipUpdate> Membership::deadUpdates() const
{
    std::vector<MembershipUpdate> updates;
    for (const auto &[host, member] : m_members) {
        if (member.latest.liveness == Liveness::Dead) {
            updates.push_back(member.latest);
        }
    }
    return updates;
}

std::optional<MembershipUpdate> Membership::suspicionAbout(const HostId &host) const
{
    const auto found = m_members.find(host);
    if (found == m_members.end() || found->second.latest.liveness == Liveness::Alive) {
        return std::nullopt;
    }
    return found->second.latest;
}

std::vector<HostId> Membership::livePeers() const
{
    std::vector<HostId> hosts;
    for (const auto &[host, member] : m_members) {
        if (member.latest.liveness != Liveness::Dead) {
            hosts.push_back(host);
        }
    }
    return hosts;
}

std::vector<HostId> Membership::unsuspectedPeers() const
{
    std::vector<HostId> hosts;
    for (const auto &[host, member] : m_members) {
        if (member.latest.liveness == Liveness::Alive) {
            hosts.push_back(host);
        }
    }
    return hosts;
}

std::vector<HostId> Membership::deadPeers() const
{
    std::vector<HostId> hosts;
    for (const auto &[host, member] : m_members) {
        if (member.latest.liveness == Liveness::Dead) {
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
    return found->second.latest.liveness;
}

std::optional<Incarnation> Membership::incarnation(const HostId &host) const
{
    const auto found = m_members.find(host);
    if (found == m_members.end()) {
        return std::nullopt;
    }
    return found->second.latest.incarnation;
}

} // namespace jasminemast
