// An HTTP/1.1 client (libcurl multi) on the event loop.
//
// libcurl silently resends a request if a reused connection closes before any byte of the response. For requests marked
// atMostOnce the client aborts the second attempt and reports RepeatPrevented.
#pragma once

#include "jasminemast/net/httpmessage.h"
#include "jasminemast/net/loop.h"
#include "jasminemast/support/result.h"

#include <curl/curl.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jasminemast
{

class HttpClient;

/// A request to send, with its timeouts and limits.
struct HttpClientRequest
{
    std::string method = "GET";
    std::string url;
    HttpHeaders headers;
    std::string body;
    Milliseconds timeout {10'000};
    Milliseconds connectTimeout {1'000};
    bool atMostOnce = false; ///< never resend the request
    std::size_t maxBodyBytes = SIZE_MAX; ///< a longer response fails the transfer
};

/// How a transfer ended.
struct HttpClientResult
{
    ResultCode code = ResultCode::Ok; ///< Ok: the response is complete
    std::string detail;
    bool requestSent = false; ///< false: the server certainly did not receive the request
};

/// A request in progress. Destroying or canceling it closes its connection if the response is incomplete.
class HttpTransfer : public std::enable_shared_from_this<HttpTransfer>
{
public:
    struct Handlers
    {
        std::function<void(unsigned status, const HttpHeaders &, std::optional<std::uint64_t> length)> onHead;
        std::function<void(std::string_view)> onData;
        std::function<void(const HttpClientResult &)> onDone; ///< last call; not made after cancel()
    };

    ~HttpTransfer();
    HttpTransfer(const HttpTransfer &) = delete;
    HttpTransfer &operator=(const HttpTransfer &) = delete;

    void cancel();
    /// Pause and continue reading the response.
    void pause();
    void unpause();

private:
    friend class HttpClient;
    friend struct HttpClientCallbacks;

    HttpTransfer(HttpClient &client, HttpClientRequest request, Handlers handlers);
    void configure();
    void failInvalidRequest();
    void clearHandlers();
    void deliverHead();
    [[nodiscard]] bool isResponseComplete(CURLcode code) const;
    HttpClientResult resultOf(CURLcode code) const;

    HttpClient &m_client;
    HttpClientRequest m_request;
    /// Never null; replaced by cancel(), so that a running handler stays valid.
    std::shared_ptr<const Handlers> m_handlers;
    CURL *m_easy = nullptr;
    curl_slist *m_headerList = nullptr;
    HttpHeaders m_responseHeaders;
    unsigned m_status = 0;
    std::size_t m_headBytes = 0;
    std::size_t m_bodyBytes = 0;
    bool m_responseTooLarge = false;
    int m_sendAttempts = 0; ///< how often libcurl was about to send the request
    bool m_headEnded = false; ///< the empty line after the headers of the current response has arrived
    bool m_headDelivered = false;
    bool m_paused = false;
    bool m_repeatPrevented = false;
};

/// Runs transfers over pooled connections.
class HttpClient
{
public:
    explicit HttpClient(Loop &loop, long maxIdleConnections = 64);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Starts a transfer; its handlers are called from the loop.
    std::shared_ptr<HttpTransfer> start(HttpClientRequest request, HttpTransfer::Handlers handlers);

    /// Starts a transfer that delivers the complete response at once.
    using ResponseHandler
        = std::function<void(const HttpClientResult &, unsigned status, const HttpHeaders &, std::string body)>;
    std::shared_ptr<HttpTransfer> fetch(HttpClientRequest request, ResponseHandler handler);

private:
    friend class HttpTransfer;
    friend struct HttpClientCallbacks;

    struct Socket;

    CURL *acquireHandle();
    void remove(HttpTransfer &transfer);
    void onSocketEvent(int descriptor, int events);
    void onTimeout();
    void processCompleted();

    Loop &m_loop;
    CURLM *m_multi;
    Timer m_timer;
    std::map<int, std::unique_ptr<Socket>> m_sockets;
    std::map<CURL *, std::shared_ptr<HttpTransfer>> m_active;
    std::vector<CURL *> m_freeHandles;
};

} // namespace jasminemast
