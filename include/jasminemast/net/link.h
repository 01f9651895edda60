// A TCP link between two nodes that carries typed frames.
//
// Frame: 4 bytes little-endian length of what follows, 1 byte type, payload. Types below 16 belong to the link
// itself (hello, heartbeats); the rest belong to its users. Urgent frames overtake bulk frames; bulk frames of
// different streams take turns, so that a long body does not hold back a short one. On a host that is told the rate of
// its own link to the network, bulk frames of all links go in the order of SendSchedule instead.
#pragma once

#include "jasminemast/net/loop.h"
#include "jasminemast/net/sendpacer.h"
#include "jasminemast/net/socketaddress.h"
#include "jasminemast/support/ids.h"
#include "jasminemast/support/result.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace jasminemast
{

using FrameType = std::uint8_t;

/// Who is at an end of a link.
struct LinkIdentity
{
    HostId host;
    Incarnation incarnation;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(host, incarnation);
    }
};

/// Bounds of one link.
struct LinkLimits
{
    static constexpr std::size_t MaxFrameBytes = 2 << 20;
    static constexpr std::size_t WriteBatchBytes = 64 << 10;
    static constexpr int UnsentLowWaterBytes = 64 << 10;
    static constexpr FrameType FirstUserType = 16;
};

/// One end of a link. Created by LinkPool.
class Link : public std::enable_shared_from_this<Link>
{
public:
    using FrameHandler = std::function<void(const std::shared_ptr<Link> &, FrameType, std::string_view payload)>;
    using StateHandler = std::function<void(const std::shared_ptr<Link> &, ResultCode reason)>;

    struct Handlers
    {
        FrameHandler onFrame;
        std::function<void(const std::shared_ptr<Link> &)> onUp; ///< the peer has said who it is
        StateHandler onDown; ///< called once
    };

    /// \p pacer outlives the link.
    Link(Loop &loop, const Clock &clock, LinkIdentity self, SendPacer &pacer, Handlers handlers);

    /// Dials \p address and expects \p host there.
    void dial(const HostId &host, const SocketAddress &address);
    /// Takes over an accepted connection.
    void accept(Descriptor socket);

    /// Queues a frame that overtakes bulk frames.
    void send(FrameType type, std::string_view payload);
    /// Queues a frame behind the earlier bulk frames of \p stream only. \p rank is of the stream from this frame on,
    /// and counts on hosts that are told the rate of their own link.
    void sendBulk(StreamId stream, FrameType type, std::string_view payload, const BulkPriority &rank = {});
    /// Drops the bulk frames of \p stream that are still queued.
    void dropBulk(StreamId stream);

    /// True while a bulk frame that is let go would be written soon: nothing written earlier is stuck.
    [[nodiscard]] bool canTakeBulk() const;
    [[nodiscard]] bool hasBulk(StreamId stream) const
    {
        return m_bulk.contains(stream);
    }
    /// Lets the next bulk frame of \p stream go, which has one; returns its size.
    std::size_t releaseBulk(StreamId stream);

    /// Closes the link; onDown follows later in this loop iteration.
    void close(ResultCode reason);

    [[nodiscard]] bool isUp() const
    {
        return m_up;
    }
    [[nodiscard]] bool isClosed() const
    {
        return m_closed;
    }
    [[nodiscard]] bool isOutgoing() const
    {
        return m_outgoing;
    }
    /// The peer as it named itself; before onUp only the host that was dialled is set.
    [[nodiscard]] const LinkIdentity &peer() const
    {
        return m_peer;
    }

    /// A user with work in flight holds the link: held links are probed for life and never idle out.
    void retain();
    void release();
    /// True while frames wait to be written.
    [[nodiscard]] bool hasPending() const
    {
        return m_batchOffset < m_batch.size() || !m_urgent.empty() || !m_released.empty() || !m_bulk.empty();
    }
    [[nodiscard]] bool isRetained() const
    {
        return m_holds > 0;
    }
    /// True while the peer owes a sign of life: somebody holds the link, or a frame was sent since the last receipt.
    [[nodiscard]] bool expectsTraffic() const
    {
        return isRetained() || m_sentSinceReceipt;
    }
    /// Start of the present silence: the last receipt, or the first frame sent after it.
    [[nodiscard]] TimePoint silentSince() const
    {
        return m_quietSince;
    }
    /// The address that was dialled; empty for accepted links.
    [[nodiscard]] const SocketAddress &dialledAddress() const
    {
        return m_dialledAddress;
    }
    [[nodiscard]] TimePoint lastUsed() const
    {
        return m_lastUsed;
    }
    /// Treats silence up to now as excused, after this process itself was paused.
    void forgiveSilence();
    void sendHeartbeat();

private:
    void start();
    void onIo(int events);
    void finishConnect();
    void enqueueUrgent(FrameType type, std::string_view payload);
    void noteSending();
    void readAvailable();
    bool parseFrames();
    void handleFrame(FrameType type, std::string_view payload);
    void handleHello(std::string_view payload);
    void scheduleFlush();
    void flush();
    void fillBatch();
    std::string takeBulk(StreamId stream);
    void watch(bool writable);

    Loop &m_loop;
    const Clock &m_clock;
    LinkIdentity m_self;
    SendPacer &m_pacer;
    Handlers m_handlers;
    Descriptor m_socket;
    IoWatcher m_watcher;

    LinkIdentity m_peer;
    SocketAddress m_dialledAddress;
    bool m_outgoing = false;
    bool m_connecting = false;
    bool m_up = false;
    bool m_closed = false;
    bool m_flushScheduled = false;
    int m_holds = 0;
    bool m_sentSinceReceipt = false;
    TimePoint m_quietSince;
    TimePoint m_lastUsed;

    std::string m_in; ///< received bytes that are not yet a whole frame
    std::string m_batch; ///< frames being written; m_batchOffset of it is written
    std::size_t m_batchOffset = 0;
    std::deque<std::string> m_urgent;
    std::string m_released; ///< bulk frames that the pacer has let go
    std::map<StreamId, std::deque<std::string>> m_bulk; ///< invariant: no deque is empty
    StreamId m_lastBulkStream; ///< stream that had the last turn
};

} // namespace jasminemast
