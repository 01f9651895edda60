// Differences between the records of this node and those of its peers.
#include "jasminemast/registry/syncserver.h"

#include <algorithm>
#include <set>

namespace jasminemast
{

SyncServer::SyncServer(const RegistryFollower &follower, SyncServerLimits limits)
    : m_follower(follower)
    , m_limits(limits)
{
}

bool SyncServer::needsTargets(const SyncRequest &request) const
{
    if (!request.isListed) {
        return true;
    }
    // A peer that knows more than this node has nothing to learn here.
    return request.recordsDigest != m_follower.recordsDigest() && request.revision <= m_follower.revision();
}

bool SyncServer::differs(const SyncRequest &request) const
{
    const auto &configuration = m_follower.configuration();
    return needsTargets(request) || (configuration && request.number < configuration->number);
}

SyncServer::Replies SyncServer::onRequest(const Client &client, const SyncRequest &request, TimePoint confirmedAt,
                                          TimePoint now)
{
    const Milliseconds wait = std::min(Milliseconds(request.waitMs), m_limits.maxWait);
    const bool isDue = m_draining || wait.count() == 0 || m_pending.size() >= m_limits.maxPending
        || (m_follower.isListed() && differs(request));
    if (isDue) {
        return {{client, reply(request, confirmedAt, now)}};
    }
    m_pending.insert_or_assign(client, Pending {request, now + wait});
    return {};
}

SyncServer::Replies SyncServer::onChange(std::vector<EndpointId> targets, TimePoint confirmedAt, TimePoint now)
{
    m_encoded.clear();
    // An evacuation changes the digest without any target.
    if (!targets.empty() || m_digest != m_follower.recordsDigest()) {
        m_changes.push_back({m_digest, std::move(targets)});
        if (m_changes.size() > m_limits.maxChanges) {
            m_changes.pop_front();
        }
    }
    m_digest = m_follower.recordsDigest();
    const auto &configuration = m_follower.configuration();
    if (configuration && (m_configurations.empty() || m_configurations.back() != configuration)) {
        m_configurations.push_back(configuration);
        if (m_configurations.size() > m_limits.maxConfigurations) {
            m_configurations.pop_front();
        }
    }
    Replies replies;
    for (auto position = m_pending.begin(); position != m_pending.end();) {
        if (!m_follower.isListed() || !differs(position->second.request)) {
            ++position;
            continue;
        }
        replies.emplace_back(position->first, reply(position->second.request, confirmedAt, now));
        position = m_pending.erase(position);
    }
    return replies;
}

SyncServer::Replies SyncServer::expire(TimePoint confirmedAt, TimePoint now)
{
    Replies replies;
    for (auto position = m_pending.begin(); position != m_pending.end();) {
        if (position->second.until > now) {
            ++position;
            continue;
        }
        replies.emplace_back(position->first, reply(position->second.request, confirmedAt, now));
        position = m_pending.erase(position);
    }
    return replies;
}

void SyncServer::onLinkDown(const void *link)
{
    std::erase_if(m_pending, [link](const auto &item) { return item.first.first == link; });
}

SyncServer::Replies SyncServer::beginDrain(TimePoint now)
{
    m_draining = true;
    Replies replies;
    for (const auto &[client, pending] : m_pending) {
        replies.emplace_back(client, reply(pending.request, now, now));
    }
    m_pending.clear();
    return replies;
}

TimePoint SyncServer::nextExpiry() const
{
    TimePoint next = TimePoint::max();
    for (const auto &[client, pending] : m_pending) {
        next = std::min(next, pending.until);
    }
    return next;
}

SyncReply SyncServer::reply(const SyncRequest &request, TimePoint confirmedAt, TimePoint now)
{
    SyncReply result;
    result.id = request.id;
    if (m_draining) {
        result.status = SyncStatus::Leaving;
        return result;
    }
    if (!m_follower.isListed()) {
        result.status = SyncStatus::NotListed;
        return result;
    }
    const auto age = std::chrono::duration_cast<Milliseconds>(now - confirmedAt);
    result.ageMs = static_cast<std::uint32_t>(std::clamp<std::int64_t>(age.count(), 0, UINT32_MAX));
    // Requests without targets get all, whatever their digest.
    if (!request.isListed || request.revision > m_follower.revision()) {
        result.content = encodeSyncContent(makeContent(request, now));
        return result;
    }
    std::string &encoded = m_encoded[{request.number, request.recordsDigest}];
    if (encoded.empty()) {
        encoded = encodeSyncContent(makeContent(request, now));
    }
    result.content = encoded;
    return result;
}

SyncContent SyncServer::makeContent(const SyncRequest &request, TimePoint now) const
{
    SyncContent content;
    content.revision = m_follower.revision();
    content.recordsDigest = m_follower.recordsDigest();
    const auto &configuration = m_follower.configuration();
    if (configuration && request.number < configuration->number) {
        const auto base = std::find_if(m_configurations.begin(), m_configurations.end(),
                                       [&request](const auto &known) { return known->number == request.number; });
        content.configuration = base == m_configurations.end()
            ? ConfigurationDelta {TicketNumber(0), *configuration, {}}
            : makeDelta(**base, *configuration);
    }
    content.evacuations = m_follower.evacuations().active(now);
    if (needsTargets(request)) {
        addTargets(request, content, now);
    }
    return content;
}

RegisteredTarget SyncServer::targetAt(const KnownTarget &known, TimePoint now) const
{
    RegisteredTarget target = known.target;
    target.warmUpRemaining
        = std::max(Milliseconds(0), std::chrono::duration_cast<Milliseconds>(known.warmedUpAt - now));
    return target;
}

void SyncServer::addTargets(const SyncRequest &request, SyncContent &content, TimePoint now) const
{
    const auto first = std::find_if(m_changes.rbegin(), m_changes.rend(), [&request](const Change &change) {
        return change.digestBefore == request.recordsDigest;
    });
    if (!request.isListed || first == m_changes.rend()) {
        content.hasAllTargets = true;
        for (const auto &[id, known] : m_follower.targets()) {
            if (!m_follower.isRetained(id)) {
                content.targets.push_back(targetAt(known, now));
            }
        }
        return;
    }
    std::set<EndpointId> changed;
    for (auto change = std::prev(first.base()); change != m_changes.end(); ++change) {
        changed.insert(change->targets.begin(), change->targets.end());
    }
    for (const EndpointId &id : changed) {
        const auto known = m_follower.targets().find(id);
        if (known == m_follower.targets().end() || m_follower.isRetained(id)) {
            content.removedTargets.push_back(id);
        } else {
            content.targets.push_back(targetAt(known->second, now));
        }
    }
}

} // namespace jasminemast
