// An HTTP/1.1 server (libmicrohttpd) on the event loop.
#pragma once

#include "jasminemast/net/httpexchange.h"
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

namespace jasminemast
{

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
    void closeIdleConnections();
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
