// Framing, scheduling of frames, and receiving on one link.
#include "jasminemast/net/link.h"

#include "jasminemast/support/archive.h"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <array>
#include <cassert>
#include <cerrno>
#include <cstring>
#include <utility>

namespace jasminemast
{

namespace
{

constexpr FrameType HelloType = 1;
constexpr FrameType HeartbeatType = 2;
/// Empty, or with one byte of features; the first version of the protocol reads no payload.
constexpr FrameType HeartbeatAckType = 3;
constexpr auto OwnFeatures = static_cast<char>(LinkFeature::Uploads);
constexpr std::size_t HeaderBytes = 4;
constexpr std::size_t ReadChunkBytes = 64 << 10;
constexpr int MaxReadsPerWakeup = 16;
constexpr std::uint32_t ProtocolVersion = 1;

/// First frame in both directions.
struct HelloMessage
{
    std::uint32_t version = ProtocolVersion;
    LinkIdentity identity;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(version, identity);
    }
};

std::string makeFrame(FrameType type, std::string_view payload)
{
    assert(payload.size() < LinkLimits::MaxFrameBytes && "the peer rejects a larger frame");
    const auto length = static_cast<std::uint32_t>(payload.size() + 1);
    std::string frame;
    frame.reserve(HeaderBytes + length);
    frame.append(reinterpret_cast<const char *>(&length), HeaderBytes);
    frame.push_back(static_cast<char>(type));
    frame.append(payload);
    return frame;
}

void setSocketOptions(int socket)
{
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const int lowWater = LinkLimits::UnsentLowWaterBytes;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &lowWater, sizeof(lowWater));
}

bool wouldBlock(int error)
{
    return error == EAGAIN || error == EWOULDBLOCK || error == EINTR;
}

} // namespace

Link::Link(Loop &loop, const Clock &clock, LinkIdentity self, SendPacer &pacer, Handlers handlers)
    : m_loop(loop)
    , m_clock(clock)
    , m_self(std::move(self))
    , m_pacer(pacer)
    , m_handlers(std::move(handlers))
    , m_watcher(loop, [this](int events) { onIo(events); })
    , m_silentSince(clock.now())
    , m_lastUsed(clock.now())
{
}

void Link::connectTo(const HostId &host, const SocketAddress &address)
{
    m_outgoing = true;
    m_peer.host = host;
    m_remoteAddress = address;
    sockaddr_in system {};
    try {
        system = toSystemAddress(address);
    } catch (const ResultError &error) {
        close(error.code());
        return;
    }
    m_socket = Descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!m_socket.isOpen()) {
        close(ResultCode::LinkLost);
        return;
    }
    setSocketOptions(m_socket.get());
    if (::connect(m_socket.get(), reinterpret_cast<const sockaddr *>(&system), sizeof(system)) != 0
        && errno != EINPROGRESS) {
        close(errno == ECONNREFUSED ? ResultCode::LinkRefused : ResultCode::LinkLost);
        return;
    }
    m_connecting = true;
    start();
}

void Link::accept(Descriptor socket)
{
    m_socket = std::move(socket);
    setSocketOptions(m_socket.get());
    start();
}

void Link::start()
{
    m_urgentFrames.push_front(makeFrame(HeartbeatAckType, std::string_view(&OwnFeatures, 1)));
    m_urgentFrames.push_front(makeFrame(HelloType, encodeMessage(HelloMessage {ProtocolVersion, m_self})));
    watch(true);
}

void Link::send(FrameType type, std::string_view payload)
{
    if (m_closed) {
        return;
    }
    m_lastUsed = m_clock.now();
    recordSend();
    enqueueUrgent(type, payload);
}

void Link::enqueueUrgent(FrameType type, std::string_view payload)
{
    if (m_isSendingFinished) {
        return;
    }
    m_urgentFrames.push_back(makeFrame(type, payload));
    scheduleFlush();
}

void Link::recordSend()
{
    if (m_sentSinceLastReceive) {
        return;
    }
    m_sentSinceLastReceive = true;
    if (!isRetained()) {
        m_silentSince = m_clock.now();
    }
}

void Link::sendBulk(StreamId stream, FrameType type, std::string_view payload, const BulkPriority &priority)
{
    if (m_closed || m_isSendingFinished) {
        return;
    }
    m_lastUsed = m_clock.now();
    recordSend();
    std::deque<std::string> &frames = m_bulkFrames[stream];
    frames.push_back(makeFrame(type, payload));
    m_pacer.addQueuedBytes(frames.back().size());
    if (m_pacer.isLimited()) {
        m_pacer.add(*this, stream, priority);
    } else {
        scheduleFlush();
    }
}

