// A small HTTP/1.1 server for the stand-ins: libmicrohttpd driven by one libev loop, with late answers.
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

/// A request that has been read whole.
struct HttpRequest
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string body;

    /// The query value named \p name as a number, or \p fallback when it is missing or no number.
    [[nodiscard]] std::uint64_t number(const std::string &name, std::uint64_t fallback) const;
    /// The header named \p name (lower case), or nothing.
    [[nodiscard]] std::optional<std::string> header(const std::string &name) const;
};

/// A body that is produced piece by piece, with a pause between pieces.
struct HttpStream
{
    std::uint64_t bytes = 0; ///< the whole length, sent as Content-Length
    std::size_t pieceBytes = std::size_t {64} * 1024;
    Milliseconds pieceDelay {0};
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

/// One request and its answer. Kept by whoever will answer it.
class HttpExchange
{
public:
    enum class End {
        Answered, ///< the whole answer was handed to the network
        Broken, ///< the client closed first, or the server closed on purpose
    };

    HttpRequest request;
    /// Called once when the exchange is over. Set it before answering.
    std::function<void(End)> onEnd;
    /// Called at most once, when the client closes while the answer is still owed.
    std::function<void()> onCancel;

    void respond(HttpResponse response);
    /// Closes the connection without an answer.
    void abort();
    /// True when an answer is still owed.
    [[nodiscard]] bool isOpen() const
    {
        return m_open;
    }

private:
    friend class HttpServer;

    void wake();

    HttpServer *m_server = nullptr;
    MHD_Connection *m_connection = nullptr;
    bool m_dispatched = false;
    bool m_open = true;
    bool m_suspended = false;
    bool m_aborted = false;
    bool m_bodyTooLarge = false;
    std::optional<HttpResponse> m_response;
    std::function<void()> m_finishStream; ///< lets a streamed body run to its end without pauses
    std::unique_ptr<IoWatcher> m_closeWatcher; ///< set while the connection is suspended
    std::shared_ptr<HttpExchange> m_self; ///< keeps the exchange alive until the library has let go of it
};

using HttpExchangePtr = std::shared_ptr<HttpExchange>;

/// Serves one address. Handlers run on the loop; they answer at once or keep the exchange and answer later.
class HttpServer
{
public:
    using Handler = std::function<void(const HttpExchangePtr &)>;

    /// \throws std::system_error when \p address can't be listened on.
    HttpServer(EventLoop &loop, const sockaddr_in &address, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// The port listened on, also when 0 was asked for.
    [[nodiscard]] std::uint16_t port() const
    {
        return m_port;
    }

private:
    friend class HttpExchange;
    struct Glue;

    void runLibrary();
    void runSoon();
    void closeExchanges();

    EventLoop &m_loop;
    Handler m_handler;
    MHD_Daemon *m_daemon = nullptr;
    std::uint16_t m_port = 0;
    std::set<HttpExchange *> m_live; ///< every exchange that the library still knows
    std::unique_ptr<IoWatcher> m_watcher;
    std::unique_ptr<Timer> m_timer;
    ev_prepare m_prepare {};
};

} // namespace jasminemast::standin
