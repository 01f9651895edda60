// Requests and connections that exceed a limit of the server: refusing, evicting and closing them.
#include "jasminemast/net/httpserver.h"

#include "connectionmemory.h"
#include "mhdconnection.h"

#include <sys/socket.h>

namespace jasminemast
{

namespace
{

/// Interval of checks for slow connections; short compared to the configured timeouts, which are seconds.
constexpr Milliseconds SlowSweepInterval {500};
/// Receive buffers of connections: the kernel would let them grow to megabytes. A buffer below the largest segment, 64
/// KiB on loopback, makes the kernel announce windows of zero. That of an upload holds what arrives between two regions
/// while the caller waits for an acknowledgement.
constexpr int ReceiveBufferBytes = 64 << 10;
constexpr int UploadReceiveBufferBytes = 256 << 10;
/// A caller has this long to read an early response before its connection is closed.
constexpr Milliseconds LingerTime {1'000};
/// When a caller that was refused for want of memory may come back: incomplete uploads are ended within a few seconds.
constexpr const char *MemoryRetryAfterSeconds = "1";
constexpr unsigned StatusBadRequest = 400;
constexpr unsigned StatusContentTooLarge = 413;
constexpr unsigned StatusHeadTooLarge = 431;
constexpr unsigned StatusUnavailable = 503;
/// Written directly to the socket, as libmicrohttpd accepts no response before the request's headers are complete.
constexpr std::string_view TooSlowResponse
    = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

unsigned httpStatus(ResultCode refusal)
{
    switch (refusal) {
    case ResultCode::RequestTooLarge:
        return StatusContentTooLarge;
    case ResultCode::RequestHeadTooLarge:
        return StatusHeadTooLarge;
    case ResultCode::MemoryShort:
        return StatusUnavailable;
    default:
        return StatusBadRequest;
    }
}

/// The number of sweeps after which at least \p limit has passed.
int sweepCountFor(Milliseconds limit)
{
    return static_cast<int>(limit / SlowSweepInterval) + 1;
}

HttpHeaders refusalHeaders(ResultCode code)
{
    HttpHeaders headers = {{"Jasminemast-Outcome", "not-run"}, {"Jasminemast-Code", std::to_string(number(code))}};
    if (code == ResultCode::MemoryShort) {
        headers.push_back({"Retry-After", MemoryRetryAfterSeconds});
    }
    return headers;
}

std::string refusalText(ResultCode code)
{
    return std::string(resultInfo(code).text) + "\n";
}

void setReceiveBuffer(MHD_Connection *connection, int bytes)
{
    ::setsockopt(descriptorOf(connection), SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
}

} // namespace

void HttpServer::sweepForSlowConnections()
{
    if (m_connections.empty()) {
        return;
    }
    m_slowSweepTimer.start(SlowSweepInterval);
    for (auto &[connection, state] : m_connections) {
        closeIfTooSlow(connection, state);
    }
    // libmicrohttpd notices closed connections only when it runs.
    scheduleRun();
}

void HttpServer::closeIfTooSlow(MHD_Connection *connection, Connection &state)
{
    const auto open = m_openExchanges.find(connection);
    if (open != m_openExchanges.end() && open->second->m_dispatched) {
        checkUpload(*open->second, state);
        return;
    }
    const bool isReadingHead = open != m_openExchanges.end() && open->second->m_request.method.empty();
    const Milliseconds limit = isReadingHead ? m_limits.headTimeout : m_limits.idleTimeout;
    if (++state.sweepsSinceActivity <= sweepCountFor(limit)) {
        return;
    }
    if (open != m_openExchanges.end()) {
        refuseSlowRequest(connection);
        return;
    }
    ::shutdown(descriptorOf(connection), SHUT_RDWR);
}

void HttpServer::checkUpload(HttpExchange &exchange, Connection &state)
{
    if (!exchange.isWaitingForBody()) {
        state.sweepsSinceActivity = 0;
        return;
    }
    if (++state.sweepsSinceActivity <= sweepCountFor(exchange.m_isLingering ? LingerTime : m_limits.uploadTimeout)) {
        return;
    }
    if (exchange.m_isLingering || exchange.m_discardsUpload) {
        ::shutdown(descriptorOf(exchange.m_connection), SHUT_RDWR);
        return;
    }
    m_onRefusal(ResultCode::RequestTooSlow);
    exchange.failUpload(ResultCode::RequestTooSlow);
}

void HttpServer::refuseSlowRequest(MHD_Connection *connection)
{
    const int descriptor = descriptorOf(connection);
    // Best effort: the caller may have disconnected.
    (void)::send(descriptor, TooSlowResponse.data(), TooSlowResponse.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    ::shutdown(descriptor, SHUT_RDWR);
    m_onRefusal(ResultCode::RequestTooSlow);
}

void HttpServer::beginUpload(HttpExchange &exchange)
{
    std::vector<MHD_Connection *> evicted;
    if (!m_memory->beginUpload(exchange.m_connection, evicted)) {
        exchange.m_refusal = ResultCode::MemoryShort;
        refuse(exchange);
        return;
    }
    evict(evicted);
    if (m_memory->isCounting()) {
        setReceiveBuffer(exchange.m_connection, UploadReceiveBufferBytes);
    }
    exchange.m_isUpload = true;
    exchange.m_dispatched = true;
    dispatch(exchange.shared_from_this());
}

void HttpServer::countBody(HttpExchange &exchange)
{
    std::vector<MHD_Connection *> evicted;
    const bool isGranted = m_memory->setBodySize(exchange.m_connection, exchange.m_request.body.size(), evicted);
    evict(evicted);
    if (!isGranted) {
        exchange.m_refusal = ResultCode::MemoryShort;
        refuse(exchange);
    }
}

void HttpServer::refuse(HttpExchange &exchange)
{
    const ResultCode code = exchange.m_refusal;
    m_onRefusal(code);
    if (code == ResultCode::MemoryShort) {
        exchange.respondEarly(httpStatus(code), refusalHeaders(code), refusalText(code));
        onRequestOver(exchange);
        return;
    }
    exchange.respond(httpStatus(code), refusalHeaders(code), refusalText(code));
}

void HttpServer::evict(const std::vector<MHD_Connection *> &connections)
{
    for (MHD_Connection *connection : connections) {
        const auto open = m_openExchanges.find(connection);
        const bool isIdle = open == m_openExchanges.end();
        if (m_onEvicted) {
            m_onEvicted({isIdle, isIdle ? 0 : open->second->m_request.body.size()});
        }
        if (!isIdle && !open->second->m_responded) {
            open->second->m_refusal = ResultCode::MemoryShort;
            open->second->respondEarly(StatusUnavailable, refusalHeaders(ResultCode::MemoryShort),
                                       refusalText(ResultCode::MemoryShort));
        }
        close(connection);
    }
}

void HttpServer::onConnectionStarted(MHD_Connection *connection)
{
    m_connections.emplace(connection, Connection {});
    if (!m_slowSweepTimer.isActive()) {
        m_slowSweepTimer.start(SlowSweepInterval);
    }
    if (!m_memory->isCounting()) {
        return;
    }
    setReceiveBuffer(connection, ReceiveBufferBytes);
    std::vector<MHD_Connection *> evicted;
    if (!m_memory->add(connection, evicted)) {
        close(connection);
    }
    evict(evicted);
}

bool HttpServer::isClosing(MHD_Connection *connection) const
{
    const auto found = m_connections.find(connection);
    return found != m_connections.end() && found->second.isClosing;
}

void HttpServer::close(MHD_Connection *connection)
{
    const auto found = m_connections.find(connection);
    if (found != m_connections.end()) {
        found->second.isClosing = true;
    }
    ::shutdown(descriptorOf(connection), SHUT_RDWR);
}

void HttpServer::onRequestOver(const HttpExchange &exchange)
{
    MHD_Connection *connection = exchange.m_connection;
    if (exchange.m_isUpload && m_memory->isCounting()) {
        setReceiveBuffer(connection, ReceiveBufferBytes);
    }
    // Callers that never pause would keep all others out.
    const bool isShort = !m_memory->canAdd();
    std::vector<MHD_Connection *> evicted;
    if (!m_memory->endWork(connection, evicted) || isShort) {
        close(connection);
    }
    evict(evicted);
}

} // namespace jasminemast