void Link::expediteBulk()
{
    if (!m_closed) {
        m_pacer.expedite(*this);
    }
}

std::size_t Link::dropBulk(StreamId stream)
{
    std::size_t bytes = 0;
    while (hasBulk(stream)) {
        bytes += popBulkFrame(stream).size();
    }
    m_pacer.remove(*this, stream);
    return bytes;
}

bool Link::canSendBulk() const
{
    const bool isBatchWritten = m_writeOffset == m_writeBatch.size();
    return !m_closed && !m_connecting && isBatchWritten && m_admittedBulk.size() < LinkLimits::WriteBatchBytes;
}

std::size_t Link::admitBulkFrame(StreamId stream)
{
    const std::string frame = popBulkFrame(stream);
    m_admittedBulk += frame;
    scheduleFlush();
    return frame.size();
}

void Link::finishSending()
{
    if (!m_up) {
        close(ResultCode::LinkIdle);
        return;
    }
    if (!m_isSendingFinished) {
        m_isSendingFinished = true;
        flush();
    }
}

void Link::close(ResultCode reason)
{
    if (m_closed) {
        return;
    }
    m_closed = true;
    m_up = false;
    m_watcher.stop();
    m_socket.close();
    m_urgentFrames.clear();
    m_admittedBulk.clear();
    while (!m_bulkFrames.empty()) {
        m_lostBulkBytes += popBulkFrame(m_bulkFrames.begin()->first).size();
    }
    m_pacer.removeLink(*this);
    m_loop.post([self = shared_from_this(), reason] { self->m_handlers.onDown(self, reason); });
}

std::size_t Link::unacknowledgedBytes() const
{
    int bytes = 0;
    const bool isKnown = m_socket.isOpen() && ::ioctl(m_socket.get(), SIOCOUTQ, &bytes) == 0;
    return isKnown ? static_cast<std::size_t>(bytes) : 0;
}

void Link::retain()
{
    ++m_retainCount;
    m_lastUsed = m_clock.now();
    if (m_retainCount == 1 && !m_sentSinceLastReceive) {
        restartSilence();
    }
}

void Link::release()
{
    assert(m_retainCount > 0 && "release() without retain()");
    --m_retainCount;
    m_lastUsed = m_clock.now();
}

void Link::restartSilence()
{
    m_silentSince = m_clock.now();
}

void Link::sendHeartbeat()
{
    if (m_closed) {
        return;
    }
    enqueueUrgent(HeartbeatType, {});
}

void Link::watch(bool writable)
{
    m_watcher.start(m_socket.get(), writable ? (EV_READ | EV_WRITE) : EV_READ);
}

void Link::onIo(int events)
{
    const auto self = shared_from_this();
    if (m_connecting) {
        finishConnect();
    }
    if (!m_closed && (events & EV_READ) != 0) {
        readAvailable();
    }
    if (!m_closed && (events & EV_WRITE) != 0) {
        flush();
    }
}

void Link::finishConnect()
{
    int error = 0;
    socklen_t size = sizeof(error);
    ::getsockopt(m_socket.get(), SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) {
        m_socketError = error;
        close(error == ECONNREFUSED ? ResultCode::LinkRefused : ResultCode::LinkLost);
        return;
    }
    m_connecting = false;
}

void Link::readAvailable()
{
    std::array<char, ReadChunkBytes> buffer; // NOLINT: filled by recv
    for (int i = 0; i < MaxReadsPerWakeup && !m_closed; ++i) {
        const ssize_t size = ::recv(m_socket.get(), buffer.data(), buffer.size(), 0);
        if (size < 0 && wouldBlock(errno)) {
            return;
        }
        if (size <= 0) {
            m_socketError = size < 0 ? errno : 0;
            close(ResultCode::LinkLost);
            return;
        }
        m_silentSince = m_clock.now();
        m_sentSinceLastReceive = false;
        m_receiveBuffer.append(buffer.data(), static_cast<std::size_t>(size));
        if (!parseFrames()) {
            return;
        }
        if (static_cast<std::size_t>(size) < buffer.size()) {
            return;
        }
    }
}

bool Link::parseFrames()
{
    std::size_t offset = 0;
    while (!m_closed && m_receiveBuffer.size() - offset >= HeaderBytes) {
        std::uint32_t length = 0;
        std::memcpy(&length, m_receiveBuffer.data() + offset, HeaderBytes);
        if (length == 0 || length > LinkLimits::MaxFrameBytes) {
            close(ResultCode::FrameTooLarge);
            return false;
        }
        if (m_receiveBuffer.size() - offset - HeaderBytes < length) {
            break;
        }
        const auto type = static_cast<FrameType>(m_receiveBuffer[offset + HeaderBytes]);
        const std::string_view payload(m_receiveBuffer.data() + offset + HeaderBytes + 1, length - 1);
        offset += HeaderBytes + length;
        handleFrame(type, payload);
    }
    m_receiveBuffer.erase(0, offset);
    if (m_helloReceived && !m_up && !m_closed) {
        try {
            comeUp();
        } catch (const ResultError &error) {
            close(error.code());
        }
    }
    return !m_closed;
}

