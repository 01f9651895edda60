// At-most-once bookkeeping beside a target: which attempts ran, and which may never run.
//
// A late message cannot be told from a fresh one by its content, so two floors are kept for each entry host:
//  - the lowest acceptable link generation. A fence arrives on a newer link than the attempt it names, and its sender
//    uses older links no more, so raising the floor to the fence's generation refuses every message that is still on
//    its way on an older link, however late it arrives. Nothing needs to be remembered for each fenced attempt.
//  - the highest call sequence that was forgotten. An attempt at or below it that is not in the table may have run;
//    it is neither run nor called "not run".
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
    std::size_t maxAttempts = 65'536; ///< remembered attempts, running ones not counted
    std::size_t maxCachedBytes = 8U << 20U; ///< bodies and headers of all kept answers
    std::size_t maxCachedResponseBytes = 64U << 10U; ///< bodies and headers of one kept answer
    std::size_t maxPeers = 32'768; ///< entry hosts remembered
    /// For how long a silent entry host is remembered at least. No connection delivers a message that is older.
    Duration peerMemory = std::chrono::hours(24);
    Duration margin = std::chrono::seconds(10); ///< for how long after its deadline a finished attempt is remembered
};

/// What to do with an attempt that arrives.
enum class OpenVerdict : std::uint8_t {
    Fresh, ///< may be run; it is now recorded as pending
    Duplicate, ///< pending or done: say nothing, the reply of the first copy stands
    Refused, ///< refused before: repeat the refusal
    Fenced, ///< refused for good by a fence or by a newer process of its sender
    Unknown, ///< too old to know whether it ran, or meant for another process
};

/// The reply to a fence, with the kept answer when done.
struct FenceResult
{
    FenceStatus status = FenceStatus::Unknown;
    std::shared_ptr<const CachedResponse> answer; ///< set if and only if status is Done
};

/// Remembers attempts from their arrival until a while after their deadline.
class FenceTable
{
public:
    FenceTable(Incarnation self, FenceLimits limits);

    /// Judges an arriving attempt whose deadline is \p deadline.
    OpenVerdict open(const OpenRequest &request, TimePoint deadline, TimePoint now);

    /// The attempt was handed to the target: from here on "not run" would be a lie.
    void started(const AttemptId &attempt);
    /// A pending attempt will not be handed to the target, ever.
    void refused(const AttemptId &attempt, ResultCode code, TimePoint now);
    /// The answer is complete; \p answer is null when it is too large to keep.
    void answered(const AttemptId &attempt, std::shared_ptr<const CachedResponse> answer, TimePoint now);
    /// The request was sent but no whole answer came back.
    void lost(const AttemptId &attempt, TimePoint now);

    /// Judges a fence. An attempt that is pending but not started is the admission's to withdraw first.
    FenceResult fence(const FenceRequest &request, TimePoint now);

    /// The code of an earlier refusal of \p attempt.
    [[nodiscard]] std::optional<ResultCode> refusalOf(const AttemptId &attempt) const;

    /// Forgets attempts that are past their deadline and margin.
    void expire(TimePoint now);

    [[nodiscard]] std::size_t size() const
    {
        return m_attempts.size();
    }
    [[nodiscard]] std::size_t cachedBytes() const
    {
        return m_keptBytes;
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
        std::shared_ptr<const CachedResponse> answer; ///< null: not kept, or dropped to make room
    };
    using Phase = std::variant<Pending, Running, Refused, Done>;

    struct Entry
    {
        Phase phase;
        TimePoint forgetAt; ///< deadline and margin; only Refused and Done entries are forgotten
    };

    /// Floors for one entry host. Invariant: each field only grows, the pair below starts anew with an incarnation.
    struct Peer
    {
        Incarnation incarnation;
        LinkGeneration lowestGeneration;
        std::uint64_t forgottenSequence = 0; ///< highest call sequence dropped from the table; 0: none
        TimePoint lastSeen;
    };

    /// The record of the sender, made when there is none; null when the table of senders is full.
    Peer *meetPeer(const CallId &call, TimePoint now);
    bool makeRoomForPeer(TimePoint now);
    void finish(const AttemptId &attempt, Phase phase, TimePoint now);
    void forget(const AttemptId &attempt);
    void keep(const AttemptId &attempt, const CachedResponse &answer);
    void dropAnswer(const AttemptId &attempt);

    Incarnation m_self;
    FenceLimits m_limits;
    std::map<HostId, Peer> m_peers;
    std::map<AttemptId, Entry> m_attempts;
    std::set<std::pair<TimePoint, AttemptId>> m_finished; ///< exactly the Refused and Done entries, by forgetAt
    std::list<AttemptId> m_kept; ///< attempts with a kept answer, oldest first
    std::size_t m_keptBytes = 0; ///< bytes of all answers named in m_kept
};

} // namespace jasminemast
