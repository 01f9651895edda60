// The table of attempts, its protection against late messages and its size limits.
#include "jasminemast/call/fence.h"

#include <algorithm>
#include <cassert>

namespace jasminemast
{

namespace
{

std::size_t byteSize(const CachedResponse &response)
{
    return response.headers.size() + response.body.size();
}

} // namespace

bool isNotRun(ResultCode code)
{
    switch (code) {
    case ResultCode::NoRoute:
    case ResultCode::NoEndpoint:
    case ResultCode::TargetUnreachable:
    case ResultCode::NotReady:
    case ResultCode::TicketNotReached:
    case ResultCode::SlotsFull:
    case ResultCode::StartTooLate:
    case ResultCode::TargetLeaving:
    case ResultCode::AttemptFenced:
    case ResultCode::EndpointElsewhere:
    case ResultCode::CallWithdrawn:
    case ResultCode::PeerUnreachable:
    case ResultCode::TargetShed:
    case ResultCode::TargetReplaced:
    case ResultCode::NodeLeaving:
    case ResultCode::TargetWarmingUp:
    case ResultCode::MemoryShort:
        return true;
    default:
        return false;
    }
}

FenceTable::FenceTable(Incarnation self, FenceLimits limits)
    : m_self(self)
    , m_limits(limits)
{
}

FenceTable::Peer *FenceTable::findOrAddPeer(const CallId &call, TimePoint now)
{
    auto found = m_peers.find(call.node);
    if (found == m_peers.end()) {
        if (m_peers.size() >= m_limits.maxPeers && !evictSilentPeers(now)) {
            return nullptr;
        }
        found = m_peers.emplace(call.node, Peer {}).first;
    }
    Peer &peer = found->second;
    if (peer.incarnation < call.incarnation) {
        peer = Peer {call.incarnation, LinkGeneration(0), 0, now};
    }
    peer.lastSeen = now;
    return &peer;
}

bool FenceTable::evictSilentPeers(TimePoint now)
{
    const std::size_t before = m_peers.size();
    std::erase_if(m_peers, [&](const auto &item) { return now - item.second.lastSeen > m_limits.minPeerLifetime; });
    return m_peers.size() < before;
}

OpenResult FenceTable::open(const OpenRequest &request, TimePoint deadline, TimePoint now)
{
    const auto known = m_attempts.find(request.attempt);
    if (known != m_attempts.end()) {
        return std::holds_alternative<Refused>(known->second.phase) ? OpenResult::Refused : OpenResult::Duplicate;
    }
    if (request.target != m_self) {
        return OpenResult::Unknown;
    }
    const Peer *peer = findOrAddPeer(request.attempt.call, now);
    if (peer == nullptr || request.attempt.call.incarnation < peer->incarnation) {
        return OpenResult::Unknown;
    }
    if (request.attempt.call.sequence <= peer->maxForgottenSequence) {
        return OpenResult::Unknown;
    }
    if (request.generation < peer->minGeneration) {
        return OpenResult::Fenced;
    }
    m_attempts.emplace(request.attempt, Entry {Pending {}, deadline + m_limits.retentionTime});
    return OpenResult::Fresh;
}

void FenceTable::markStarted(const AttemptId &attempt)
{
    const auto found = m_attempts.find(attempt);
    assert(found != m_attempts.end() && std::holds_alternative<Pending>(found->second.phase)
           && "only a pending attempt may be started");
    found->second.phase = Running {};
}

void FenceTable::markRefused(const AttemptId &attempt, ResultCode code, TimePoint now)
{
    assert(isNotRun(code) && "the code of a refusal must mean that the request was not run");
    finish(attempt, Refused {code}, now);
}

void FenceTable::markCompleted(const AttemptId &attempt, std::shared_ptr<const CachedResponse> response, TimePoint now)
{
    if (response && byteSize(*response) > m_limits.maxCachedResponseBytes) {
        response.reset();
    }
    if (response) {
        cache(attempt, *response);
    }
    finish(attempt, Done {std::move(response)}, now);
}

void FenceTable::markLost(const AttemptId &attempt, TimePoint now)
{
    finish(attempt, Done {nullptr}, now);
}

FenceResult FenceTable::fence(const FenceRequest &request, TimePoint now)
{
    if (request.target != m_self) {
        return {FenceStatus::Unknown, nullptr};
    }
    Peer *peer = findOrAddPeer(request.attempt.call, now);
    if (peer == nullptr || request.attempt.call.incarnation < peer->incarnation) {
        return {FenceStatus::Unknown, nullptr};
    }
    peer->minGeneration = std::max(peer->minGeneration, request.generation);
    const auto found = m_attempts.find(request.attempt);
    if (found == m_attempts.end()) {
        const bool forgotten = request.attempt.call.sequence <= peer->maxForgottenSequence;
        return {forgotten ? FenceStatus::Unknown : FenceStatus::NotRun, nullptr};
    }
    const Phase &phase = found->second.phase;
    if (std::holds_alternative<Refused>(phase)) {
        return {FenceStatus::NotRun, nullptr};
    }
    const auto *done = std::get_if<Done>(&phase);
    if (done == nullptr) {
        return {FenceStatus::Running, nullptr};
    }
    return done->response ? FenceResult {FenceStatus::Done, done->response}
                          : FenceResult {FenceStatus::Unknown, nullptr};
}

std::optional<ResultCode> FenceTable::refusalOf(const AttemptId &attempt) const
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end()) {
        return std::nullopt;
    }
    const auto *refusal = std::get_if<Refused>(&found->second.phase);
    return refusal == nullptr ? std::nullopt : std::optional(refusal->code);
}