void Link::handleFrame(FrameType type, std::string_view payload)
{
    try {
        if (type == HelloType) {
            handleHello(payload);
            return;
        }
        if (!m_helloReceived) {
            throw ResultError(ResultCode::FrameMalformed, "frame before the hello");
        }
        if (type == HeartbeatAckType) {
            m_peerFeatures = payload.empty() ? m_peerFeatures : static_cast<std::uint8_t>(payload.front());
            return;
        }
        if (!m_up) {
            comeUp();
        }
        if (type == HeartbeatType) {
            m_lastUsed = m_clock.now(); // the peer retains the link
            enqueueUrgent(HeartbeatAckType, {});
            return;
        }
        m_lastUsed = m_clock.now();
        m_handlers.onFrame(shared_from_this(), type, payload);
    } catch (const ResultError &error) {
        close(error.code());
    }
}

void Link::handleHello(std::string_view payload)
{
    const auto hello = decodeMessage<HelloMessage>(payload, ResultCode::FrameMalformed);
    if (m_helloReceived || hello.version != ProtocolVersion) {
        throw ResultError(ResultCode::FrameMalformed, "unexpected hello");
    }
    if (hello.identity.host.value().empty()) {
        throw ResultError(ResultCode::FrameMalformed, "hello without a host");
    }
    if (m_outgoing && hello.identity.host != m_peer.host) {
        throw ResultError(ResultCode::LinkWrongPeer, hello.identity.host.value());
    }
    m_peer = hello.identity;
    m_helloReceived = true;
}

void Link::comeUp()
{
    m_up = true;
    m_handlers.onUp(shared_from_this());
}

void Link::scheduleFlush()
{
    if (m_flushScheduled || m_connecting || m_closed) {
        return;
    }
    m_flushScheduled = true;
    m_loop.post([self = shared_from_this()] {
        self->m_flushScheduled = false;
        self->flush();
    });
}

void Link::fillWriteBatch()
{
    m_writeBatch.clear();
    m_writeOffset = 0;
    while (!m_urgentFrames.empty() && m_writeBatch.size() < LinkLimits::WriteBatchBytes) {
        m_writeBatch += m_urgentFrames.front();
        m_urgentFrames.pop_front();
    }
    if (m_pacer.isLimited()) {
        m_pacer.addUnscheduledBytes(m_writeBatch.size());
        m_writeBatch += std::exchange(m_admittedBulk, {});
        return;
    }
    while (!m_bulkFrames.empty() && m_writeBatch.size() < LinkLimits::WriteBatchBytes) {
        auto queue = m_bulkFrames.upper_bound(m_lastServedStream);
        if (queue == m_bulkFrames.end()) {
            queue = m_bulkFrames.begin();
        }
        m_lastServedStream = queue->first;
        m_writeBatch += popBulkFrame(queue->first);
    }
}

std::string Link::popBulkFrame(StreamId stream)
{
    const auto found = m_bulkFrames.find(stream);
    assert(found != m_bulkFrames.end() && "the stream has no queued frame");
    std::string frame = std::move(found->second.front());
    m_pacer.removeQueuedBytes(frame.size());
    found->second.pop_front();
    if (found->second.empty()) {
        m_bulkFrames.erase(found);
    }
    return frame;
}

void Link::flush()
{
    if (m_closed || m_connecting) {
        return;
    }
    while (true) {
        if (m_writeOffset == m_writeBatch.size()) {
            fillWriteBatch();
        }
        if (m_writeBatch.empty()) {
            if (m_isSendingFinished && m_bulkFrames.empty()) {
                ::shutdown(m_socket.get(), SHUT_WR);
            }
            watch(false);
            m_pacer.wakeUp();
            return;
        }
        const ssize_t size = ::send(m_socket.get(), m_writeBatch.data() + m_writeOffset,
                                    m_writeBatch.size() - m_writeOffset, MSG_NOSIGNAL);
        if (size < 0 && wouldBlock(errno)) {
            watch(true);
            return;
        }
        if (size < 0) {
            m_socketError = errno;
            // What the peer sent before it closed the connection has arrived.
            readAvailable();
            close(ResultCode::LinkLost);
            return;
        }
        m_writeOffset += static_cast<std::size_t>(size);
    }
}

} // namespace jasminemast
