// Connects libmicrohttpd's callbacks to exchanges, which are suspended until their response is given.
#include "httpserver.h"

#include "socketaddress.h"

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <charconv>
#include <microhttpd.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace jasminemast::standin
{

namespace
{

constexpr std::size_t MaxBodyBytes = std::size_t {64} * 1024 * 1024;
constexpr unsigned MaxConnections = 20'000;

std::string toLower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

MHD_Result collectHeader(void *target, MHD_ValueKind, const char *name, const char *value)
{
    (*static_cast<std::map<std::string, std::string> *>(target))[toLower(name)] = value != nullptr ? value : "";
    return MHD_YES;
}

MHD_Result collectQuery(void *target, MHD_ValueKind, const char *name, const char *value)
{
    (*static_cast<std::map<std::string, std::string> *>(target))[name] = value != nullptr ? value : "";
    return MHD_YES;
}

/// State of one streamed body while libmicrohttpd sends it.
struct StreamState
{
    MHD_Connection *connection = nullptr;
    HttpStream stream;
    std::function<void()> scheduleRun;
    std::uint64_t releasedBytes = 0; ///< number of bytes that may be sent so far
    bool suspended = false;
    std::unique_ptr<Timer> timer;
};

void releaseBytes(StreamState &state, std::uint64_t bytes)
{
    state.releasedBytes += bytes;
    if (state.suspended) {
        state.suspended = false;
        MHD_resume_connection(state.connection);
        state.scheduleRun();
    }
}

ssize_t readStream(void *context, std::uint64_t offset, char *buffer, std::size_t capacity)
{
    auto &state = *static_cast<StreamState *>(context);
    if (state.stream.chunkDelay.count() > 0 && offset >= state.releasedBytes) {
        state.suspended = true;
        state.timer->start(state.stream.chunkDelay);
        MHD_suspend_connection(state.connection);
        return 0;
    }
    std::uint64_t length = std::min<std::uint64_t>(capacity, state.stream.bytes - offset);
    if (state.stream.chunkDelay.count() > 0) {
        length = std::min(length, state.releasedBytes - offset);
    }
    state.stream.fill(offset, buffer, length);
    return static_cast<ssize_t>(length);
}

void freeStream(void *context)
{
    delete static_cast<StreamState *>(context);
}

} // namespace

std::uint64_t HttpRequest::queryNumber(const std::string &name, std::uint64_t fallback) const
{
    const auto found = query.find(name);
    if (found == query.end()) {
        return fallback;
    }
    std::uint64_t value = 0;
    const char *end = found->second.data() + found->second.size();
    const auto [stop, error] = std::from_chars(found->second.data(), end, value);
    return error == std::errc() && stop == end ? value : fallback;
}

std::optional<std::string> HttpRequest::header(const std::string &name) const
{
    const auto found = headers.find(name);
    if (found == headers.end()) {
        return std::nullopt;
    }
    return found->second;
}

void HttpExchange::respond(HttpResponse response)
{
    if (!m_open) {
        return;
    }
    m_open = false;
    m_response = std::move(response);
    resume();
}

void HttpExchange::abort()
{
    if (!m_open) {
        return;
    }
    m_open = false;
    m_aborted = true;
    resume();
}

void HttpExchange::resume()
{
    m_closeWatcher.reset();
    if (!m_suspended) {
        return;
    }
    m_suspended = false;
    MHD_resume_connection(m_connection);
    m_server->scheduleRun();
}

/// The callbacks that libmicrohttpd calls.
struct HttpServer::LibraryCallbacks
{
    static MHD_Result onRequest(void *context, MHD_Connection *connection, const char *url, const char *method,
                                const char *, const char *upload, std::size_t *uploadBytes, void **state)
    {
        auto &server = *static_cast<HttpServer *>(context);
        if (*state == nullptr) {
            *state = begin(server, connection, url, method);
            return MHD_YES;
        }
        auto &exchange = *static_cast<HttpExchange *>(*state);
        if (*uploadBytes > 0) {
            appendBody(exchange, upload, *uploadBytes);
            *uploadBytes = 0;
            return MHD_YES;
        }
        if (!exchange.m_dispatched) {
            exchange.m_dispatched = true;
            dispatch(server, exchange);
        }
        return finish(exchange);
    }

    static void onCompleted(void *context, MHD_Connection *, void **state, MHD_RequestTerminationCode code)
    {
        if (*state == nullptr) {
            return;
        }
        auto &exchange = *static_cast<HttpExchange *>(*state);
        const HttpExchangePtr keepAlive = std::move(exchange.m_self);
        *state = nullptr;
        static_cast<HttpServer *>(context)->m_exchanges.erase(&exchange);
        exchange.m_closeWatcher.reset();
        exchange.m_finishStream = nullptr;
        exchange.m_open = false;
        exchange.m_suspended = false;
        if (exchange.onEnd) {
            const bool completed = code == MHD_REQUEST_TERMINATED_COMPLETED_OK;
            exchange.onEnd(completed ? HttpExchange::End::Completed : HttpExchange::End::Aborted);
        }
        exchange.onEnd = nullptr;
        exchange.onCancel = nullptr;
    }

    static HttpExchange *begin(HttpServer &server, MHD_Connection *connection, const char *url, const char *method)
    {
        auto exchange = std::make_shared<HttpExchange>();
        exchange->m_self = exchange;
        server.m_exchanges.insert(exchange.get());
        exchange->m_server = &server;
        exchange->m_connection = connection;
        exchange->request.method = method;
        exchange->request.path = url;
        MHD_get_connection_values(connection, MHD_HEADER_KIND, collectHeader, &exchange->request.headers);
        MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, collectQuery, &exchange->request.query);
        return exchange.get();
    }

    static void appendBody(HttpExchange &exchange, const char *upload, std::size_t bytes)
    {
        if (exchange.request.body.size() + bytes > MaxBodyBytes) {
            exchange.m_bodyTooLarge = true;
            return;
        }
        exchange.request.body.append(upload, bytes);
    }

    static void dispatch(HttpServer &server, HttpExchange &exchange)
    {
        if (exchange.m_bodyTooLarge) {
            exchange.respond({413, "body too large\n", {}, {}});
            return;
        }
        server.m_handler(exchange.m_self);
    }

    static MHD_Result finish(HttpExchange &exchange)
    {
        if (exchange.m_aborted) {
            return MHD_NO;
        }
        if (!exchange.m_response) {
            suspend(exchange);
            return MHD_YES;
        }
        return queue(exchange);
    }

    static void suspend(HttpExchange &exchange)
    {
        const auto *info = MHD_get_connection_info(exchange.m_connection, MHD_CONNECTION_INFO_CONNECTION_FD);
        const int descriptor = info->connect_fd;
        exchange.m_suspended = true;
        MHD_suspend_connection(exchange.m_connection);
        // libmicrohttpd doesn't read a suspended connection, so this detects a client that closes it.
        exchange.m_closeWatcher
            = std::make_unique<IoWatcher>(exchange.m_server->m_loop, descriptor, EV_READ,
                                          [&exchange, descriptor](int) { onReadable(exchange, descriptor); });
    }

    static void onReadable(HttpExchange &exchange, int descriptor)
    {
        char probe = 0;
        const ssize_t received = recv(descriptor, &probe, 1, MSG_PEEK | MSG_DONTWAIT);
        if (received < 0 && (errno == EAGAIN || errno == EINTR)) {
            return;
        }
        if (received > 0) {
            exchange.m_closeWatcher->setEvents(0);
            return;
        }
        const HttpExchangePtr keepAlive = exchange.m_self;
        if (exchange.onCancel) {
            exchange.onCancel();
        }
        exchange.abort();
    }

    static StreamState *makeStreamState(HttpExchange &exchange)
    {
        HttpServer &server = *exchange.m_server;
        auto *state = new StreamState;
        state->connection = exchange.m_connection;
        state->stream = std::move(*exchange.m_response->stream);
        state->releasedBytes = state->stream.chunkBytes;
        state->scheduleRun = [&server] {
            server.scheduleRun();
        };
        state->timer
            = std::make_unique<Timer>(server.m_loop, [state] { releaseBytes(*state, state->stream.chunkBytes); });
        return state;
    }

    static MHD_Result queue(HttpExchange &exchange)
    {
        HttpResponse &response = *exchange.m_response;
        MHD_Response *mhdResponse = nullptr;
        if (response.stream) {
            constexpr std::size_t BlockBytes = std::size_t {64} * 1024;
            const std::uint64_t bytes = response.stream->bytes;
            StreamState *state = makeStreamState(exchange);
            exchange.m_finishStream = [state, bytes] {
                releaseBytes(*state, bytes);
            };
            mhdResponse = MHD_create_response_from_callback(bytes, BlockBytes, readStream, state, freeStream);
        } else {
            mhdResponse
                = MHD_create_response_from_buffer(response.body.size(), response.body.data(), MHD_RESPMEM_MUST_COPY);
        }
        for (const auto &[name, value] : response.headers) {
            MHD_add_response_header(mhdResponse, name.c_str(), value.c_str());
        }
        const MHD_Result result = MHD_queue_response(exchange.m_connection, response.status, mhdResponse);
        MHD_destroy_response(mhdResponse);
        return result;
    }
};

