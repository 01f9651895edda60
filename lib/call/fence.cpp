// The table of attempts, its floors for late messages and its bounds.
#include "jasminemast/call/fence.h"

#include <algorithm>
#include <cassert>

namespace jasminemast
{

namespace
{

std::size_t sizeOf(const CachedResponse &answer)
{
    return answer.headers.size() + answer.body.size();
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

FenceTable::Peer *FenceTable::meetPeer(const CallId &call, TimePoint now)
{
    auto found = m_peers.find(call.node);
    if (found == m_peers.end()) {
        if (m_peers.size() >= m_limits.maxPeers && !makeRoomForPeer(now)) {
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

bool FenceTable::makeRoomForPeer(TimePoint now)
{
    const std::size_t before = m_peers.size();
    std::erase_if(m_peers, [&](const auto &item) { return now - item.second.lastSeen > m_limits.peerMemory; });
    return m_peers.size() < before;
}

OpenVerdict FenceTable::open(const OpenRequest &request, TimePoint deadline, TimePoint now)
{
    const auto known = m_attempts.find(request.attempt);
    if (known != m_attempts.end()) {
        return std::holds_alternative<Refused>(known->second.phase) ? OpenVerdict::Refused : OpenVerdict::Duplicate;
    }
    if (request.target != m_self) {
        return OpenVerdict::Unknown;
    }
    const Peer *peer = meetPeer(request.attempt.call, now);
    if (peer == nullptr || request.attempt.call.incarnation < peer->incarnation) {
        return OpenVerdict::Unknown;
    }
    if (request.attempt.call.sequence <= peer->forgottenSequence) {
        return OpenVerdict::Unknown;
    }
    if (request.generation < peer->lowestGeneration) {
        return OpenVerdict::Fenced;
    }
    m_attempts.emplace(request.attempt, Entry {Pending {}, deadline + m_limits.margin});
    return OpenVerdict::Fresh;
}

void FenceTable::started(const AttemptId &attempt)
{
    const auto found = m_attempts.find(attempt);
    assert(found != m_attempts.end() && std::holds_alternative<Pending>(found->second.phase)
           && "only an admitted attempt that was never started may start");
    found->second.phase = Running {};
}

void FenceTable::refused(const AttemptId &attempt, ResultCode code, TimePoint now)
{
    assert(isNotRun(code) && "a refusal must say that the request was not run");
    finish(attempt, Refused {code}, now);
}

void FenceTable::answered(const AttemptId &attempt, std::shared_ptr<const CachedResponse> answer, TimePoint now)
{
    if (answer && sizeOf(*answer) > m_limits.maxCachedResponseBytes) {
        answer.reset();
    }
    if (answer) {
        keep(attempt, *answer);
    }
    finish(attempt, Done {std::move(answer)}, now);
}

void FenceTable::lost(const AttemptId &attempt, TimePoint now)
{
    finish(attempt, Done {nullptr}, now);
}

FenceResult FenceTable::fence(const FenceRequest &request, TimePoint now)
{
    if (request.target != m_self) {
        return {FenceStatus::Unknown, nullptr};
    }
    Peer *peer = meetPeer(request.attempt.call, now);
    if (peer == nullptr || request.attempt.call.incarnation < peer->incarnation) {
        return {FenceStatus::Unknown, nullptr};
    }
    peer->lowestGeneration = std::max(peer->lowestGeneration, request.generation);
    const auto found = m_attempts.find(request.attempt);
    if (found == m_attempts.end()) {
        const bool forgotten = request.attempt.call.sequence <= peer->forgottenSequence;
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
    return done->answer ? FenceResult {FenceStatus::Done, done->answer} : FenceResult {FenceStatus::Unknown, nullptr};
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
    entry.forgetAt = std::max(entry.forgetAt, now + m_limits.margin);
    m_finished.emplace(entry.forgetAt, attempt);
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
    m_finished.erase({found->second.forgetAt, id});
    dropAnswer(id);
    m_attempts.erase(found);
    const auto peer = m_peers.find(id.call.node);
    if (peer != m_peers.end() && peer->second.incarnation == id.call.incarnation) {
        peer->second.forgottenSequence = std::max(peer->second.forgottenSequence, id.call.sequence);
    }
}

void FenceTable::keep(const AttemptId &attempt, const CachedResponse &answer)
{
    m_kept.push_back(attempt);
    m_keptBytes += sizeOf(answer);
    while (m_keptBytes > m_limits.maxCachedBytes && m_kept.front() != attempt) {
        dropAnswer(AttemptId(m_kept.front()));
    }
}

void FenceTable::dropAnswer(const AttemptId &attempt)
{
    Entry &entry = m_attempts.at(attempt);
    auto *done = std::get_if<Done>(&entry.phase);
    if (done == nullptr || !done->answer) {
        return;
    }
    m_keptBytes -= sizeOf(*done->answer);
    done->answer.reset();
    const auto place = std::find(m_kept.begin(), m_kept.end(), attempt);
    m_kept.erase(place);
}

} // namespace jasminemast
