// Drives libmicrohttpd in external epoll mode from libev.
#include "jasminemast/net/httpserver.h"

#include "connectionmemory.h"
#include "mhdconnection.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdarg>
#include <cstring>
#include <utility>

namespace jasminemast
{

namespace
{

constexpr Milliseconds DisconnectSweepInterval {20};
/// A caller that reads nothing of its response for this long is disconnected; twice the longest usual caller timeout.
constexpr unsigned UnreadResponseTimeoutSeconds = 120;
constexpr std::size_t ConnectionMemoryBytes = 64 << 10;
/// One of so many connections is kept free, so that a new one can take the place of one that is being closed.
constexpr unsigned SpareConnectionShare = 16;
/// Start of libmicrohttpd's log message about a request that it refuses itself.
constexpr std::string_view RefusalLogPrefix = "Error processing request";

std::size_t headBytes(const HttpRequest &request)
{
    constexpr std::size_t SeparatorBytes = 4; // colon, space and line end
    std::size_t bytes = request.method.size() + request.target.size();
    for (const HttpHeader &header : request.headers) {
        bytes += header.name.size() + header.value.size() + SeparatorBytes;
    }
    return bytes;
}

MHD_Result appendHeader(void *target, MHD_ValueKind /*kind*/, const char *name, const char *value)
{
    auto *headers = static_cast<HttpHeaders *>(target);
    headers->push_back({name, value == nullptr ? "" : value});
    return MHD_YES;
}

} // namespace

/// The C callbacks that libmicrohttpd calls.
struct HttpServerCallbacks
{
    static void *onUri(void *server, const char *uri, MHD_Connection *connection)
    {
        auto *self = static_cast<HttpServer *>(server);
        const auto exchange = std::make_shared<HttpExchange>(*self, connection);
        exchange->m_request.target = uri;
        self->m_openExchanges.insert_or_assign(connection, exchange);
        self->recordActivity(connection);
        return exchange.get();
    }

    static MHD_Result onRequest(void * /*server*/, MHD_Connection *connection, const char * /*url*/, const char *method,
                                const char *version, const char *data, std::size_t *size, void **context)
    {
        const auto exchange = static_cast<HttpExchange *>(*context)->shared_from_this();
        HttpRequest &request = exchange->m_request;
        if (request.method.empty()) {
            if (exchange->m_server.isClosing(connection)) {
                return MHD_NO;
            }
            request.method = method;
            exchange->m_takesChunks = std::string_view(version) != MHD_HTTP_VERSION_1_0;
            MHD_get_connection_values(connection, MHD_HEADER_KIND, &appendHeader, &request.headers);
            checkHead(*exchange);
            return MHD_YES;
        }
        if (*size > 0) {
            return exchange->onBodyBytes({data, std::exchange(*size, 0)}) ? MHD_YES : MHD_NO;
        }
        if (exchange->m_server.m_stopping) {
            return MHD_NO;
        }
        return exchange->onBodyEnd() ? MHD_YES : MHD_NO;
    }

    /// Refuses invalid headers, and a too large Content-Length; the response is sent before the body arrives.
    static void checkHead(HttpExchange &exchange)
    {
        if (!exchange.m_request.target.starts_with("/")) {
            exchange.m_refusal = ResultCode::BadRequest;
        } else if (headBytes(exchange.m_request) > exchange.m_server.m_limits.maxHeadBytes) {
            exchange.m_refusal = ResultCode::RequestHeadTooLarge;
        } else if (requestBodyLength(exchange.m_request.headers) > exchange.m_server.m_limits.maxBodyBytes) {
            exchange.m_refusal = ResultCode::RequestTooLarge;
        }
        if (exchange.m_refusal != ResultCode::Ok) {
            exchange.m_dispatched = true;
            exchange.m_server.refuse(exchange);
        }
    }

    /// libmicrohttpd responds to malformed requests itself and reports them only through its log.
    static void onLog(void *server, const char *format, va_list /*arguments*/)
    {
        if (std::string_view(format).starts_with(RefusalLogPrefix)) {
            static_cast<HttpServer *>(server)->m_onRefusal(ResultCode::BadRequest);
        }
    }

    static MHD_Result onAccept(void *server, const sockaddr * /*address*/, socklen_t /*size*/)
    {
        auto *self = static_cast<HttpServer *>(server);
        if (self->m_memory->canAdd()) {
            return MHD_YES;
        }
        self->m_onRefusal(ResultCode::MemoryShort);
        return MHD_NO;
    }

    /// A request that libmicrohttpd refuses itself gets no completion callback; its exchange ends with the connection.
    static void onConnection(void *server, MHD_Connection *connection, void ** /*context*/,
                             MHD_ConnectionNotificationCode code)
    {
        auto *self = static_cast<HttpServer *>(server);
        if (code == MHD_CONNECTION_NOTIFY_STARTED) {
            self->onConnectionStarted(connection);
            return;
        }
        self->m_memory->remove(connection);
        self->m_connections.erase(connection);
        self->onConnectionClosed(connection);
    }

