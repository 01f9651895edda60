// An HTTP/1.1 client (libcurl multi) on the event loop.
//
// libcurl repeats a request by itself when a reused connection turns out dead before any byte of the answer. For
// transfers marked atMostOnce the client stops that second sending and reports RepeatPrevented.
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

/// What to send, and when to give up.
struct HttpClientRequest
{
    std::string method = "GET";
    std::string url;
    HttpHeaders headers;
    std::string body;
    Milliseconds timeout {10'000};
    Milliseconds connectTimeout {1'000};
    bool atMostOnce = false;
    std::size_t maxBodyBytes = SIZE_MAX; ///< a longer answer fails the transfer
};

/// How a transfer ended.
struct HttpClientResult
{
    ResultCode code = ResultCode::Ok; ///< Ok: the answer is whole
    std::string detail;
    bool requestSent = false; ///< false: the server surely never got the request
};

/// One request under way. Destroying or cancelling it closes its connection if the answer is not whole.
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
    /// Stops and continues reading the answer.
    void pause();
    void unpause();

private:
    friend class HttpClient;
    friend struct HttpClientCallbacks;

    HttpTransfer(HttpClient &client, HttpClientRequest request, Handlers handlers);
    void configure();
    void refuse();
    void dropHandlers();
    void deliverHead();
    HttpClientResult resultOf(CURLcode code) const;

    HttpClient &m_client;
    HttpClientRequest m_request;
    std::shared_ptr<const Handlers> m_handlers; ///< never null; replaced, so that a running handler outlives cancel()
    CURL *m_easy = nullptr;
    curl_slist *m_headerList = nullptr;
    HttpHeaders m_responseHeaders;
    unsigned m_status = 0;
    std::size_t m_headBytes = 0;
    std::size_t m_bodyBytes = 0;
    bool m_answerTooLarge = false;
    int m_sendings = 0; ///< times that the request was about to be sent
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

    /// Starts a transfer whose answer is taken whole.
    using WholeHandler
        = std::function<void(const HttpClientResult &, unsigned status, const HttpHeaders &, std::string body)>;
    std::shared_ptr<HttpTransfer> fetch(HttpClientRequest request, WholeHandler handler);

private:
    friend class HttpTransfer;
    friend struct HttpClientCallbacks;

    struct Socket;

    CURL *takeHandle();
    void remove(HttpTransfer &transfer);
    void onSocketEvent(int descriptor, int events);
    void onTimeout();
    void collectDone();

    Loop &m_loop;
    CURLM *m_multi;
    Timer m_timer;
    std::map<int, std::unique_ptr<Socket>> m_sockets;
    std::map<CURL *, std::shared_ptr<HttpTransfer>> m_active;
    std::vector<CURL *> m_spareHandles;
};

} // namespace jasminemast
