// Decides which bulk stream of a host sends next, within the rate of the host's network uplink.
//
// Guards hosts with slow uplinks whose targets send large responses. Written as fast as the kernel accepts them, all
// responses share the uplink and all finish late, and everything else that the host sends queues behind them:
// heartbeats, small responses and requests to the registry.
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
/// Send rate of a host in bytes per second; 0 means unlimited.
using ByteRate = StrongId<struct ByteRateTag, double>;

/// A stream with queued frames, and the link that carries it.
struct BulkStream
{
    Link *link = nullptr;
    StreamId stream;

    auto operator<=>(const BulkStream &) const = default;
};

/// Remaining size and soft deadline of a stream, which determine its position in the send order.
struct BulkPriority
{
    /// Bytes still to be sent, including those not queued yet; unset when the length is unknown.
    std::optional<std::uint64_t> remaining;
    std::uint64_t sent = 0; ///< bytes of the stream sent so far
    TimePoint softDeadline = TimePoint::max(); ///< a later response is of little use to the caller

    /// Accounts for \p bytes of the stream that were sent.
    void advance(std::uint64_t bytes);
    /// The estimated remaining bytes; for a stream of unknown length, as many as were sent so far.
    [[nodiscard]] std::uint64_t expectedRemaining() const
    {
        return remaining.value_or(sent);
    }
};

/// Orders the waiting streams of all links by shortest remaining size. Streams of expedited links go before all but
/// tiny ones. Streams that will miss their soft deadline go after all others, unless they are short. With round robin
/// instead, all streams would finish when the last one does. A token bucket limits the rate.
///
/// Invariants: in any interval, no more is sent than the rate allows plus one burst and one frame; while a stream's
/// link can send and the rate allows it, some stream is selected.
class SendSchedule
{
public:
    explicit SendSchedule(ByteRate rate);

    [[nodiscard]] bool isLimited() const
    {
        return m_bytesPerSecond > 0;
    }

    /// Adds a stream that has frames to send; has no effect if the stream is already waiting.
    void add(const BulkStream &stream, const BulkPriority &priority);
    void remove(const BulkStream &stream);
    /// Removes all streams of \p link, which is no longer expedited.
    void removeLink(const Link *link);
    /// Sends the streams of \p link before all but tiny ones of other links from now on, even when they are late.
    void expedite(const Link *link);

    using LinkFilter = std::function<bool(const Link &)>;
    /// Selects the stream whose next frame is to be sent now, among the links that \p canSend accepts.
    [[nodiscard]] std::optional<BulkStream> next(TimePoint now, const LinkFilter &canSend);
    /// Accounts for a sent frame of the stream; \p hasMore tells whether the stream has more frames queued.
    void recordSent(const BulkStream &stream, std::size_t bytes, bool hasMore);
    /// Accounts for bytes sent without the schedule: urgent frames, and responses to callers.
    void addUnscheduledBytes(std::size_t bytes);

    [[nodiscard]] bool isEmpty() const
    {
        return m_order.empty();
    }
    /// The time until the rate allows another frame; zero if it does now.
    [[nodiscard]] Duration timeUntilAllowed(TimePoint now);

private:
    /// Classes of streams, in the order in which they are sent.
    enum class Precedence : std::uint8_t {
        Tiny, ///< almost nothing remains, so that it hardly delays the others
        Expedited, ///< on an expedited link
        OnTime, ///< can finish before its soft deadline
        Late, ///< will finish after its soft deadline
    };
    struct WaitingStream
    {
        BulkPriority priority;
        bool isExpedited = false;
        bool isLate = false; ///< will finish after its soft deadline
    };
    /// The precedence of the stream, its expected remaining bytes, the stream.
    using OrderKey = std::tuple<Precedence, std::uint64_t, BulkStream>;

    [[nodiscard]] static Precedence precedence(const WaitingStream &waiting);
    [[nodiscard]] static OrderKey orderKey(const BulkStream &stream, const WaitingStream &waiting);
    [[nodiscard]] bool missesSoftDeadline(const BulkPriority &priority, TimePoint now) const;
    /// Moves streams that can no longer meet their soft deadline behind those that can.
    void demoteLateStreams(TimePoint now);
    void removeTokens(std::size_t bytes);
    void addTokens(TimePoint now);

    double m_bytesPerSecond;
    double m_tokenBytes; ///< bytes that may be sent now; negative after a frame larger than that
    std::optional<TimePoint> m_tokensAddedAt;
    std::set<const Link *> m_expedited;
    std::map<BulkStream, WaitingStream> m_waiting;
    std::set<OrderKey> m_order; ///< invariant: one key for each stream of m_waiting
};

} // namespace jasminemast