    static void onCompleted(void *server, MHD_Connection *connection, void **context, MHD_RequestTerminationCode code)
    {
        if (*context == nullptr) {
            return;
        }
        const auto exchange = static_cast<HttpExchange *>(*context)->shared_from_this();
        *context = nullptr;
        auto *self = static_cast<HttpServer *>(server);
        self->m_openExchanges.erase(connection);
        self->recordActivity(connection);
        self->onRequestOver(*exchange);
        exchange->onCompleted(code == MHD_REQUEST_TERMINATED_COMPLETED_OK);
    }
};

HttpServer::HttpServer(Loop &loop, const SocketAddress &localAddress, HttpServerLimits limits, Handler handler,
                       RefusalHandler onRefusal, HttpServerMemory memory)
    : m_loop(loop)
    , m_limits(limits)
    , m_handler(std::move(handler))
    , m_onRefusal(std::move(onRefusal))
    , m_onEvicted(std::move(memory.onEvicted))
    , m_memory(std::make_unique<ConnectionMemory>(
          memory.budget, m_limits.maxConnections - m_limits.maxConnections / SpareConnectionShare))
    , m_watcher(loop, [this](int) { run(); })
    , m_disconnectSweepTimer(loop, [this] { sweepForDisconnects(); })
    , m_timer(loop, [this] { run(); })
    , m_slowSweepTimer(loop, [this] { sweepForSlowConnections(); })
{
    const sockaddr_in system = toSystemAddress(localAddress);
    m_daemon = MHD_start_daemon(
        MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ERROR_LOG, localAddress.port, &HttpServerCallbacks::onAccept,
        this, &HttpServerCallbacks::onRequest, this, MHD_OPTION_SOCK_ADDR, &system, MHD_OPTION_URI_LOG_CALLBACK,
        &HttpServerCallbacks::onUri, this, MHD_OPTION_EXTERNAL_LOGGER, &HttpServerCallbacks::onLog, this,
        MHD_OPTION_NOTIFY_CONNECTION, &HttpServerCallbacks::onConnection, this, MHD_OPTION_NOTIFY_COMPLETED,
        &HttpServerCallbacks::onCompleted, this, MHD_OPTION_CONNECTION_LIMIT, m_limits.maxConnections,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, ConnectionMemoryBytes, MHD_OPTION_CONNECTION_TIMEOUT,
        UnreadResponseTimeoutSeconds, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
    if (m_daemon == nullptr) {
        throw ResultError(ResultCode::BindFailed, "HTTP " + localAddress.toString() + ": " + std::strerror(errno));
    }
    const auto *info = MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_EPOLL_FD);
    m_watcher.start(info->epoll_fd, EV_READ);
}

HttpServer::~HttpServer()
{
    m_watcher.stop();
    m_stopping = true;
    // Closing a connection may evict another.
    m_onEvicted = nullptr;
    const auto open = m_openExchanges;
    for (const auto &[connection, exchange] : open) {
        exchange->m_onCancelled = nullptr;
        exchange->abort();
    }
    MHD_run(m_daemon);
    MHD_stop_daemon(m_daemon);
}

void HttpServer::stopAccepting()
{
    if (m_quiesced) {
        return;
    }
    acceptPending();
    m_quiesced = true;
    const MHD_socket listener = MHD_quiesce_daemon(m_daemon);
    if (listener != MHD_INVALID_SOCKET) {
        ::close(listener);
    }
}

void HttpServer::acceptPending()
{
    // Each run accepts a few connections; more callers than these may not keep the listener open.
    constexpr int MaxRuns = 100;
    const auto *info = MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_LISTEN_FD);
    pollfd listener {info->listen_fd, POLLIN, 0};
    for (int i = 0; i < MaxRuns && poll(&listener, 1, 0) > 0; ++i) {
        run();
    }
}

std::size_t HttpServer::unsentBytes() const
{
    std::size_t bytes = 0;
    for (const auto &[connection, exchange] : m_openExchanges) {
        bytes += exchange->unsentBytes();
    }
    return bytes;
}

void HttpServer::closeIdleConnections()
{
    // Requests that have arrived already are read first.
    run();
    for (const auto &[connection, state] : m_connections) {
        if (m_openExchanges.contains(connection)) {
            continue;
        }
        ::shutdown(descriptorOf(connection), SHUT_RDWR);
    }
}

void HttpServer::setLimits(const HttpServerLimits &limits)
{
    m_limits = limits;
}

void HttpServer::recordActivity(MHD_Connection *connection)
{
    const auto found = m_connections.find(connection);
    if (found != m_connections.end()) {
        found->second.sweepsSinceActivity = 0;
    }
    m_memory->recordActivity(connection);
}

void HttpServer::scheduleDisconnectSweep()
{
    if (!m_disconnectSweepTimer.isActive()) {
        m_disconnectSweepTimer.start(DisconnectSweepInterval);
    }
}

void HttpServer::sweepForDisconnects()
{
    for (const auto &[connection, exchange] : m_openExchanges) {
        exchange->watchForDisconnect();
    }
}

void HttpServer::scheduleRun()
{
    if (m_runScheduled) {
        return;
    }
    m_runScheduled = true;
    m_loop.post([this] { run(); });
}

void HttpServer::run()
{
    m_runScheduled = false;
    MHD_run(m_daemon);
    MHD_UNSIGNED_LONG_LONG timeout = 0;
    if (MHD_get_timeout(m_daemon, &timeout) == MHD_YES) {
        m_timer.start(Milliseconds(timeout));
    } else {
        m_timer.stop();
    }
}

void HttpServer::dispatch(const std::shared_ptr<HttpExchange> &exchange)
{
    std::vector<MHD_Connection *> evicted;
    m_memory->beginWork(exchange->m_connection, evicted);
    evict(evicted);
    m_loop.post([this, exchange] {
        // The caller of an upload may have left.
        if (!exchange->isOver()) {
            m_handler(exchange);
        }
    });
}

void HttpServer::onConnectionClosed(MHD_Connection *connection)
{
    const auto found = m_openExchanges.find(connection);
    if (found == m_openExchanges.end()) {
        return;
    }
    const auto exchange = found->second;
    m_openExchanges.erase(found);
    exchange->onCompleted(false);
}

} // namespace jasminemast
