// An HTTP/1.1 server (libmicrohttpd) on the event loop.
#pragma once

#include "jasminemast/call/memorybudget.h"
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
#include <vector>

struct MHD_Connection;
struct MHD_Daemon;

namespace jasminemast
{

/// Limits of a server.
struct HttpServerLimits
{
    std::size_t maxHeadBytes = 64 << 10; ///< of the request line and the headers
    std::size_t maxBodyBytes = 1 << 20;
    unsigned maxConnections = 4096; ///< fixed at the start
    Milliseconds headTimeout {10'000}; ///< from the request line to the end of the headers
    Milliseconds idleTimeout {120'000}; ///< for idle connections, and between two pieces of a request body
    /// A request with a larger body is passed to the handler while the body arrives.
    std::size_t maxCollectedBytes = SIZE_MAX;
    Milliseconds uploadTimeout {3'000}; ///< between two pieces of such a body, while more of it can be taken
};

/// A connection that is closed for want of memory.
struct EvictedConnection
{
    bool isIdle = false; ///< no request had begun to arrive
    std::size_t bodyBytes = 0; ///< of the incomplete request
};

/// How the memory of a server's connections and requests is bounded.
struct HttpServerMemory
{
    MemoryBudget *budget = nullptr; ///< outlives the server; null: not bounded
    std::function<void(const EvictedConnection &)> onEvicted; ///< called for each of them; may be empty
};

class ConnectionMemory;

/// Accepts connections and passes requests, complete or as uploads, to a handler on the loop's thread.
class HttpServer
{
public:
    using Handler = std::function<void(const std::shared_ptr<HttpExchange> &)>;
    /// Called for each request that is refused before it reaches the handler.
    using RefusalHandler = std::function<void(ResultCode)>;

    /// \throws ResultError with BindFailed.
    HttpServer(Loop &loop, const SocketAddress &localAddress, HttpServerLimits limits, Handler handler,
               RefusalHandler onRefusal, HttpServerMemory memory = {});
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Sets new limits, which apply to requests that begin from now on. maxConnections stays as constructed.
    void setLimits(const HttpServerLimits &limits);
    /// Stops accepting connections; open requests are completed, and each connection closes after its response.
    void stopAccepting();
    /// Closes the connections without an open request. After stopAccepting() no further request arrives.
    void closeIdleConnections();
    /// The number of requests whose response is not completely sent.
    [[nodiscard]] std::size_t open() const
    {
        return m_openExchanges.size();
    }
    /// Body bytes of responses that are not yet sent.
    [[nodiscard]] std::size_t unsentBytes() const;
    /// The number of connections that are not closed, with or without an open request.
    [[nodiscard]] std::size_t connections() const
    {
        return m_connections.size();
    }

private:
    friend class HttpExchange;
    friend struct HttpServerCallbacks;

    /// An open connection of libmicrohttpd.
    struct Connection
    {
        int sweepsSinceActivity = 0; ///< since the last request activity on the connection
        bool isClosing = false; ///< no request that arrives is handled any more
    };

    /// Accepts the connections that callers have opened already: closing the listener would reset them.
    void acceptPending();
    void scheduleRun();
    void scheduleDisconnectSweep();
    void recordActivity(MHD_Connection *connection);
    void sweepForSlowConnections();
    void closeIfTooSlow(MHD_Connection *connection, Connection &state);
    void refuseSlowRequest(MHD_Connection *connection);
    void sweepForDisconnects();
    void run();
    void dispatch(const std::shared_ptr<HttpExchange> &exchange);
    void refuse(HttpExchange &exchange);
    /// Passes on a request whose body is still arriving, or refuses it if there is no memory for that.
    void beginUpload(HttpExchange &exchange);
    void onConnectionStarted(MHD_Connection *connection);
    void onConnectionClosed(MHD_Connection *connection);
    void onRequestOver(const HttpExchange &exchange);
    /// Counts what \p exchange has collected; refuses the request if there is no memory for it.
    void countBody(HttpExchange &exchange);
    /// Closes the connection; libmicrohttpd notices that when it runs, after reading what has arrived.
    void close(MHD_Connection *connection);
    [[nodiscard]] bool isClosing(MHD_Connection *connection) const;
    void evict(const std::vector<MHD_Connection *> &connections);
    void checkUpload(HttpExchange &exchange, Connection &state);

    Loop &m_loop;
    HttpServerLimits m_limits;
    Handler m_handler;
    RefusalHandler m_onRefusal;
    std::function<void(const EvictedConnection &)> m_onEvicted;
    std::unique_ptr<ConnectionMemory> m_memory; ///< never null
    MHD_Daemon *m_daemon = nullptr;
    IoWatcher m_watcher;
    Timer m_disconnectSweepTimer; ///< for suspended requests whose callers may have disconnected
    Timer m_timer;
    bool m_runScheduled = false;
    bool m_quiesced = false; ///< accepts no connections and closes each after its response
    bool m_stopping = false; ///< being destroyed; libmicrohttpd must not stop while a request is suspended
    /// Requests that libmicrohttpd has not completed.
    std::map<MHD_Connection *, std::shared_ptr<HttpExchange>> m_openExchanges;
    std::map<MHD_Connection *, Connection> m_connections;
    Timer m_slowSweepTimer; ///< for connections that exceed a timeout
};

} // namespace jasminemast
