// Connecting, sending and reading on one connection to a target.
#include "targetconnection.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <functional>
#include <utility>

namespace jasminemast
{

namespace
{

constexpr std::size_t ReadBytes = 16U << 10U;
constexpr int KeepAliveIdleSeconds = 1;
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbes = 2;
constexpr int UnacknowledgedDataTimeoutMilliseconds = 2'000; // equals the total time of the keep-alive probes

/// Makes the kernel close a connection whose peer stopped responding, before the transfer's timeout expires.
void setSocketOptions(int descriptor)
{
    const auto set = [descriptor](int level, int name, int value) {
        ::setsockopt(descriptor, level, name, &value, sizeof(value));
    };
    set(IPPROTO_TCP, TCP_NODELAY, 1);
    set(SOL_SOCKET, SO_KEEPALIVE, 1);
    set(IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdleSeconds);
    set(IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveIntervalSeconds);
    set(IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
    set(IPPROTO_TCP, TCP_USER_TIMEOUT, UnacknowledgedDataTimeoutMilliseconds);
}

bool hasRequestBody(const TargetClientRequest &request)
{
    return request.isUpload || !request.body.empty() || (request.method != "GET" && request.method != "HEAD");
}

std::string requestHead(const TargetClientRequest &request)
{
    std::string head = request.method + " " + request.target + " HTTP/1.1\r\n";
    if (findHeader(request.headers, "Host") == nullptr) {
        head += "Host: " + request.address.toString() + "\r\n";
    }
    for (const HttpHeader &header : request.headers) {
        head += header.name + ": " + header.value + "\r\n";
    }
    if (request.isUpload && !request.uploadLength) {
        head += "Transfer-Encoding: chunked\r\n";
    } else if (request.isUpload) {
        head += "Content-Length: " + std::to_string(*request.uploadLength) + "\r\n";
    } else if (hasRequestBody(request)) {
        head += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    }
    return head + "\r\n";
}

/// The timeout that a Keep-Alive header names.
std::optional<Milliseconds> keepAliveTimeout(const HttpHeaders &headers)
{
    constexpr std::string_view Parameter = "timeout=";
    const std::string *value = findHeader(headers, "Keep-Alive");
    const std::size_t start = value == nullptr ? std::string::npos : value->find(Parameter);
    if (start == std::string::npos) {
        return std::nullopt;
    }
    std::uint32_t seconds = 0;
    const char *first = value->data() + start + Parameter.size();
    const auto [end, error] = std::from_chars(first, value->data() + value->size(), seconds);
    return error == std::errc() ? std::optional<Milliseconds>(std::chrono::seconds(seconds)) : std::nullopt;
}

} // namespace

TargetConnection::TargetConnection(TargetClient &client, SocketAddress address)
    : m_client(client)
    , m_address(std::move(address))
    , m_watcher(client.m_loop, [this](int events) { onIo(events); })
    , m_connectTimer(client.m_loop,
                     [this] {
                         const auto self = shared_from_this();
                         fail(ResultCode::HttpTransferFailed, "no connection in time");
                     })
    , m_parser({[this](unsigned status, const HttpHeaders &headers, std::optional<std::uint64_t> length) {
                    handleHead(status, headers, length);
                },
                [this](std::string_view bytes) {
                    handleBody(bytes);
                }})
    , m_keepAlive(client.m_limits.maxIdleTime)
{
}

void TargetConnection::run(const std::shared_ptr<TargetTransfer> &transfer)
{
    m_transfer = transfer;
    if (const std::string *id = requestId(transfer->m_request)) {
        m_carriedIds.push_back(std::hash<std::string> {}(*id));
    }
    m_head = requestHead(transfer->m_request);
    m_headWritten = 0;
    m_bodyWritten = 0;
    m_sendError.clear();
    m_receivedSome = false;
    m_isForeign = false;
    m_foreignResponses = 0;
    m_foreignBytes = 0;
    m_parser.begin(transfer->m_request.method != "HEAD");
    if (!m_socket.isOpen()) {
        connect();
        return;
    }
    flush();
}

void TargetConnection::connect()
{
    const auto failLater = [this](const std::string &detail) {
        m_client.m_loop.post(
            [self = shared_from_this(), detail] { self->fail(ResultCode::HttpTransferFailed, detail); });
    };
    sockaddr_in system {};
    try {
        system = toSystemAddress(m_address);
    } catch (const ResultError &error) {
        failLater(error.detail());
        return;
    }
    m_socket = Descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!m_socket.isOpen()) {
        failLater(std::strerror(errno));
        return;
    }
    setSocketOptions(m_socket.get());
    if (::connect(m_socket.get(), reinterpret_cast<const sockaddr *>(&system), sizeof(system)) != 0
        && errno != EINPROGRESS) {
        failLater(std::strerror(errno));
        return;
    }
    m_connecting = true;
    m_connectTimer.start(m_transfer->m_request.connectTimeout);
    watch();
}

void TargetConnection::onIo(int events)
{
    const auto self = shared_from_this();
    if (m_transfer == nullptr) {
        // Whatever arrives on an idle connection belongs to no request.
        close();
        return;
    }
    if (m_connecting) {
        finishConnect();
        return;
    }
    if ((events & EV_WRITE) != 0) {
        flush();
    }
    if ((events & EV_READ) != 0 && m_transfer != nullptr) {
        readAvailable();
    }
}

void TargetConnection::finishConnect()
{
    int error = 0;
    socklen_t size = sizeof(error);
    ::getsockopt(m_socket.get(), SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) {
        fail(ResultCode::HttpTransferFailed, std::strerror(error));
        return;
    }
    m_connecting = false;
    m_connectTimer.stop();
    flush();
}

std::size_t TargetConnection::unwrittenBytes() const
{
    return m_head.size() - m_headWritten + m_transfer->m_request.body.size() - m_bodyWritten;
}

void TargetConnection::writeMore()
{
    if (m_socket.isOpen() && !m_connecting && m_sendError.empty()) {
        flush();
    }
}

void TargetConnection::flush()
{
    std::string &body = m_transfer->m_request.body;
    while (unwrittenBytes() > 0) {
        std::array<iovec, 2> pieces {};
        msghdr message {};
        message.msg_iov = pieces.data();
        pieces[0] = {m_head.data() + m_headWritten, m_head.size() - m_headWritten};
        pieces[1] = {body.data() + m_bodyWritten, body.size() - m_bodyWritten};
        message.msg_iovlen = pieces.size();
        const ssize_t size = ::sendmsg(m_socket.get(), &message, MSG_NOSIGNAL);
        if (size < 0 && errno == EINTR) {
            continue;
        }
        if (size < 0 && errno != EAGAIN) {
            // The target may have responded before it closed the connection; reading ends after what has arrived.
            m_sendError = std::strerror(errno);
            ::shutdown(m_socket.get(), SHUT_RDWR);
            break;
        }
        if (size < 0) {
            break;
        }
        if (!std::exchange(m_transfer->m_requestSent, true)) {
            m_sentAt = m_client.m_clock.now();
        }
        const std::size_t headBytes = std::min(static_cast<std::size_t>(size), pieces[0].iov_len);
        m_headWritten += headBytes;
        m_bodyWritten += static_cast<std::size_t>(size) - headBytes;
    }
    if (m_transfer->m_request.isUpload && !body.empty() && m_bodyWritten == body.size()) {
        body.clear();
        m_bodyWritten = 0;
        m_client.m_loop.post([transfer = m_transfer] {
            const auto handlers = transfer->m_handlers;
            if (handlers->onBodyWritten) {
                handlers->onBodyWritten();
            }
        });
    }
    watch();
}

void TargetConnection::readAvailable()
{
    std::array<char, ReadBytes> buffer;
    const ssize_t size = ::recv(m_socket.get(), buffer.data(), buffer.size(), 0);
    if (size < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (size < 0) {
        fail(ResultCode::HttpTransferFailed, std::strerror(errno));
        return;
    }
    if (size == 0 && !m_sendError.empty()) {
        fail(ResultCode::HttpTransferFailed, m_sendError);
        return;
    }
    if (size == 0) {
        try {
            m_parser.parseEnd();
        } catch (const ResultError &error) {
            fail(error.code(), error.detail());
            return;
        }
        m_socket.close();
        finishResponse();
        return;
    }
    m_receivedSome = true;
    m_input.append(buffer.data(), static_cast<std::size_t>(size));
    processInput();
}

void TargetConnection::processInput()
{
    while (m_transfer != nullptr && !m_input.empty()) {
        try {
            m_input.erase(0, m_parser.parse(m_input));
        } catch (const ResultError &error) {
            fail(error.code(), error.detail());
            return;
        }
        if (m_transfer != nullptr && m_foreignBytes > m_client.m_limits.maxForeignBytes) {
            fail(ResultCode::AnswerForeign, "response to another request without end");
            return;
        }
        if (m_transfer == nullptr || !m_parser.isComplete()) {
            break;
        }
        finishResponse();
    }
    if (m_transfer != nullptr) {
        watch();
    }
}

void TargetConnection::handleHead(unsigned status, const HttpHeaders &headers, std::optional<std::uint64_t> length)
{
    if (m_transfer == nullptr) {
        return;
    }
    m_isForeign = isForeign(headers);
    const auto handlers = m_transfer->m_handlers;
    if (m_isForeign) {
        ++m_foreignResponses;
        if (handlers->onForeignResponse) {
            handlers->onForeignResponse();
        }
        return;
    }
    if (const auto timeout = keepAliveTimeout(headers)) {
        m_keepAlive = *timeout - m_client.m_limits.keepAliveMargin;
    }
    if (handlers->onHead) {
        handlers->onHead(status, headers, length);
    }
}

bool TargetConnection::isForeign(const HttpHeaders &headers) const
{
    const TargetClientRequest &request = m_transfer->m_request;
    const std::string *own = requestId(request);
    if (own == nullptr) {
        return false;
    }
    const std::string *id = findHeader(headers, request.requestIdHeader);
    // Without id, it may be a late copy of an earlier response unless there was none.
    return id == nullptr ? m_wasUsed : *id != *own;
}

void TargetConnection::handleBody(std::string_view bytes)
{
    if (m_transfer == nullptr) {
        return;
    }
    if (m_isForeign) {
        m_foreignBytes += bytes.size();
        return;
    }
    const auto handlers = m_transfer->m_handlers;
    if (handlers->onData) {
        handlers->onData(bytes);
    }
}

void TargetConnection::finishResponse()
{
    if (!m_isForeign) {
        // The transfer releases this connection.
        m_transfer->finish({ResultCode::Ok, "", true});
        return;
    }
    const TargetClientLimits &limits = m_client.m_limits;
    if (!m_socket.isOpen() || !m_parser.keepsConnection() || m_foreignResponses > limits.maxForeignResponses) {
        fail(ResultCode::AnswerForeign, "no response but those to other requests");
        return;
    }
    m_isForeign = false;
    m_parser.begin(m_transfer->m_request.method != "HEAD");
}

bool TargetConnection::wasStale() const
{
    return m_wasUsed && !m_receivedSome && !m_transfer->m_wasResent
        && (!m_transfer->m_requestSent
            || (!m_transfer->m_request.atMostOnce
                && m_client.m_clock.now() - m_sentAt < m_client.m_limits.staleResetTime));
}

void TargetConnection::fail(ResultCode code, std::string detail)
{
    if (m_transfer == nullptr) {
        close();
        return;
    }
    const auto transfer = m_transfer;
    if (wasStale()) {
        m_transfer = nullptr;
        close();
        transfer->m_wasResent = true;
        transfer->m_mayHaveArrivedBefore = transfer->m_requestSent;
        m_client.run(transfer, true);
        return;
    }
    transfer->finish({code, std::move(detail), transfer->m_requestSent});
}

void TargetConnection::release(bool isComplete)
{
    const bool isRequestWritten = m_transfer != nullptr && unwrittenBytes() == 0
        && (!m_transfer->m_request.isUpload || m_transfer->m_isBodyEnded);
    m_transfer = nullptr;
    const bool isReusable = isComplete && m_socket.isOpen() && m_input.empty() && m_parser.isComplete()
        && m_parser.keepsConnection() && isRequestWritten
        && m_carriedIds.size() < m_client.m_limits.maxRequestsPerConnection;
    if (!isReusable) {
        close();
        return;
    }
    m_wasUsed = true;
    m_idleSince = m_client.m_clock.now();
    watch();
    m_client.recycle(shared_from_this());
}

void TargetConnection::resume()
{
    m_client.m_loop.post([self = shared_from_this()] {
        if (self->m_transfer != nullptr && !self->m_transfer->m_paused) {
            self->processInput();
        }
    });
}

bool TargetConnection::canBeUsed(TimePoint now, Milliseconds maxIdleTime) const
{
    return m_socket.isOpen() && now - m_idleSince < std::min(maxIdleTime, m_keepAlive);
}

bool TargetConnection::mayHaveCarried(const std::string &id) const
{
    return std::find(m_carriedIds.begin(), m_carriedIds.end(), std::hash<std::string> {}(id)) != m_carriedIds.end();
}

void TargetConnection::watch()
{
    if (!m_socket.isOpen()) {
        return;
    }
    const bool isWriting = m_transfer != nullptr && m_sendError.empty() && (m_connecting || unwrittenBytes() > 0);
    const bool isReading = !m_connecting && (m_transfer == nullptr || !m_transfer->m_paused);
    const int events = (isReading ? EV_READ : 0) | (isWriting ? EV_WRITE : 0);
    if (events == 0) {
        m_watcher.stop();
    } else {
        m_watcher.start(m_socket.get(), events);
    }
}

void TargetConnection::close()
{
    m_watcher.stop();
    m_connectTimer.stop();
    m_connecting = false;
    m_socket.close();
}

} // namespace jasminemast
