// A small HTTP/1.1 server for the stand-ins: libmicrohttpd driven by one libev loop, with asynchronous responses.
#pragma once

#include "eventloop.h"

#include <functional>
#include <map>
#include <memory>
#include <netinet/in.h>
#include <optional>
#include <set>
#include <string>
#include <vector>

struct MHD_Connection;
struct MHD_Daemon;

namespace jasminemast::standin
{

/// A request that has been received completely.
struct HttpRequest
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string body;

    /// The query value named \p name as a number, or \p fallback when it is missing or not a number.
    [[nodiscard]] std::uint64_t queryNumber(const std::string &name, std::uint64_t fallback) const;
    /// The header named \p name (lower case), or nothing.
    [[nodiscard]] std::optional<std::string> header(const std::string &name) const;
};

/// A body that is produced in chunks, with a pause between chunks.
struct HttpStream
{
    std::uint64_t bytes = 0; ///< total length, sent as Content-Length
    std::size_t chunkBytes = std::size_t {64} * 1024;
    Milliseconds chunkDelay {0};
    std::function<void(std::uint64_t offset, char *buffer, std::size_t length)> fill;
};

struct HttpResponse
{
    unsigned status = 200;
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;
    std::optional<HttpStream> stream; ///< when set, replaces body
};

class HttpServer;

/// One request and its response. The handler keeps a pointer to it until it responds.
class HttpExchange
{
public:
    enum class End {
        Completed, ///< the complete response was written to the socket
        Aborted, ///< the client closed first, or the server closed the connection on purpose
    };

    HttpRequest request;
    /// Called once when the exchange is over. Set it before responding.
    std::function<void(End)> onEnd;
    /// Called at most once, when the client closes the connection before the response was given.
    std::function<void()> onCancel;

    void respond(HttpResponse response);
    /// Closes the connection without a response.
    void abort();
    /// True while neither a response was given nor the connection closed.
    [[nodiscard]] bool isOpen() const
    {
        return m_open;
    }

private:
    friend class HttpServer;

    void resume();

    HttpServer *m_server = nullptr;
    MHD_Connection *m_connection = nullptr;
    bool m_dispatched = false;
    bool m_open = true;
    bool m_suspended = false;
    bool m_aborted = false;
    bool m_bodyTooLarge = false;
    std::optional<HttpResponse> m_response;
    std::function<void()> m_finishStream; ///< releases the rest of a streamed body without pauses
    std::unique_ptr<IoWatcher> m_closeWatcher; ///< set while the connection is suspended
    std::shared_ptr<HttpExchange> m_self; ///< keeps the exchange alive until libmicrohttpd has completed the request
};

using HttpExchangePtr = std::shared_ptr<HttpExchange>;

/// Serves one address. Handlers run on the loop; they respond at once or keep the exchange and respond later.
class HttpServer
{
public:
    using Handler = std::function<void(const HttpExchangePtr &)>;

    /// \throws std::system_error when listening on \p address fails.
    HttpServer(EventLoop &loop, const sockaddr_in &address, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// The actual port, also when port 0 was requested.
    [[nodiscard]] std::uint16_t port() const
    {
        return m_port;
    }

private:
    friend class HttpExchange;
    struct LibraryCallbacks;

    void runDaemon();
    void scheduleRun();
    void closeExchanges();

    EventLoop &m_loop;
    Handler m_handler;
    MHD_Daemon *m_daemon = nullptr;
    std::uint16_t m_port = 0;
    std::set<HttpExchange *> m_exchanges; ///< exchanges that libmicrohttpd has not completed yet
    std::unique_ptr<IoWatcher> m_watcher;
    std::unique_ptr<Timer> m_timer;
    ev_prepare m_prepare {};
};

} // namespace jasminemast::standin
