// Which of a host's bulk streams sends next, within the rate of the host's own link to the network.
//
// The load that it answers: targets that hand out large answers on hosts with narrow links. Sent as fast as the kernel
// takes them, all answers share the link and all end late, and whatever else the host sends waits behind them:
// heartbeats, small answers and questions to the registry.
#pragma once

#include "jasminemast/support/clock.h"
#include "jasminemast/support/ids.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <tuple>

namespace jasminemast
{

class Link;

using StreamId = StrongId<struct StreamTag, std::uint64_t>;
/// What a host may send, in bytes a second; 0: as fast as the kernel takes it.
using ByteRate = StrongId<struct ByteRateTag, double>;

/// A stream that has frames to send, and the link that it goes over.
struct BulkStream
{
    Link *link = nullptr;
    StreamId stream;

    auto operator<=>(const BulkStream &) const = default;
};

/// What a stream still has to send, and until when that is of use.
struct BulkPriority
{
    /// Bytes still to be sent, also those that are not there yet; unset: nobody knows.
    std::optional<std::uint64_t> remaining;
    std::uint64_t sent = 0; ///< bytes of the stream that went before
    TimePoint softDeadline = TimePoint::max(); ///< what arrives later has lost most of its worth to the caller

    /// \p bytes of the stream have gone.
    void advance(std::uint64_t bytes);
    /// What the stream is taken to have left; of unknown length, as much as went before.
    [[nodiscard]] std::uint64_t expectedRest() const
    {
        return remaining.value_or(sent);
    }
};

/// Orders the waiting streams of all links: the one that has least to send first, and those that end too late anyway
/// after all others, unless they are short. Streams that share the rate by turns would all end when the last one does.
///
/// Invariants: over any time, no more is let go than the rate allows, one burst and one frame; while some stream's link
/// can take bytes and the rate allows it, one is let go.
class SendSchedule
{
public:
    explicit SendSchedule(ByteRate rate);

    [[nodiscard]] bool isLimited() const
    {
        return m_bytesPerSecond > 0;
    }

    /// The stream has frames to send; nothing changes for one that waits already.
    void add(const BulkStream &stream, const BulkPriority &rank);
    void remove(const BulkStream &stream);
    void removeLink(const Link *link);

    using LinkFilter = std::function<bool(const Link &)>;
    /// The stream whose next frame goes now, over a link that \p canSend accepts.
    [[nodiscard]] std::optional<BulkStream> next(TimePoint now, const LinkFilter &canSend);
    /// A frame of the stream was let go; \p hasMore tells whether the stream still waits.
    void sent(const BulkStream &stream, std::size_t bytes, bool hasMore);
    /// Bytes that went past the schedule: urgent frames, and answers to callers.
    void addUnscheduledBytes(std::size_t bytes);

    [[nodiscard]] bool isEmpty() const
    {
        return m_order.empty();
    }
    /// For how long the rate allows nothing more; zero when it does now.
    [[nodiscard]] Duration pause(TimePoint now);

private:
    struct Waiting
    {
        BulkPriority rank;
        bool isLate = false; ///< ends after it is useful
    };
    /// Late or not, bytes that are taken to be still to be sent, stream.
    using Place = std::tuple<bool, std::uint64_t, BulkStream>;

    [[nodiscard]] static Place placeOf(const BulkStream &stream, const Waiting &waiting);
    [[nodiscard]] bool endsTooLate(const BulkPriority &rank, TimePoint now) const;
    /// Puts streams that can no longer end in time behind those that can.
    void setBackLate(TimePoint now);
    void spend(std::size_t bytes);
    void refill(TimePoint now);

    double m_bytesPerSecond;
    double m_allowance; ///< bytes that may go now; below zero after a frame that was larger
    std::optional<TimePoint> m_refilledAt;
    std::map<BulkStream, Waiting> m_waiting;
    std::set<Place> m_order; ///< invariant: one place for each stream of m_waiting
};

} // namespace jasminemast
