// libmicrohttpd in external-epoll mode, driven by libev.
#include "jasminemast/net/httpserver.h"

#include <microhttpd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

namespace jasminemast
{

namespace
{

constexpr std::size_t BodyBlockBytes = 32 << 10;
constexpr std::size_t ConnectionMemoryBytes = 64 << 10;

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
        self->m_open.insert(exchange);
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
            return MHD_YES;
        }
        if (*size > 0) {
            takeBody(*exchange, std::string_view(data, *size));
            *size = 0;
            return MHD_YES;
        }
        if (!exchange->m_dispatched) {
            exchange->m_dispatched = true;
            exchange->suspend();
            exchange->m_server.dispatch(exchange);
        }
        return MHD_YES;
    }

    static void takeBody(HttpExchange &exchange, std::string_view bytes)
    {
        if (exchange.m_request.body.size() + bytes.size() > exchange.m_server.m_limits.maxBodyBytes) {
            exchange.m_tooLarge = true;
            return;
        }
        exchange.m_request.body.append(bytes);
    }

    static void onCompleted(void *server, MHD_Connection * /*connection*/, void **context,
                            MHD_RequestTerminationCode code)
    {
        if (*context == nullptr) {
            return;
        }
        const auto exchange = static_cast<HttpExchange *>(*context)->shared_from_this();
        *context = nullptr;
        static_cast<HttpServer *>(server)->m_open.erase(exchange);
        exchange->onCompleted(code == MHD_REQUEST_TERMINATED_COMPLETED_OK);
    }

    static ssize_t readBody(void *context, std::uint64_t /*position*/, char *buffer, std::size_t most)
    {
        return static_cast<HttpExchange *>(context)->readBody(buffer, most);
    }
};

HttpExchange::HttpExchange(HttpServer &server, MHD_Connection *connection)
    : m_server(server)
    , m_connection(connection)
    , m_closeWatcher(server.m_loop, [this](int) { onReadableWhileSuspended(); })
{
}

HttpExchange::~HttpExchange() = default;

