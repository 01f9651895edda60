// One attempt on the target's node: sends the request to the target and streams the response to the current requester.
#pragma once

#include "jasminemast/call/memorybudget.h"
#include "jasminemast/net/targetclient.h"
#include "jasminemast/node/responsesink.h"
#include "jasminemast/settings/nodesettings.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace jasminemast
{

/// Parameters of the HTTP request to the target.
struct TargetRequest
{
    SocketAddress address; ///< of the target
    TimePoint startedAt;
    Milliseconds remaining {0}; ///< passed on to the target
    Milliseconds timeout {0}; ///< of the transfer
    HeaderNames headers;
    std::function<std::size_t()> window; ///< limit of response bytes that the requester has not consumed
    std::function<void()> onForeignResponse; ///< a response to another request was skipped; may be empty
};

/// The body of an attempt's request, as far as it has arrived.
struct AttemptBody
{
    std::string bytes;
    bool isComplete = true; ///< false for an upload
};

/// An accepted attempt. Caches the response body of a non-repeatable call up to a limit, so that a fence on a new link
/// can fetch the response from its start.
class TargetAttempt : public std::enable_shared_from_this<TargetAttempt>
{
public:
    /// Called at the end of the transfer; \p response is set if the complete response was cached.
    using DoneHandler = std::function<void(const HttpClientResult &, std::shared_ptr<const CachedResponse> response)>;

    /// \p memory is held until the attempt is destroyed.
    TargetAttempt(OpenMessage open, AttemptBody body, MemoryReservation memory, std::shared_ptr<ResponseSink> sink);

    void start(TargetClient &http, const TargetRequest &request, DoneHandler onDone);
    /// Closes the connection to the target; the done handler is not called.
    void abort();
    void credit(std::size_t bytes);
    /// The body of an upload goes on, or is complete.
    void appendBody(std::string_view bytes);
    void endBody();

    /// Sends the response to \p sink from its first byte on; false if bytes already forwarded are no longer cached.
    bool switchSink(std::shared_ptr<ResponseSink> sink);

    /// True while the target may be working on the request.
    [[nodiscard]] bool isRunning() const
    {
        return m_transfer != nullptr;
    }
    [[nodiscard]] TimePoint startedAt() const
    {
        return m_startedAt;
    }
    /// Timeout of the transfer.
    [[nodiscard]] Milliseconds timeout() const
    {
        return m_timeout;
    }
    [[nodiscard]] const OpenMessage &open() const
    {
        return m_open;
    }
    [[nodiscard]] const std::shared_ptr<ResponseSink> &sink() const
    {
        return m_sink;
    }
    /// Sets the function that adds load and ticket to the head of the response.
    void setHeadContext(std::function<void(HeadMessage &)> context)
    {
        m_headContext = std::move(context);
    }

private:
    void onHead(unsigned status, const HttpHeaders &headers, std::optional<std::uint64_t> length);
    [[nodiscard]] ResultCode checkResponse(unsigned status, const HttpHeaders &headers) const;
    void onData(std::string_view bytes);
    void onDone(const HttpClientResult &result);
    /// Ends the attempt with m_responseError.
    void reportRefusal(const TargetTransfer *transfer);
    void forward(std::string_view bytes);
    /// Passes the next piece of an upload to the transfer, if that has written the one before.
    void pumpBody();
    void onBodyWritten();
    [[nodiscard]] std::shared_ptr<const CachedResponse> makeCachedResponse() const;

    OpenMessage m_open;
    HeaderNames m_names;
    std::function<std::size_t()> m_window;
    ResultCode m_responseError = ResultCode::Ok; ///< why the response is not forwarded
    std::size_t m_refusalBytes = 0; ///< body bytes of a response that is not forwarded
    TimePoint m_startedAt;
    Milliseconds m_timeout {0};
    std::string m_requestBody; ///< what was not passed to the transfer yet
    bool m_isUpload;
    bool m_isBodyComplete;
    std::size_t m_unwrittenBytes = 0; ///< of the piece that was passed to the transfer
    MemoryReservation m_memory;
    std::shared_ptr<ResponseSink> m_sink;
    std::shared_ptr<TargetTransfer> m_transfer;
    DoneHandler m_onDone;
    std::function<void(HeadMessage &)> m_headContext;
    std::optional<HeadMessage> m_head; ///< set once the response has begun
    std::string m_cachedBody; ///< response body so far; empty once it exceeds the limit
    bool m_cacheComplete = true; ///< m_cachedBody holds every byte received so far
    std::size_t m_uncreditedBytes = 0; ///< response bytes forwarded and not yet credited
};

/// Sends the complete cached \p response to \p sink.
void replay(const CachedResponse &response, ResponseSink &sink);

} // namespace jasminemast
