// The bridge between libmicrohttpd's callbacks and exchanges that may be answered later.
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

/// State of one streamed body while the library sends it.
struct StreamState
{
    MHD_Connection *connection = nullptr;
    HttpStream stream;
    std::function<void()> runSoon;
    std::uint64_t allowed = 0; ///< bytes released so far
    bool suspended = false;
    std::unique_ptr<Timer> timer;
};

void releaseBytes(StreamState &state, std::uint64_t bytes)
{
    state.allowed += bytes;
    if (state.suspended) {
        state.suspended = false;
        MHD_resume_connection(state.connection);
        state.runSoon();
    }
}

ssize_t readStream(void *context, std::uint64_t position, char *buffer, std::size_t capacity)
{
    auto &state = *static_cast<StreamState *>(context);
    if (state.stream.pieceDelay.count() > 0 && position >= state.allowed) {
        state.suspended = true;
        state.timer->start(state.stream.pieceDelay);
        MHD_suspend_connection(state.connection);
        return 0;
    }
    std::uint64_t length = std::min<std::uint64_t>(capacity, state.stream.bytes - position);
    if (state.stream.pieceDelay.count() > 0) {
        length = std::min(length, state.allowed - position);
    }
    state.stream.fill(position, buffer, length);
    return static_cast<ssize_t>(length);
}

void freeStream(void *context)
{
    delete static_cast<StreamState *>(context);
}

} // namespace

std::uint64_t HttpRequest::number(const std::string &name, std::uint64_t fallback) const
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
    wake();
}

void HttpExchange::abort()
{
    if (!m_open) {
        return;
    }
    m_open = false;
    m_aborted = true;
    wake();
}

void HttpExchange::wake()
{
    m_closeWatcher.reset();
    if (!m_suspended) {
        return;
    }
    m_suspended = false;
    MHD_resume_connection(m_connection);
    m_server->runSoon();
}

/// The library's callbacks.
struct HttpServer::Glue
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
        const HttpExchangePtr keep = std::move(exchange.m_self);
        *state = nullptr;
        static_cast<HttpServer *>(context)->m_live.erase(&exchange);
        exchange.m_closeWatcher.reset();
        exchange.m_finishStream = nullptr;
        exchange.m_open = false;
        exchange.m_suspended = false;
        if (exchange.onEnd) {
            const bool whole = code == MHD_REQUEST_TERMINATED_COMPLETED_OK;
            exchange.onEnd(whole ? HttpExchange::End::Answered : HttpExchange::End::Broken);
        }
        exchange.onEnd = nullptr;
        exchange.onCancel = nullptr;
    }

    static HttpExchange *begin(HttpServer &server, MHD_Connection *connection, const char *url, const char *method)
    {
        auto exchange = std::make_shared<HttpExchange>();
        exchange->m_self = exchange;
        server.m_live.insert(exchange.get());
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
        // The library doesn't read a suspended connection, so a client that leaves is noticed here.
        exchange.m_closeWatcher
            = std::make_unique<IoWatcher>(exchange.m_server->m_loop, descriptor, EV_READ,
                                          [&exchange, descriptor](int) { onReadable(exchange, descriptor); });
    }

    static void onReadable(HttpExchange &exchange, int descriptor)
    {
        char probe = 0;
        const ssize_t got = recv(descriptor, &probe, 1, MSG_PEEK | MSG_DONTWAIT);
        if (got < 0 && (errno == EAGAIN || errno == EINTR)) {
            return;
        }
        if (got > 0) {
            exchange.m_closeWatcher->setEvents(0);
            return;
        }
        const HttpExchangePtr keep = exchange.m_self;
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
        state->allowed = state->stream.pieceBytes;
        state->runSoon = [&server] {
            server.runSoon();
        };
        state->timer
            = std::make_unique<Timer>(server.m_loop, [state] { releaseBytes(*state, state->stream.pieceBytes); });
        return state;
    }

    static MHD_Result queue(HttpExchange &exchange)
    {
        HttpResponse &answer = *exchange.m_response;
        MHD_Response *response = nullptr;
        if (answer.stream) {
            constexpr std::size_t BlockBytes = std::size_t {64} * 1024;
            const std::uint64_t bytes = answer.stream->bytes;
            StreamState *state = makeStreamState(exchange);
            exchange.m_finishStream = [state, bytes] {
                releaseBytes(*state, bytes);
            };
            response = MHD_create_response_from_callback(bytes, BlockBytes, readStream, state, freeStream);
        } else {
            response = MHD_create_response_from_buffer(answer.body.size(), answer.body.data(), MHD_RESPMEM_MUST_COPY);
        }
        for (const auto &[name, value] : answer.headers) {
            MHD_add_response_header(response, name.c_str(), value.c_str());
        }
        const MHD_Result result = MHD_queue_response(exchange.m_connection, answer.status, response);
        MHD_destroy_response(response);
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
    m_daemon = MHD_start_daemon(MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, nullptr, nullptr, &Glue::onRequest, this,
                                MHD_OPTION_LISTEN_SOCKET, listener, MHD_OPTION_CONNECTION_LIMIT, MaxConnections,
                                MHD_OPTION_NOTIFY_COMPLETED, &Glue::onCompleted, this, MHD_OPTION_END);
    if (m_daemon == nullptr) {
        close(listener);
        throw std::runtime_error("can't start the HTTP server on " + formatSocketAddress(address));
    }
    const int epoll = MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
    m_watcher = std::make_unique<IoWatcher>(loop, epoll, EV_READ, [this](int) { runLibrary(); });
    m_timer = std::make_unique<Timer>(loop, [this] { runLibrary(); });
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
    // The library refuses to stop while a connection is suspended.
    const std::set<HttpExchange *> live = m_live;
    for (HttpExchange *exchange : live) {
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

void HttpServer::runSoon()
{
    // The library doesn't report a resumed connection through its epoll descriptor.
    m_timer->start(Duration::zero());
}

void HttpServer::runLibrary()
{
    MHD_run(m_daemon);
}

} // namespace jasminemast::standin
