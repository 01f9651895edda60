// libmicrohttpd in external-epoll mode, driven by libev.
#include "jasminemast/net/httpserver.h"

#include "mhdconnection.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cstdarg>
#include <cstring>
#include <utility>

namespace jasminemast
{

namespace
{

constexpr Milliseconds CloseWatchDelay {20};
/// Connections are looked at this often; short beside the times that operators set, which are seconds.
constexpr Milliseconds SweepInterval {500};
/// A caller that reads nothing of its answer for this long is cut off; twice the longest time-out of a usual caller.
constexpr unsigned UnreadAnswerSeconds = 120;
constexpr std::size_t ConnectionMemoryBytes = 64 << 10;

/// Body bytes beyond the limit that are still read, so that the caller sees its refusal; after them it is cut off.
constexpr std::size_t MaxDroppedBytes = 4 << 20;
constexpr unsigned StatusBadRequest = 400;
constexpr unsigned StatusContentTooLarge = 413;
constexpr unsigned StatusHeadTooLarge = 431;
/// How libmicrohttpd's log names a request that it refuses by itself.
constexpr std::string_view RefusalMessage = "Error processing request";
/// libmicrohttpd takes no answer before a request's headers are whole.
constexpr std::string_view TooSlowAnswer
    = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

bool announcesMoreThan(const HttpRequest &request, std::size_t limit)
{
    const std::string *text = findHeader(request.headers, "Content-Length");
    std::uint64_t length = 0;
    return text != nullptr && std::from_chars(text->data(), text->data() + text->size(), length).ec == std::errc()
        && length > limit;
}

std::size_t headBytes(const HttpRequest &request)
{
    constexpr std::size_t SeparatorBytes = 4; // colon, space and line end
    std::size_t bytes = request.method.size() + request.target.size();
    for (const HttpHeader &header : request.headers) {
        bytes += header.name.size() + header.value.size() + SeparatorBytes;
    }
    return bytes;
}

unsigned statusOf(ResultCode refusal)
{
    switch (refusal) {
    case ResultCode::RequestTooLarge:
        return StatusContentTooLarge;
    case ResultCode::RequestHeadTooLarge:
        return StatusHeadTooLarge;
    default:
        return StatusBadRequest;
    }
}

/// Sweeps after which at least \p limit has passed.
int sweepsFor(Milliseconds limit)
{
    return static_cast<int>(limit / SweepInterval) + 1;
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
        self->m_open.insert_or_assign(connection, exchange);
        self->noteActivity(connection);
        return exchange.get();
    }

    static MHD_Result onRequest(void * /*server*/, MHD_Connection *connection, const char * /*url*/, const char *method,
                                const char * /*version*/, const char *data, std::size_t *size, void **context)
    {
        const auto exchange = static_cast<HttpExchange *>(*context)->shared_from_this();
        HttpRequest &request = exchange->m_request;
        if (request.method.empty()) {
            request.method = method;
            MHD_get_connection_values(connection, MHD_HEADER_KIND, &appendHeader, &request.headers);
            checkHead(*exchange);
            return MHD_YES;
        }
        if (*size > 0) {
            takeBody(*exchange, std::string_view(data, *size));
            *size = 0;
            return exchange->m_droppedBytes > MaxDroppedBytes ? MHD_NO : MHD_YES;
        }
        if (exchange->m_server.m_stopping) {
            return MHD_NO;
        }
        if (!exchange->m_dispatched && exchange->m_refusal == ResultCode::Ok) {
            exchange->m_dispatched = true;
            exchange->suspend();
            exchange->m_server.dispatch(exchange);
        }
        if (!exchange->m_dispatched) {
            exchange->m_dispatched = true;
            exchange->m_server.refuse(*exchange);
        }
        return MHD_YES;
    }