HttpServer::HttpServer(EventLoop &loop, const sockaddr_in &address, Handler handler)
    : m_loop(loop)
    , m_handler(std::move(handler))
{
    const int listener = listenOn(address);
    sockaddr_in bound {};
    socklen_t length = sizeof(bound);
    getsockname(listener, reinterpret_cast<sockaddr *>(&bound), &length);
    m_port = ntohs(bound.sin_port);
    m_daemon
        = MHD_start_daemon(MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, nullptr, nullptr, &LibraryCallbacks::onRequest,
                           this, MHD_OPTION_LISTEN_SOCKET, listener, MHD_OPTION_CONNECTION_LIMIT, MaxConnections,
                           MHD_OPTION_NOTIFY_COMPLETED, &LibraryCallbacks::onCompleted, this, MHD_OPTION_END);
    if (m_daemon == nullptr) {
        close(listener);
        throw std::runtime_error("can't start the HTTP server on " + formatSocketAddress(address));
    }
    const int epoll = MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
    m_watcher = std::make_unique<IoWatcher>(loop, epoll, EV_READ, [this](int) { runDaemon(); });
    m_timer = std::make_unique<Timer>(loop, [this] { runDaemon(); });
    ev_prepare_init(&m_prepare, [](struct ev_loop *, ev_prepare *prepare, int) {
        auto &server = *static_cast<HttpServer *>(prepare->data);
        MHD_UNSIGNED_LONG_LONG wait = 0;
        if (!server.m_timer->isActive() && MHD_get_timeout(server.m_daemon, &wait) == MHD_YES) {
            server.m_timer->start(Milliseconds(wait));
        }
    });
    m_prepare.data = this;
    ev_prepare_start(loop.raw(), &m_prepare);
    ev_unref(loop.raw());
}

HttpServer::~HttpServer()
{
    ev_ref(m_loop.raw());
    ev_prepare_stop(m_loop.raw(), &m_prepare);
    m_watcher.reset();
    closeExchanges();
    m_timer.reset();
    MHD_stop_daemon(m_daemon);
}

void HttpServer::closeExchanges()
{
    // MHD_stop_daemon() must not be called while a connection is suspended.
    const std::set<HttpExchange *> exchanges = m_exchanges;
    for (HttpExchange *exchange : exchanges) {
        exchange->onEnd = nullptr;
        exchange->onCancel = nullptr;
        if (exchange->m_finishStream) {
            exchange->m_finishStream();
            continue;
        }
        exchange->abort();
    }
    MHD_run(m_daemon);
}

void HttpServer::scheduleRun()
{
    // libmicrohttpd doesn't report a resumed connection through its epoll descriptor.
    m_timer->start(Duration::zero());
}

void HttpServer::runDaemon()
{
    MHD_run(m_daemon);
}

} // namespace jasminemast::standin
