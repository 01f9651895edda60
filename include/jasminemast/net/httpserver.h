// An HTTP/1.1 server (libmicrohttpd) on the event loop.
#pragma once

#include "jasminemast/net/httpmessage.h"
#include "jasminemast/net/loop.h"
#include "jasminemast/net/socketaddress.h"
#include "jasminemast/support/result.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

struct MHD_Connection;
struct MHD_Daemon;
struct MHD_Response;

namespace jasminemast
{

class HttpServer;

/// One request and its answer. The request is whole when the handler gets it; the answer may be given later, at
/// once or piece by piece. Kept alive by whoever still has to answer.
class HttpExchange : public std::enable_shared_from_this<HttpExchange>
{
public:
    explicit HttpExchange(HttpServer &server, MHD_Connection *connection);
    ~HttpExchange();
    HttpExchange(const HttpExchange &) = delete;
    HttpExchange &operator=(const HttpExchange &) = delete;

    [[nodiscard]] const HttpRequest &request() const
    {
        return m_request;
    }

    /// Answers with a whole body.
    void respond(unsigned status, const HttpHeaders &headers, std::string body);

    /// Starts an answer whose body follows in pieces; without \p length it is sent chunked.
    void beginBody(unsigned status, const HttpHeaders &headers, std::optional<std::uint64_t> length);
    /// Appends to the body.
    void write(std::string_view bytes);
    /// The body is whole.
    void finish();
    /// Breaks the connection so that the caller sees that the body is not whole.
    void abort();

    /// Called with the number of body bytes that went out since the last call.
    void setDrainHandler(std::function<void(std::size_t)> handler)
    {
        m_onDrained = std::move(handler);
    }
    /// Called once when the caller goes away before the answer is complete.
    void setCancelHandler(std::function<void()> handler)
    {
        m_onCancelled = std::move(handler);
    }
    /// True once the caller has gone or the answer is complete; later calls have no effect.
    [[nodiscard]] bool isOver() const
    {
        return m_connection == nullptr;
    }

private:
    friend class HttpServer;
    friend struct HttpServerCallbacks;

    enum class BodyState { None, Open, Finished, Aborted };

    void suspend();
    /// Starts watching for the caller's close once the request has been waiting for a while.
    void watchForClose();
    void startBody(unsigned status, const HttpHeaders &headers, std::optional<std::uint64_t> length);
    void resume();
    void onReadableWhileSuspended();
    void queueResponse(unsigned status, const HttpHeaders &headers, MHD_Response *response);
    std::int64_t readBody(char *buffer, std::size_t most);
    void onCompleted(bool whole);

    HttpServer &m_server;
    MHD_Connection *m_connection; ///< null once libmicrohttpd has let go of the request
    HttpRequest m_request;
    ResultCode m_refusal = ResultCode::Ok; ///< why the request never reaches the handler
    std::size_t m_droppedBytes = 0; ///< body bytes beyond the limit, read and dropped
    bool m_dispatched = false; ///< the request is whole, or was refused
    bool m_suspended = false;
    bool m_responded = false;
    bool m_bodyPending = false; ///< beginBody() was called; the answer starts later in this loop iteration
    bool m_bodyStarted = false; ///< the answer with its body was given to libmicrohttpd
    bool m_closeWatchDue = false; ///< was already waiting at the last sweep for closes
    BodyState m_bodyState = BodyState::None;
    std::string m_body; ///< bytes that are still to be sent, from m_bodyOffset on
    std::size_t m_bodyOffset = 0;
    std::function<void(std::size_t)> m_onDrained;
    std::function<void()> m_onCancelled;
    IoWatcher m_closeWatcher; ///< sees the caller close while the connection is suspended
};

/// Bounds of a server.
struct HttpServerLimits
{
    std::size_t maxHeadBytes = 64 << 10; ///< of the request line and the headers
    std::size_t maxBodyBytes = 1 << 20;
    unsigned maxConnections = 4096; ///< fixed at the start
    Milliseconds headTimeout {10'000}; ///< from the request line to the end of the headers
    Milliseconds idleTimeout {120'000}; ///< an idle connection, or a body that does not go on, ends after this time
};

/// Accepts connections and hands whole requests to a handler on the loop's thread.
class HttpServer
{
public:
    using Handler = std::function<void(const std::shared_ptr<HttpExchange> &)>;
    /// Told of each request that is refused before it reaches the handler.
    using RefusalHandler = std::function<void(ResultCode)>;

    /// \throws ResultError with BindFailed.
    HttpServer(Loop &loop, const SocketAddress &local, HttpServerLimits limits, Handler handler,
               RefusalHandler onRefusal);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Takes new bounds; they hold for requests that begin from now on.
    void setLimits(const HttpServerLimits &limits);
    /// Stops accepting connections; open requests go on, and each connection ends with its answer.
    void stopAccepting();
    /// Closes the connections on which no request is open. After stopAccepting() no request arrives any more.
    void closeIdle();
    /// Requests whose answer has not gone out whole.
    [[nodiscard]] std::size_t open() const
    {
        return m_open.size();
    }

private:
    friend class HttpExchange;
    friend struct HttpServerCallbacks;

    /// A connection that libmicrohttpd has open.
    struct Connection
    {
        int quietSweeps = 0; ///< sweeps since the last sign of a request
    };

    void scheduleRun();
    void scheduleCloseWatch();
    void noteActivity(MHD_Connection *connection);
    void sweepConnections();
    void endIfTooSlow(MHD_Connection *connection, Connection &state);
    void refuseSlow(MHD_Connection *connection);
    void watchForCloses();
    void run();
    void dispatch(const std::shared_ptr<HttpExchange> &exchange);
    void refuse(HttpExchange &exchange);
    void forgetConnection(MHD_Connection *connection);

    Loop &m_loop;
    HttpServerLimits m_limits;
    Handler m_handler;
    RefusalHandler m_onRefusal;
    MHD_Daemon *m_daemon = nullptr;
    IoWatcher m_watcher;
    Timer m_closeWatchTimer; ///< sweeps over the suspended requests
    Timer m_timer;
    bool m_runScheduled = false;
    bool m_quiesced = false; ///< takes no new connections and closes each after its answer
    bool m_stopping = false; ///< being destroyed: libmicrohttpd may not stop with a suspended request
    std::map<MHD_Connection *, std::shared_ptr<HttpExchange>> m_open; ///< requests that libmicrohttpd still knows
    std::map<MHD_Connection *, Connection> m_connections;
    Timer m_sweepTimer; ///< looks for connections that take too long
};

} // namespace jasminemast
