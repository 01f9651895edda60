// A TCP link between two nodes that carries typed frames.
//
// Frame: 4 bytes little-endian length of the rest, 1 byte type, payload. Types below 16 are reserved for the link
// itself (hello, heartbeats); the others are defined by its users. Urgent frames are sent before bulk frames; bulk
// frames of different streams are sent round robin, so that a long body does not delay a short one. If the rate of the
// host's network uplink is configured, bulk frames of all links are sent in the order of SendSchedule instead.
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

/// Identifies the node at one end of a link.
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

/// What a node of this version understands beyond the first version of the protocol; a bit each.
enum class LinkFeature : std::uint8_t {
    Uploads = 1, ///< requests that are passed on while their body arrives
};

/// Limits of one link.
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
        std::function<void(const std::shared_ptr<Link> &)> onUp; ///< the peer's hello has arrived
        StateHandler onDown; ///< called once
    };

    /// \p pacer outlives the link.
    Link(Loop &loop, const Clock &clock, LinkIdentity self, SendPacer &pacer, Handlers handlers);

    /// Connects to \p address; any other host than \p host there closes the link.
    void connectTo(const HostId &host, const SocketAddress &address);
    /// Takes over an accepted connection.
    void accept(Descriptor socket);

    /// Queues an urgent frame, which is sent before bulk frames.
    void send(FrameType type, std::string_view payload);
    /// Queues a frame behind the earlier bulk frames of \p stream only. \p priority is that of the stream from this
    /// frame on; it is used only if the rate of the host's uplink is configured.
    void sendBulk(StreamId stream, FrameType type, std::string_view payload, const BulkPriority &priority = {});
    /// Sends the bulk frames of this link before those of other links until it is closed.
    void expediteBulk();
    /// Drops the bulk frames of \p stream that are still queued and returns their bytes.
    std::size_t dropBulk(StreamId stream);

    /// True if an admitted bulk frame would be written soon, because no earlier write is blocked.
    [[nodiscard]] bool canSendBulk() const;
    [[nodiscard]] bool hasBulk(StreamId stream) const
    {
        return m_bulkFrames.contains(stream);
    }
    /// Moves the next bulk frame of \p stream to the write buffer and returns its size. \p stream has a frame queued.
    std::size_t admitBulkFrame(StreamId stream);

    /// Sends nothing more and closes the link once the peer has closed its end, which it does after reading all that
    /// was sent. Closing at once would reset the connection when something of the peer is unread, and lose those bytes.
    void finishSending();
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
    [[nodiscard]] bool isSendingFinished() const
    {
        return m_isSendingFinished;
    }
    [[nodiscard]] bool isOutgoing() const
    {
        return m_outgoing;
    }
    /// The identity from the peer's hello; before onUp only the host of an outgoing link is set.
    [[nodiscard]] const LinkIdentity &peer() const
    {
        return m_peer;
    }

    /// False also for a peer whose features are not known yet.
    [[nodiscard]] bool peerSupports(LinkFeature feature) const
    {
        return (m_peerFeatures & static_cast<std::uint8_t>(feature)) != 0;
    }

    /// Retains the link for a user with work in flight: a retained link is probed by heartbeats and has no idle
    /// timeout.
    void retain();
    void release();
    /// True while frames are waiting to be written.
    [[nodiscard]] bool hasPending() const
    {
        return m_writeOffset < m_writeBatch.size() || !m_urgentFrames.empty() || !m_admittedBulk.empty()
            || !m_bulkFrames.empty();
    }
    /// Bytes of bulk frames that were still queued when the link was closed.
    [[nodiscard]] std::size_t lostBulkBytes() const
    {
        return m_lostBulkBytes;
    }
    /// Bytes that the kernel has taken over and the peer has not acknowledged; they are lost if the connection is
    /// reset.
    [[nodiscard]] std::size_t unacknowledgedBytes() const;
    /// The error number of the failed transfer that closed the link; 0 if the peer ended the connection, or this end.
    [[nodiscard]] int socketError() const
    {
        return m_socketError;
    }
    [[nodiscard]] bool isRetained() const
    {
        return m_retainCount > 0;
    }
    /// True if the peer is expected to send: the link is retained, or a frame was sent since data last arrived.
    [[nodiscard]] bool expectsTraffic() const
    {
        return isRetained() || m_sentSinceLastReceive;
    }
    /// Start of the peer's current silence: when data last arrived, or when the first frame after that was sent.
    [[nodiscard]] TimePoint silentSince() const
    {
        return m_silentSince;
    }
    /// The address that this end connected to; empty for accepted links.
    [[nodiscard]] const SocketAddress &remoteAddress() const
    {
        return m_remoteAddress;
    }
    [[nodiscard]] TimePoint lastUsed() const
    {
        return m_lastUsed;
    }
    /// Measures the peer's silence from now on, because this process itself was paused or expected no traffic.
    void restartSilence();
    void sendHeartbeat();

private:
    void start();
    void onIo(int events);
    void finishConnect();
    void enqueueUrgent(FrameType type, std::string_view payload);
    /// Starts measuring the peer's silence if nothing was sent since data last arrived.
    void recordSend();
    void readAvailable();
    bool parseFrames();
    void handleFrame(FrameType type, std::string_view payload);
    void handleHello(std::string_view payload);
    /// The peer's hello was read, and its features if they arrived with it.
    void comeUp();
    void scheduleFlush();
    void flush();
    void fillWriteBatch();
    std::string popBulkFrame(StreamId stream);
    void watch(bool writable);

    Loop &m_loop;
    const Clock &m_clock;
    LinkIdentity m_self;
    SendPacer &m_pacer;
    Handlers m_handlers;
    Descriptor m_socket;
    IoWatcher m_watcher;

    LinkIdentity m_peer;
    std::uint8_t m_peerFeatures = 0; ///< a bit for each LinkFeature
    SocketAddress m_remoteAddress;
    bool m_outgoing = false;
    bool m_connecting = false;
    bool m_helloReceived = false;
    bool m_up = false; ///< only after m_helloReceived
    bool m_closed = false;
    bool m_flushScheduled = false;
    bool m_isSendingFinished = false;
    int m_retainCount = 0;
    bool m_sentSinceLastReceive = false;
    TimePoint m_silentSince;
    TimePoint m_lastUsed;

    std::string m_receiveBuffer; ///< received bytes of an incomplete frame
    std::string m_writeBatch; ///< frames being written; the first m_writeOffset bytes are written
    std::size_t m_writeOffset = 0;
    std::deque<std::string> m_urgentFrames;
    std::string m_admittedBulk; ///< bulk frames that the pacer has admitted
    std::map<StreamId, std::deque<std::string>> m_bulkFrames; ///< invariant: no deque is empty
    std::size_t m_lostBulkBytes = 0;
    int m_socketError = 0;
    StreamId m_lastServedStream; ///< the round robin continues after this stream
};

} // namespace jasminemast