void HttpExchange::suspend()
{
    m_suspended = true;
    MHD_suspend_connection(m_connection);
    const auto *info = MHD_get_connection_info(m_connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    if (info != nullptr) {
        m_closeWatcher.start(info->connect_fd, EV_READ);
    }
}

void HttpExchange::resume()
{
    if (!m_suspended || m_connection == nullptr) {
        return;
    }
    m_suspended = false;
    m_closeWatcher.stop();
    MHD_resume_connection(m_connection);
    m_server.scheduleRun();
}

void HttpExchange::onReadableWhileSuspended()
{
    const auto *info = MHD_get_connection_info(m_connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    char byte = 0;
    const ssize_t size = ::recv(info->connect_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (size > 0) {
        m_closeWatcher.stop();
        return;
    }
    if (size < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    m_closeWatcher.stop();
    const auto self = shared_from_this();
    if (m_onCancelled) {
        const auto handler = std::exchange(m_onCancelled, nullptr);
        handler();
    }
    abort();
}

void HttpExchange::respond(unsigned status, const HttpHeaders &headers, std::string body)
{
    if (m_connection == nullptr || m_responded) {
        return;
    }
    MHD_Response *response = MHD_create_response_from_buffer(body.size(), body.data(), MHD_RESPMEM_MUST_COPY);
    queueResponse(status, headers, response);
}

void HttpExchange::beginBody(unsigned status, const HttpHeaders &headers, std::optional<std::uint64_t> length)
{
    if (m_connection == nullptr || m_responded) {
        return;
    }
    m_bodyState = BodyState::Open;
    MHD_Response *response = MHD_create_response_from_callback(length.value_or(MHD_SIZE_UNKNOWN), BodyBlockBytes,
                                                               &HttpServerCallbacks::readBody, this, nullptr);
    queueResponse(status, headers, response);
}

void HttpExchange::queueResponse(unsigned status, const HttpHeaders &headers, MHD_Response *response)
{
    for (const HttpHeader &header : headers) {
        MHD_add_response_header(response, header.name.c_str(), header.value.c_str());
    }
    MHD_queue_response(m_connection, status, response);
    MHD_destroy_response(response);
    m_responded = true;
    resume();
}

void HttpExchange::write(std::string_view bytes)
{
    if (m_connection == nullptr || m_bodyState != BodyState::Open) {
        return;
    }
    m_body.append(bytes);
    resume();
}

void HttpExchange::finish()
{
    if (m_bodyState == BodyState::Open) {
        m_bodyState = BodyState::Finished;
    }
    resume();
}

void HttpExchange::abort()
{
    if (m_connection == nullptr) {
        return;
    }
    if (!m_responded) {
        beginBody(502, {}, std::nullopt);
    }
    m_bodyState = BodyState::Aborted;
    const auto *info = MHD_get_connection_info(m_connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    ::shutdown(info->connect_fd, SHUT_RDWR);
    resume();
}

std::int64_t HttpExchange::readBody(char *buffer, std::size_t most)
{
    if (m_bodyState == BodyState::Aborted) {
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    const std::size_t size = std::min(most, m_body.size() - m_bodyOffset);
    if (size == 0 && m_bodyState == BodyState::Finished) {
        return MHD_CONTENT_READER_END_OF_STREAM;
    }
    if (size == 0) {
        suspend();
        return 0;
    }
    std::memcpy(buffer, m_body.data() + m_bodyOffset, size);
    m_bodyOffset += size;
    if (m_bodyOffset == m_body.size()) {
        m_body.clear();
        m_bodyOffset = 0;
    }
    if (m_onDrained) {
        m_server.m_loop.post([self = shared_from_this(), size] {
            if (self->m_onDrained) {
                self->m_onDrained(size);
            }
        });
    }
    return static_cast<std::int64_t>(size);
}

void HttpExchange::onCompleted(bool whole)
{
    m_closeWatcher.stop();
    m_connection = nullptr;
    m_onDrained = nullptr;
    if (!whole && m_onCancelled) {
        const auto handler = std::exchange(m_onCancelled, nullptr);
        handler();
    }
    m_onCancelled = nullptr;
}

HttpServer::HttpServer(Loop &loop, const SocketAddress &local, HttpServerLimits limits, Handler handler,
                       RefusalHandler onRefusal)
    : m_loop(loop)
    , m_limits(limits)
    , m_handler(std::move(handler))
    , m_onRefusal(std::move(onRefusal))
    , m_watcher(loop, [this](int) { run(); })
    , m_timer(loop, [this] { run(); })
{
    const sockaddr_in system = toSystemAddress(local);
    m_daemon = MHD_start_daemon(
        MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, local.port, nullptr, nullptr, &HttpServerCallbacks::onRequest, this,
        MHD_OPTION_SOCK_ADDR, &system, MHD_OPTION_URI_LOG_CALLBACK, &HttpServerCallbacks::onUri, this,
        MHD_OPTION_NOTIFY_COMPLETED, &HttpServerCallbacks::onCompleted, this, MHD_OPTION_CONNECTION_LIMIT,
        m_limits.maxConnections, MHD_OPTION_CONNECTION_MEMORY_LIMIT, ConnectionMemoryBytes,
        MHD_OPTION_CONNECTION_TIMEOUT, static_cast<unsigned>(m_limits.idleTimeout.count()),
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
    const auto open = m_open;
    for (const auto &exchange : open) {
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
    if (exchange->m_tooLarge) {
        m_onRefusal(ResultCode::RequestTooLarge);
        exchange->respond(413, {{"Jasminemast-Outcome", "not-run"}}, "request body exceeds the size limit\n");
        return;
    }
    m_loop.post([this, exchange] { m_handler(exchange); });
}

} // namespace jasminemast