    /// Refuses what the headers already show to be wrong; the answer goes out before the body comes in.
    static void checkHead(HttpExchange &exchange)
    {
        if (!exchange.m_request.target.starts_with("/")) {
            exchange.m_refusal = ResultCode::BadRequest;
        } else if (headBytes(exchange.m_request) > exchange.m_server.m_limits.maxHeadBytes) {
            exchange.m_refusal = ResultCode::RequestHeadTooLarge;
        } else if (announcesMoreThan(exchange.m_request, exchange.m_server.m_limits.maxBodyBytes)) {
            exchange.m_refusal = ResultCode::RequestTooLarge;
        }
        if (exchange.m_refusal != ResultCode::Ok) {
            exchange.m_dispatched = true;
            exchange.m_server.refuse(exchange);
        }
    }

    static void takeBody(HttpExchange &exchange, std::string_view bytes)
    {
        exchange.m_server.noteActivity(exchange.m_connection);
        if (exchange.m_request.body.size() + bytes.size() > exchange.m_server.m_limits.maxBodyBytes) {
            exchange.m_refusal = ResultCode::RequestTooLarge;
            exchange.m_droppedBytes += bytes.size();
            return;
        }
        exchange.m_request.body.append(bytes);
    }

    /// libmicrohttpd answers malformed requests by itself and reports them only to its log.
    static void onLog(void *server, const char *format, va_list /*arguments*/)
    {
        if (std::string_view(format).starts_with(RefusalMessage)) {
            static_cast<HttpServer *>(server)->m_onRefusal(ResultCode::BadRequest);
        }
    }

    /// A request that is refused by libmicrohttpd itself has no completion; its exchange ends with the connection.
    static void onConnection(void *server, MHD_Connection *connection, void ** /*context*/,
                             MHD_ConnectionNotificationCode code)
    {
        auto *self = static_cast<HttpServer *>(server);
        if (code == MHD_CONNECTION_NOTIFY_STARTED) {
            self->m_connections.emplace(connection, HttpServer::Connection {});
            if (!self->m_sweepTimer.isActive()) {
                self->m_sweepTimer.start(SweepInterval);
            }
            return;
        }
        self->m_connections.erase(connection);
        self->forgetConnection(connection);
    }

