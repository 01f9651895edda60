// Chooses between the registry, its peers and waiting.
#include "jasminemast/registry/readschedule.h"

#include <algorithm>
#include <utility>

namespace jasminemast
{

namespace
{

/// How long a peer may wait for changes.
constexpr Milliseconds PeerWait {500};
/// Delay after a reply that came early and held nothing new.
constexpr Milliseconds PeerRepeatDelay {250};
/// Age from which records are read at another node. A reader confirms them about every 1.4 s.
constexpr Milliseconds MaxPeerAge {1'900};
/// The first nodes of a zone turn to the registry before the others, who can then read at them.
constexpr Milliseconds AgePerRank {100};
constexpr std::size_t MaxAgeRanks = 4;
/// How often a node whose own target has not registered looks for peers.
constexpr Milliseconds DiscoveryInterval {400};
constexpr Milliseconds FailedPeerExclusion {1'000};
/// How often a node whose registry has only a configuration that is refused asks one of its peers for an earlier one.
constexpr Milliseconds ConfigurationInterval {200};
constexpr Milliseconds OldPeerExclusion {100};
/// During a long outage of the registry peers are asked less often.
constexpr Milliseconds OutageAge {4'000};
constexpr Milliseconds OutagePeerExclusion {300};

} // namespace

ReadSchedule::ReadSchedule(RegistryPeer self, RegionLookup regionOf)
    : m_self(self)
    , m_regionOf(std::move(regionOf))
    , m_upstreams(std::move(self))
{
}

void ReadSchedule::start(TimePoint now)
{
    m_confirmedAt = now;
}

Duration ReadSchedule::maxAge() const
{
    return MaxPeerAge + AgePerRank * std::min(m_upstreams.rank(), MaxAgeRanks);
}

bool ReadSchedule::areRecordsOld(TimePoint now) const
{
    return now - m_confirmedAt >= maxAge();
}

ReadAction ReadSchedule::next(TimePoint now)
{
    ReadAction action = choose(now);
    if (!std::holds_alternative<registryaction::Wait>(action) && !std::holds_alternative<readaction::AskPeer>(action)) {
        m_follower.onCallStarted(now);
    }
    return action;
}

ReadAction ReadSchedule::choose(TimePoint now)
{
    if (now < m_nextRequestAt) {
        return registryaction::Wait {m_nextRequestAt};
    }
    m_follower.setStandby(!m_upstreams.candidates().empty());
    const RegistryAction action = m_follower.next(now);
    const auto asReadAction = [](const RegistryAction &call) {
        return std::visit([](const auto &concrete) { return ReadAction(concrete); }, call);
    };
    const auto *wait = std::get_if<registryaction::Wait>(&action);
    if (wait == nullptr && areRecordsOld(now)) {
        return asReadAction(action);
    }
    if (const auto host = chooseForConfiguration(now)) {
        return askPeer(*host, Milliseconds(0), now);
    }
    const Milliseconds peerWait = m_isDiscovering ? Milliseconds(0) : PeerWait;
    if (const auto host = m_upstreams.choose(now)) {
        return askPeer(*host, peerWait, now);
    }
    const auto fallback = wait != nullptr && areRecordsOld(now) ? m_upstreams.chooseFallback(now) : std::nullopt;
    if (fallback) {
        return askPeer(*fallback, peerWait, now);
    }
    if (wait != nullptr) {
        return registryaction::Wait {std::min(wait->until, m_upstreams.nextAvailable(now))};
    }
    if (!m_isDiscovering) {
        return asReadAction(action);
    }
    if (now < m_discoverAt) {
        return registryaction::Wait {std::min(m_discoverAt, m_upstreams.nextAvailable(now))};
    }
    return readaction::DiscoverPeers {m_discoverAfter};
}

std::optional<HostId> ReadSchedule::chooseForConfiguration(TimePoint now)
{
    const std::vector<RegistryPeer> &peers = m_upstreams.peers();
    const bool isMissing = m_follower.isListed() && !m_follower.configuration() && m_follower.refusedConfiguration();
    if (!isMissing || peers.empty() || now - m_configurationAskedAt < ConfigurationInterval) {
        return std::nullopt;
    }
    m_configurationAskedAt = now;
    const RegistryPeer &peer = peers[m_configurationPeers++ % peers.size()];
    return peer.host == m_self.host ? std::nullopt : std::optional(peer.host);
}

ReadAction ReadSchedule::askPeer(const HostId &host, Milliseconds wait, TimePoint now)
{
    m_peerRequestedAt = now;
    SyncRequest request;
    request.isListed = m_follower.isListed();
    request.number = m_follower.configuration() ? m_follower.configuration()->number : TicketNumber(0);
    request.revision = m_follower.revision();
    request.recordsDigest = m_follower.recordsDigest();
    request.waitMs = static_cast<std::uint32_t>(wait.count());
    // Stops waiting for the peer once the records are old and the registry can be called.
    const TimePoint giveUpAt = std::max({now, m_confirmedAt + maxAge(), m_follower.nextCallAt()});
    return readaction::AskPeer {host, request, giveUpAt};
}

ResultCode ReadSchedule::onPeerReply(const HostId &host, const std::optional<SyncReply> &reply, TimePoint now)
{
    if (reply && reply->status == SyncStatus::Ok) {
        const std::uint64_t changes = m_follower.changes();
        try {
            applyReply(host, *reply, now);
        } catch (const ResultError &error) {
            m_upstreams.exclude(host, now + FailedPeerExclusion);
            return error.code();
        }
        if (m_follower.changes() == changes && now - m_peerRequestedAt < PeerWait / 2) {
            // The peer has too many waiting requests to hold another one.
            m_nextRequestAt = now + PeerRepeatDelay;
        }
    } else if (reply && reply->status == SyncStatus::NotListed && !m_isDiscovering) {
        m_upstreams.exclude(host, now + OldPeerExclusion);
    } else {
        m_upstreams.exclude(host, now + FailedPeerExclusion);
    }
    return ResultCode::Ok;
}

void ReadSchedule::applyReply(const HostId &host, const SyncReply &reply, TimePoint now)
{
    const SyncContent content = decodeSyncContent(reply.content);
    const TimePoint confirmedAt = now - Milliseconds(reply.ageMs);
    const bool fits = m_follower.applyContent(content, confirmedAt, now);
    // One of the two nodes is behind, or ignored a report: asking again would lead to the same.
    const bool disagrees = content.hasAllTargets && content.recordsDigest != m_follower.recordsDigest();
    if (!fits || disagrees) {
        m_upstreams.exclude(host, now + FailedPeerExclusion);
    }
    m_isDiscovering = m_isDiscovering && !m_follower.isListed();
    m_confirmedAt = std::max(m_confirmedAt, confirmedAt);
    if (Milliseconds(reply.ageMs) >= MaxPeerAge) {
        const bool isOutage = now - m_confirmedAt >= OutageAge;
        m_upstreams.exclude(host, now + (isOutage ? OutagePeerExclusion : OldPeerExclusion));
    }
    updatePeers();
}

void ReadSchedule::onDiscovered(RegistryResponse response, TimePoint now)
{
    if (response.code != ResultCode::Ok) {
        m_follower.onResponse(std::move(response), now);
        return;
    }
    for (const RegistryRecord &record : response.records) {
        if (const auto *target = std::get_if<RegisteredTarget>(&record)) {
            m_discovered.push_back(peerOf(*target));
        }
    }
    m_upstreams.setPeers(m_discovered);
    m_discoverAfter = response.next;
    if (m_discoverAfter.empty()) {
        endDiscovery(now);
    }
}

void ReadSchedule::endDiscovery(TimePoint now)
{
    const bool isSelfListed = std::any_of(m_discovered.begin(), m_discovered.end(),
                                          [this](const RegistryPeer &peer) { return peer.host == m_self.host; });
    m_isDiscovering = !isSelfListed && !areRecordsOld(now);
    // The target of this node starts together with those of its peers: none of them may have registered yet.
    m_discoverAt = now + DiscoveryInterval;
    m_discovered.clear();
}

void ReadSchedule::onResponse(RegistryResponse response, TimePoint now)
{
    const bool isConfirmed = m_follower.onResponse(std::move(response), now);
    if (isConfirmed && m_follower.isListed()) {
        m_confirmedAt = now;
        m_isDiscovering = false;
    }
    updatePeers();
}

void ReadSchedule::onPause(TimePoint now)
{
    m_confirmedAt = now - maxAge();
}

void ReadSchedule::onRegistryChanged(TimePoint now)
{
    m_follower.refresh(now);
}

void ReadSchedule::expire(TimePoint now)
{
    m_follower.expire(now);
    updatePeers();
}

void ReadSchedule::updatePeers()
{
    if (!m_follower.isListed() || m_follower.changes() == m_peersChanges) {
        return;
    }
    m_peersChanges = m_follower.changes();
    std::vector<RegistryPeer> peers;
    for (const RegisteredTarget &target : m_follower.activeTargets()) {
        if (!target.draining && m_follower.isServiceKnown(target.service)) {
            peers.push_back(peerOf(target));
        }
    }
    m_upstreams.setPeers(std::move(peers));
}

RegistryPeer ReadSchedule::peerOf(const RegisteredTarget &target) const
{
    return {HostId(target.address.ip), target.zone, m_regionOf(target.zone)};
}

} // namespace jasminemast
