// One request to an HTTP server and its answer.
#pragma once

#include "jasminemast/net/httpmessage.h"
#include "jasminemast/net/loop.h"
#include "jasminemast/support/result.h"

#include <sys/types.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

struct MHD_Connection;
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
    void setBytesSentHandler(std::function<void(std::size_t)> handler)
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
    /// libmicrohttpd asks for the next bytes of the answer.
    static ssize_t onReadBody(void *exchange, std::uint64_t position, char *buffer, std::size_t most);
    ssize_t readBody(char *buffer, std::size_t most);
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

} // namespace jasminemast