void FenceTable::finish(const AttemptId &attempt, Phase phase, TimePoint now)
{
    const auto found = m_attempts.find(attempt);
    assert(found != m_attempts.end() && "only a recorded attempt can finish");
    Entry &entry = found->second;
    assert(!std::holds_alternative<Refused>(entry.phase) && !std::holds_alternative<Done>(entry.phase)
           && "an attempt finishes once");
    entry.phase = std::move(phase);
    entry.expiresAt = std::max(entry.expiresAt, now + m_limits.retentionTime);
    m_finished.emplace(entry.expiresAt, attempt);
    while (m_finished.size() > m_limits.maxAttempts) {
        forget(m_finished.begin()->second);
    }
}

void FenceTable::expire(TimePoint now)
{
    while (!m_finished.empty() && m_finished.begin()->first <= now) {
        forget(m_finished.begin()->second);
    }
}

void FenceTable::forget(const AttemptId &attempt)
{
    const AttemptId id = attempt;
    const auto found = m_attempts.find(id);
    m_finished.erase({found->second.expiresAt, id});
    evictResponse(id);
    m_attempts.erase(found);
    const auto peer = m_peers.find(id.call.node);
    if (peer != m_peers.end() && peer->second.incarnation == id.call.incarnation) {
        peer->second.maxForgottenSequence = std::max(peer->second.maxForgottenSequence, id.call.sequence);
    }
}

void FenceTable::cache(const AttemptId &attempt, const CachedResponse &response)
{
    m_cached.push_back(attempt);
    m_cachedBytes += byteSize(response);
    while (m_cachedBytes > m_limits.maxCachedBytes && m_cached.front() != attempt) {
        evictResponse(AttemptId(m_cached.front()));
    }
}

void FenceTable::evictResponse(const AttemptId &attempt)
{
    Entry &entry = m_attempts.at(attempt);
    auto *done = std::get_if<Done>(&entry.phase);
    if (done == nullptr || !done->response) {
        return;
    }
    m_cachedBytes -= byteSize(*done->response);
    done->response.reset();
    const auto it = std::find(m_cached.begin(), m_cached.end(), attempt);
    m_cached.erase(it);
}

} // namespace jasminemast
