// At-most-once execution on the target's node: which attempts ran, and which must never run.
//
// A late message cannot be distinguished from a new one by its content, so two bounds are stored for each entry host:
//  - the lowest accepted link generation. A fence arrives on a newer link than the attempt it names, and its sender no
//    longer uses older links. Raising the bound to the fence's generation therefore refuses every message that is still
//    in transit on an older link, however late it arrives, without any state per fenced attempt.
//  - the highest sequence number of a call that was removed from the table. An attempt of this or an earlier call that
//    is not in the table may have run; it is neither run nor reported as not run.
#pragma once

#include "jasminemast/call/attempt.h"

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <variant>

namespace jasminemast
{

/// Bounds of a FenceTable.
struct FenceLimits
{
    std::size_t maxAttempts = 65'536; ///< finished attempts in the table
    std::size_t maxCachedBytes = 8U << 20U; ///< bodies and headers of all cached responses
    std::size_t maxCachedResponseBytes = 64U << 10U; ///< bodies and headers of one cached response
    std::size_t maxPeers = 32'768; ///< entry hosts in the table
    /// Minimum time for which a silent entry host stays in the table. No connection delivers an older message.
    Duration minPeerLifetime = std::chrono::hours(24);
    Duration retentionTime
        = std::chrono::seconds(10); ///< time after its deadline or end for which a finished attempt is stored
};

/// How to handle an attempt that arrives.
enum class OpenResult : std::uint8_t {
    Fresh, ///< may be run; it is now recorded as pending
    Duplicate, ///< pending or done: send nothing, because the first copy gets the reply
    Refused, ///< refused before: repeat the refusal
    Fenced, ///< refused permanently by a fence
    Unknown, ///< too old to know whether it ran, or meant for or sent by another process
};

/// The reply to a fence, with the cached response when done.
struct FenceResult
{
    FenceStatus status = FenceStatus::Unknown;
    std::shared_ptr<const CachedResponse> response; ///< set if and only if status is Done
};

/// Table of attempts from their arrival until some time after their deadline.
class FenceTable
{
public:
    FenceTable(Incarnation self, FenceLimits limits);

    /// Decides on an arriving attempt whose deadline is \p deadline.
    OpenResult open(const OpenRequest &request, TimePoint deadline, TimePoint now);

    /// The attempt was sent to the target: from now on it must not be reported as not run.
    void markStarted(const AttemptId &attempt);
    /// A pending attempt will never be sent to the target.
    void markRefused(const AttemptId &attempt, ResultCode code, TimePoint now);
    /// The response is complete; \p response is null when it is too large to cache.
    void markCompleted(const AttemptId &attempt, std::shared_ptr<const CachedResponse> response, TimePoint now);
    /// The request was sent but no complete response was received.
    void markLost(const AttemptId &attempt, TimePoint now);

    /// Decides on a fence. An attempt that waits for admission must be withdrawn there first.
    FenceResult fence(const FenceRequest &request, TimePoint now);

    /// The code of an earlier refusal of \p attempt.
    [[nodiscard]] std::optional<ResultCode> refusalOf(const AttemptId &attempt) const;

    /// Removes finished attempts whose retention time is over.
    void expire(TimePoint now);

    [[nodiscard]] std::size_t size() const
    {
        return m_attempts.size();
    }
    [[nodiscard]] std::size_t cachedBytes() const
    {
        return m_cachedBytes;
    }

private:
    struct Pending
    {
    };
    struct Running
    {
    };
    struct Refused
    {
        ResultCode code;
    };
    struct Done
    {
        std::shared_ptr<const CachedResponse> response; ///< null: not cached, or evicted
    };
    using Phase = std::variant<Pending, Running, Refused, Done>;

    struct Entry
    {
        Phase phase;
        TimePoint expiresAt; ///< deadline plus retention time; only Refused and Done entries expire
    };

    /// Bounds for one entry host. Invariant: each field only grows, except that a new incarnation resets the two after
    /// it.
    struct Peer
    {
        Incarnation incarnation;
        LinkGeneration minGeneration;
        std::uint64_t maxForgottenSequence = 0; ///< highest call sequence number removed from the table; 0: none
        TimePoint lastSeen;
    };

    /// The record of the call's entry host, added when there is none; null when the table of entry hosts is full.
    Peer *findOrAddPeer(const CallId &call, TimePoint now);
    /// Removes entry hosts that were silent for longer than minPeerLifetime; false when there are none.
    bool evictSilentPeers(TimePoint now);
    void finish(const AttemptId &attempt, Phase phase, TimePoint now);
    void forget(const AttemptId &attempt);
    void cache(const AttemptId &attempt, const CachedResponse &response);
    void evictResponse(const AttemptId &attempt);

    Incarnation m_self;
    FenceLimits m_limits;
    std::map<HostId, Peer> m_peers;
    std::map<AttemptId, Entry> m_attempts;
    std::set<std::pair<TimePoint, AttemptId>> m_finished; ///< exactly the Refused and Done entries, by expiresAt
    std::list<AttemptId> m_cached; ///< attempts with a cached response, oldest first
    std::size_t m_cachedBytes = 0; ///< of all responses in m_cached
};

} // namespace jasminemast
