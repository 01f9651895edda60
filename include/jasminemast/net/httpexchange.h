// One request to an HTTP server and its response.
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

/// One request and its response. The handler receives the complete request, or an upload, whose body is still arriving;
/// the response may be sent later, as a whole or in pieces. Owned jointly by the server and the code that still has to
/// respond.
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

    /// True if the handler got the request before its body was complete: the first bytes are in request().body, the
    /// others are to be taken as they arrive. The caller is read only as fast as they are taken.
    [[nodiscard]] bool isUpload() const
    {
        return m_isUpload;
    }
    /// The announced length of an upload's body; unset if it is sent in chunks.
    [[nodiscard]] std::optional<std::uint64_t> uploadLength() const;
    /// Sets a handler called when more of the body, its end or uploadError() may be there.
    void setUploadHandler(std::function<void()> handler);
    /// Takes up to \p maxBytes of the body that has arrived.
    std::string takeUpload(std::size_t maxBytes);
    /// True once all of the body has been taken.
    [[nodiscard]] bool isUploadTaken() const
    {
        return m_isBodyComplete && m_uploaded.empty();
    }
    /// Why the rest of the body will not arrive; Ok unless that is so.
    [[nodiscard]] ResultCode uploadError() const
    {
        return m_uploadError;
    }
    /// Frees request().body.
    void dropCollectedBody();
    /// Body bytes that have arrived.
    [[nodiscard]] std::uint64_t bodyBytes() const
    {
        return m_bodyBytes;
    }

    /// Sends a complete response. Before the end of an upload's body, also closes the connection.
    void respond(unsigned status, const HttpHeaders &headers, std::string body);

    /// Starts a response whose body follows in pieces; without \p length it is sent with chunked encoding. It is held
    /// back until the body of an upload has arrived.
    void beginBody(unsigned status, const HttpHeaders &headers, std::optional<std::uint64_t> length);
    /// Appends to the body.
    void write(std::string_view bytes);
    /// Ends the body.
    void finish();
    /// Closes the connection so that the caller sees an incomplete body.
    void abort();
    /// Takes back a response that was begun and has not been passed on, so that respond() may follow. Returns false if
    /// there is none.
    bool withdrawResponse();

    /// Sets a handler called with the number of body bytes sent since its last call.
    void setBytesSentHandler(std::function<void(std::size_t)> handler)
    {
        m_onBytesSent = std::move(handler);
    }
    /// Sets a handler called once if the caller disconnects before the response is complete.
    void setCancelHandler(std::function<void()> handler)
    {
        m_onCancelled = std::move(handler);
    }
    /// Body bytes that were written and not yet sent to the caller.
    [[nodiscard]] std::size_t unsentBytes() const
    {
        return m_body.size() - m_bodyOffset;
    }
    /// True once the caller has disconnected or the response is complete; later calls have no effect.
    [[nodiscard]] bool isOver() const
    {
        return m_connection == nullptr;
    }

private:
    friend class HttpServer;
    friend struct HttpServerCallbacks;

    enum class BodyState { None, Open, Finished, Aborted };

    struct HeldResponse
    {
        unsigned status = 0;
        std::unique_ptr<MHD_Response, void (*)(MHD_Response *)> response;
    };

    /// The body of the request arrives. These return false to have the connection closed.
    bool onBodyBytes(std::string_view bytes);
    bool onBodyEnd();
    void onBodyTooLarge();
    /// The rest of an upload will not arrive, or is not read.
    void failUpload(ResultCode code);
    void notifyUpload();
    void discardUpload();
    /// True while the server waits for the caller to send more of an upload, or to read the response and close.
    [[nodiscard]] bool isWaitingForBody() const
    {
        return (m_isUpload || m_isLingering) && !m_isBodyComplete && !m_suspended;
    }
    /// Writes a response before the body has arrived, and reads on for a while so that the caller can read it: a
    /// connection that is closed with unread bytes is reset.
    void respondEarly(unsigned status, const HttpHeaders &headers, std::string_view body);
    void suspend();
    /// Called by each sweep; watches for a disconnect of the caller from the second sweep on.
    void watchForDisconnect();
    void startResponse(unsigned status, const HttpHeaders &headers, std::optional<std::uint64_t> length);
    void resume();
    /// Ends the connection at once; with a reset if the caller would take its orderly end for that of the body.
    void closeConnection();
    void onReadableWhileSuspended();
    void queueResponse(unsigned status, const HttpHeaders &headers, MHD_Response *response);
    /// libmicrohttpd requests the next bytes of the body.
    static ssize_t onReadBody(void *exchange, std::uint64_t position, char *buffer, std::size_t maxBytes);
    ssize_t readBody(char *buffer, std::size_t maxBytes);
    void onCompleted(bool isComplete);

    HttpServer &m_server;
    MHD_Connection *m_connection; ///< null once libmicrohttpd has completed the request
    HttpRequest m_request;
    ResultCode m_refusal = ResultCode::Ok; ///< why the request is not passed to the handler
    std::size_t m_discardedBytes = 0; ///< body bytes of a refused request, read and discarded
    std::uint64_t m_bodyBytes = 0;
    bool m_isBodyComplete = false;
    bool m_isUpload = false;
    bool m_discardsUpload = false; ///< what arrives is not taken any more
    bool m_isLingering = false; ///< a response was written early
    std::string m_uploaded; ///< arrived and not taken
    ResultCode m_uploadError = ResultCode::Ok;
    std::function<void()> m_onUpload;
    std::optional<HeldResponse> m_heldResponse;
    bool m_dispatched = false; ///< the request was passed to the handler, or refused
    bool m_suspended = false;
    bool m_responded = false;
    bool m_startPending = false; ///< beginBody() was called; the response starts later in this loop iteration
    bool m_responseStarted = false; ///< the response was passed to libmicrohttpd
    bool m_takesChunks = true; ///< without chunks, the end of the connection ends a body of unknown length
    bool m_endsWithConnection = false; ///< the end of the connection ends the body that was begun
    bool m_suspendedAtLastSweep = false; ///< was already suspended at the last sweep for disconnects
    BodyState m_bodyState = BodyState::None;
    std::string m_body; ///< the bytes from m_bodyOffset on are still to be sent
    std::size_t m_bodyOffset = 0;
    std::function<void(std::size_t)> m_onBytesSent;
    std::function<void()> m_onCancelled;
    IoWatcher m_disconnectWatcher; ///< detects a disconnect of the caller while the connection is suspended
};

} // namespace jasminemast