    static void onCompleted(void *server, MHD_Connection *connection, void **context, MHD_RequestTerminationCode code)
    {
        if (*context == nullptr) {
            return;
        }
        const auto exchange = static_cast<HttpExchange *>(*context)->shared_from_this();
        *context = nullptr;
        static_cast<HttpServer *>(server)->m_open.erase(connection);
        static_cast<HttpServer *>(server)->noteActivity(connection);
        exchange->onCompleted(code == MHD_REQUEST_TERMINATED_COMPLETED_OK);
    }
};

HttpServer::HttpServer(Loop &loop, const SocketAddress &local, HttpServerLimits limits, Handler handler,
                       RefusalHandler onRefusal)
    : m_loop(loop)
    , m_limits(limits)
    , m_handler(std::move(handler))
    , m_onRefusal(std::move(onRefusal))
    , m_watcher(loop, [this](int) { run(); })
    , m_closeWatchTimer(loop, [this] { watchForCloses(); })
    , m_timer(loop, [this] { run(); })
    , m_sweepTimer(loop, [this] { sweepConnections(); })
{
    const sockaddr_in system = toSystemAddress(local);
    m_daemon = MHD_start_daemon(
        MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ERROR_LOG, local.port, nullptr, nullptr,
        &HttpServerCallbacks::onRequest, this, MHD_OPTION_SOCK_ADDR, &system, MHD_OPTION_URI_LOG_CALLBACK,
        &HttpServerCallbacks::onUri, this, MHD_OPTION_EXTERNAL_LOGGER, &HttpServerCallbacks::onLog, this,
        MHD_OPTION_NOTIFY_CONNECTION, &HttpServerCallbacks::onConnection, this, MHD_OPTION_NOTIFY_COMPLETED,
        &HttpServerCallbacks::onCompleted, this, MHD_OPTION_CONNECTION_LIMIT, m_limits.maxConnections,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, ConnectionMemoryBytes, MHD_OPTION_CONNECTION_TIMEOUT, UnreadAnswerSeconds,
        MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
    if (m_daemon == nullptr) {
        throw ResultError(ResultCode::BindFailed, "HTTP " + local.toString() + ": " + std::strerror(errno));
    }
    const auto *info = MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_EPOLL_FD);
    m_watcher.start(info->epoll_fd, EV_READ);
}

HttpServer::~HttpServer()
{
    m_watcher.stop();
    m_stopping = true;
    const auto open = m_open;
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
    m_quiesced = true;
    const MHD_socket listener = MHD_quiesce_daemon(m_daemon);
    if (listener != MHD_INVALID_SOCKET) {
        ::close(listener);
    }
}

void HttpServer::closeIdleConnections()
{
    // What has arrived already is read first.
    run();
    for (const auto &[connection, state] : m_connections) {
        if (m_open.contains(connection)) {
            continue;
        }
        ::shutdown(descriptorOf(connection), SHUT_RDWR);
    }
}

void HttpServer::setLimits(const HttpServerLimits &limits)
{
    m_limits = limits;
}

void HttpServer::noteActivity(MHD_Connection *connection)
{
    const auto found = m_connections.find(connection);
    if (found != m_connections.end()) {
        found->second.quietSweeps = 0;
    }
}

void HttpServer::sweepConnections()
{
    if (m_connections.empty()) {
        return;
    }
    m_sweepTimer.start(SweepInterval);
    for (auto &[connection, state] : m_connections) {
        endIfTooSlow(connection, state);
    }
    // libmicrohttpd sees the ends only when it runs.
    scheduleRun();
}

void HttpServer::endIfTooSlow(MHD_Connection *connection, Connection &state)
{
    const auto open = m_open.find(connection);
    if (open != m_open.end() && open->second->m_dispatched) {
        state.quietSweeps = 0;
        return;
    }
    const bool isHeadDue = open != m_open.end() && open->second->m_request.method.empty();
    const Milliseconds limit = isHeadDue ? m_limits.headTimeout : m_limits.idleTimeout;
    if (++state.quietSweeps <= sweepsFor(limit)) {
        return;
    }
    if (open != m_open.end()) {
        refuseSlow(connection);
        return;
    }
    ::shutdown(descriptorOf(connection), SHUT_RDWR);
}

void HttpServer::refuseSlow(MHD_Connection *connection)
{
    const int descriptor = descriptorOf(connection);
    // Best effort: the caller may have gone.
    (void)::send(descriptor, TooSlowAnswer.data(), TooSlowAnswer.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    ::shutdown(descriptor, SHUT_RDWR);
    m_onRefusal(ResultCode::RequestTooSlow);
}

void HttpServer::scheduleCloseWatch()
{
    if (!m_closeWatchTimer.isActive()) {
        m_closeWatchTimer.start(CloseWatchDelay);
    }
}

void HttpServer::watchForCloses()
{
    for (const auto &[connection, exchange] : m_open) {
        exchange->watchForClose();
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
    m_loop.post([this, exchange] { m_handler(exchange); });
}

void HttpServer::refuse(HttpExchange &exchange)
{
    m_onRefusal(exchange.m_refusal);
    const HttpHeaders headers
        = {{"Jasminemast-Outcome", "not-run"}, {"Jasminemast-Code", std::to_string(number(exchange.m_refusal))}};
    exchange.respond(statusOf(exchange.m_refusal), headers, std::string(resultInfo(exchange.m_refusal).text) + "\n");
}

void HttpServer::forgetConnection(MHD_Connection *connection)
{
    const auto found = m_open.find(connection);
    if (found == m_open.end()) {
        return;
    }
    const auto exchange = found->second;
    m_open.erase(found);
    exchange->onCompleted(false);
}

} // namespace jasminemast
