// libcurl's multi interface driven by libev.
#include "jasminemast/net/httpclient.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace jasminemast
{

namespace
{

constexpr std::size_t MaxFreeHandles = 64;
/// Shorter than the idle timeout of targets, so that no request is sent on a connection that is being closed.
constexpr long MaxIdleConnectionSeconds = 4;
constexpr int KeepAliveIdleSeconds = 1;
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbes = 2;
constexpr int UnacknowledgedDataTimeoutMilliseconds = 2'000; // equals the total time of the keep-alive probes
/// Maximum size of the status line and headers, which have to fit in one link frame.
constexpr std::size_t MaxHeadBytes = 256 << 10;

std::string_view trim(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
        return {};
    }
    const std::size_t last = text.find_last_not_of(" \t\r\n");
    return text.substr(first, last - first + 1);
}

std::optional<std::uint64_t> contentLength(const HttpHeaders &headers)
{
    const std::string *text = findHeader(headers, "Content-Length");
    if (text == nullptr || findHeader(headers, "Transfer-Encoding") != nullptr) {
        return std::nullopt;
    }
    return std::strtoull(text->c_str(), nullptr, 10);
}

/// True if the headers state different lengths of one body, so that its end is unknown.
bool hasConflictingLengths(const HttpHeaders &headers)
{
    const std::string *first = findHeader(headers, "Content-Length");
    if (first == nullptr || findHeader(headers, "Transfer-Encoding") != nullptr) {
        return false;
    }
    return first->find(',') != std::string::npos
        || std::any_of(headers.begin(), headers.end(), [first](const HttpHeader &header) {
               return equalHeaderNames(header.name, "Content-Length") && header.value != *first;
           });
}

} // namespace

/// Watches one of libcurl's sockets.
struct HttpClient::Socket
{
    Socket(HttpClient &client, int descriptor)
        : watcher(client.m_loop, [&client, descriptor](int events) { client.onSocketEvent(descriptor, events); })
    {
    }

    IoWatcher watcher;
};

/// The C callbacks that libcurl calls.
struct HttpClientCallbacks
{
    static int onSocket(CURL * /*easy*/, curl_socket_t descriptor, int what, void *context, void * /*socket*/)
    {
        auto *client = static_cast<HttpClient *>(context);
        if (what == CURL_POLL_REMOVE) {
            client->m_sockets.erase(descriptor);
            return 0;
        }
        auto &socket = client->m_sockets[descriptor];
        if (!socket) {
            socket = std::make_unique<HttpClient::Socket>(*client, descriptor);
        }
        const int events = ((what & CURL_POLL_IN) != 0 ? EV_READ : 0) | ((what & CURL_POLL_OUT) != 0 ? EV_WRITE : 0);
        socket->watcher.start(descriptor, events);
        return 0;
    }

    static int onTimer(CURLM * /*multi*/, long timeoutMs, void *context)
    {
        auto *client = static_cast<HttpClient *>(context);
        if (timeoutMs < 0) {
            client->m_timer.stop();
        } else {
            client->m_timer.start(Milliseconds(timeoutMs));
        }
        return 0;
    }

    /// Makes the kernel close a connection whose peer stopped responding, before the transfer's timeout expires.
    static int onSocketCreated(void * /*context*/, curl_socket_t descriptor, curlsocktype /*purpose*/)
    {
        const auto set = [descriptor](int level, int name, int value) {
            ::setsockopt(descriptor, level, name, &value, sizeof(value));
        };
        set(SOL_SOCKET, SO_KEEPALIVE, 1);
        set(IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdleSeconds);
        set(IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveIntervalSeconds);
        set(IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
        set(IPPROTO_TCP, TCP_USER_TIMEOUT, UnacknowledgedDataTimeoutMilliseconds);
        return CURL_SOCKOPT_OK;
    }

    static std::size_t onHeader(char *data, std::size_t size, std::size_t count, void *context)
    {
        auto *transfer = static_cast<HttpTransfer *>(context);
        const std::string_view line(data, size * count);
        transfer->m_headBytes += line.size();
        if (transfer->m_headBytes > MaxHeadBytes) {
            transfer->m_responseTooLarge = true;
            return 0;
        }
        if (line.starts_with("HTTP/")) {
            transfer->m_responseHeaders.clear();
            transfer->m_headEnded = false;
            return line.size();
        }
        transfer->m_headEnded = transfer->m_headEnded || line == "\r\n" || line == "\n";
        const std::size_t colon = line.find(':');
        if (colon != std::string_view::npos) {
            transfer->m_responseHeaders.push_back(
                {std::string(line.substr(0, colon)), std::string(trim(line.substr(colon + 1)))});
        }
        return line.size();
    }

    static std::size_t onWrite(char *data, std::size_t size, std::size_t count, void *context)
    {
        auto *transfer = static_cast<HttpTransfer *>(context);
        if (transfer->m_paused) {
            return CURL_WRITEFUNC_PAUSE;
        }
        const std::string_view bytes(data, size * count);
        transfer->deliverHead();
        transfer->m_bodyBytes += bytes.size();
        if (transfer->m_bodyBytes > transfer->m_request.maxBodyBytes) {
            transfer->m_responseTooLarge = true;
            return 0;
        }
        const auto handlers = transfer->m_handlers;
        if (handlers->onData) {
            handlers->onData(bytes);
        }
        return bytes.size();
    }

    static int onBeforeSend(void *context, char * /*ip*/, char * /*localIp*/, int /*port*/, int /*localPort*/)
    {
        auto *transfer = static_cast<HttpTransfer *>(context);
        ++transfer->m_sendAttempts;
        if (transfer->m_request.atMostOnce && transfer->m_sendAttempts > 1) {
            transfer->m_repeatPrevented = true;
            return CURL_PREREQFUNC_ABORT;
        }
        return CURL_PREREQFUNC_OK;
    }
};

HttpTransfer::HttpTransfer(HttpClient &client, HttpClientRequest request, Handlers handlers)
    : m_client(client)
    , m_request(std::move(request))
    , m_handlers(std::make_shared<const Handlers>(std::move(handlers)))
    , m_easy(client.acquireHandle())
{
    configure();
}

HttpTransfer::~HttpTransfer()
{
    curl_slist_free_all(m_headerList);
}

void HttpTransfer::configure()
{
    curl_easy_setopt(m_easy, CURLOPT_URL, m_request.url.c_str());
    curl_easy_setopt(m_easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(m_easy, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(m_easy, CURLOPT_PROXY, "");
    curl_easy_setopt(m_easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(m_easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(m_easy, CURLOPT_MAXAGE_CONN, MaxIdleConnectionSeconds);
    curl_easy_setopt(m_easy, CURLOPT_SOCKOPTFUNCTION, &HttpClientCallbacks::onSocketCreated);
    curl_easy_setopt(m_easy, CURLOPT_TIMEOUT_MS, static_cast<long>(m_request.timeout.count()));
    curl_easy_setopt(m_easy, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(m_request.connectTimeout.count()));
    curl_easy_setopt(m_easy, CURLOPT_HEADERFUNCTION, &HttpClientCallbacks::onHeader);
    curl_easy_setopt(m_easy, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(m_easy, CURLOPT_WRITEFUNCTION, &HttpClientCallbacks::onWrite);
    curl_easy_setopt(m_easy, CURLOPT_WRITEDATA, this);
    curl_easy_setopt(m_easy, CURLOPT_PREREQFUNCTION, &HttpClientCallbacks::onBeforeSend);
    curl_easy_setopt(m_easy, CURLOPT_PREREQDATA, this);
    curl_easy_setopt(m_easy, CURLOPT_SUPPRESS_CONNECT_HEADERS, 1L);
    if (m_request.method == "HEAD") {
        curl_easy_setopt(m_easy, CURLOPT_NOBODY, 1L);
    } else if (m_request.method != "GET" || !m_request.body.empty()) {
        curl_easy_setopt(m_easy, CURLOPT_POST, 1L);
        curl_easy_setopt(m_easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(m_request.body.size()));
        curl_easy_setopt(m_easy, CURLOPT_POSTFIELDS, m_request.body.c_str());
        curl_easy_setopt(m_easy, CURLOPT_CUSTOMREQUEST, m_request.method.c_str());
    }
    m_headerList = curl_slist_append(m_headerList, "Expect:");
    for (const HttpHeader &header : m_request.headers) {
        const std::string line = header.value.empty() ? header.name + ";" : header.name + ": " + header.value;
        m_headerList = curl_slist_append(m_headerList, line.c_str());
    }
    if (findHeader(m_request.headers, "Accept") == nullptr) {
        m_headerList = curl_slist_append(m_headerList, "Accept:");
    }
    if (findHeader(m_request.headers, "Content-Type") == nullptr) {
        m_headerList = curl_slist_append(m_headerList, "Content-Type:");
    }
    curl_easy_setopt(m_easy, CURLOPT_HTTPHEADER, m_headerList);
}

void HttpTransfer::deliverHead()
{
    if (m_headDelivered) {
        return;
    }
    m_headDelivered = true;
    long status = 0;
    curl_easy_getinfo(m_easy, CURLINFO_RESPONSE_CODE, &status);
    m_status = static_cast<unsigned>(status);
    const auto handlers = m_handlers;
    if (handlers->onHead) {
        handlers->onHead(m_status, m_responseHeaders, contentLength(m_responseHeaders));
    }
}

bool HttpTransfer::isResponseComplete(CURLcode code) const
{
    // libcurl takes a head that the end of the connection cuts for a complete response.
    constexpr long FirstFinalStatus = 200;
    long status = 0;
    curl_easy_getinfo(m_easy, CURLINFO_RESPONSE_CODE, &status);
    return code == CURLE_OK && m_headEnded && status >= FirstFinalStatus && !hasConflictingLengths(m_responseHeaders);
}

HttpClientResult HttpTransfer::resultOf(CURLcode code) const
{
    HttpClientResult result;
    result.requestSent = m_sendAttempts > 0;
    if (isResponseComplete(code)) {
        return result;
    }
    result.detail = code == CURLE_OK ? "the response is cut or states two lengths" : curl_easy_strerror(code);
    result.code = ResultCode::HttpTransferFailed;
    if (m_repeatPrevented) {
        result.code = ResultCode::RepeatPrevented;
    } else if (m_responseTooLarge) {
        result.code = ResultCode::AnswerTooLarge;
    } else if (code == CURLE_OPERATION_TIMEDOUT) {
        result.code = ResultCode::DeadlineExceeded;
    }
    return result;
}

void HttpTransfer::failInvalidRequest()
{
    curl_easy_cleanup(std::exchange(m_easy, nullptr));
    m_client.m_loop.post([self = shared_from_this()] {
        const auto handlers = self->m_handlers;
        self->clearHandlers();
        if (handlers->onDone) {
            handlers->onDone({ResultCode::BadRequest, "method, target or header holds a forbidden character", false});
        }
    });
}

void HttpTransfer::clearHandlers()
{
    m_handlers = std::make_shared<const Handlers>();
}

void HttpTransfer::cancel()
{
    clearHandlers();
    // libcurl forbids removing a transfer from within its own callbacks.
    m_client.m_loop.post([self = shared_from_this()] {
        if (self->m_easy != nullptr) {
            self->m_client.remove(*self);
        }
    });
}

void HttpTransfer::pause()
{
    m_paused = true;
}

void HttpTransfer::unpause()
{
    if (!m_paused || m_easy == nullptr) {
        return;
    }
    m_paused = false;
    curl_easy_pause(m_easy, CURLPAUSE_CONT);
}

HttpClient::HttpClient(Loop &loop, long maxIdleConnections)
    : m_loop(loop)
    , m_multi(curl_multi_init())
    , m_timer(loop, [this] { onTimeout(); })
{
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, &HttpClientCallbacks::onSocket);
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, &HttpClientCallbacks::onTimer);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, maxIdleConnections);
}

HttpClient::~HttpClient()
{
    const auto active = m_active;
    for (const auto &[easy, transfer] : active) {
        transfer->clearHandlers();
        remove(*transfer);
    }
    for (CURL *easy : m_freeHandles) {
        curl_easy_cleanup(easy);
    }
    curl_multi_cleanup(m_multi);
}

std::shared_ptr<HttpTransfer> HttpClient::start(HttpClientRequest request, HttpTransfer::Handlers handlers)
{
    const bool valid = isWellFormedRequest(request.method, request.url, request.headers);
    std::shared_ptr<HttpTransfer> transfer(new HttpTransfer(*this, std::move(request), std::move(handlers)));
    if (!valid) {
        transfer->failInvalidRequest();
        return transfer;
    }
    m_active.emplace(transfer->m_easy, transfer);
    curl_multi_add_handle(m_multi, transfer->m_easy);
    return transfer;
}

std::shared_ptr<HttpTransfer> HttpClient::fetch(HttpClientRequest request, ResponseHandler handler)
{
    struct Response
    {
        unsigned status = 0;
        HttpHeaders headers;
        std::string body;
    };
    const auto response = std::make_shared<Response>();
    HttpTransfer::Handlers handlers;
    handlers.onHead = [response](unsigned status, const HttpHeaders &headers, std::optional<std::uint64_t>) {
        response->status = status;
        response->headers = headers;
    };
    handlers.onData = [response](std::string_view bytes) {
        response->body.append(bytes);
    };
    handlers.onDone = [response, handler = std::move(handler)](const HttpClientResult &result) {
        handler(result, response->status, response->headers, std::move(response->body));
    };
    return start(std::move(request), std::move(handlers));
}

CURL *HttpClient::acquireHandle()
{
    if (m_freeHandles.empty()) {
        return curl_easy_init();
    }
    CURL *easy = m_freeHandles.back();
    m_freeHandles.pop_back();
    return easy;
}

void HttpClient::remove(HttpTransfer &transfer)
{
    CURL *easy = std::exchange(transfer.m_easy, nullptr);
    curl_multi_remove_handle(m_multi, easy);
    if (m_freeHandles.size() < MaxFreeHandles) {
        curl_easy_reset(easy);
        m_freeHandles.push_back(easy);
    } else {
        curl_easy_cleanup(easy);
    }
    m_active.erase(easy);
}

void HttpClient::onSocketEvent(int descriptor, int events)
{
    const int flags
        = ((events & EV_READ) != 0 ? CURL_CSELECT_IN : 0) | ((events & EV_WRITE) != 0 ? CURL_CSELECT_OUT : 0);
    int running = 0;
    curl_multi_socket_action(m_multi, descriptor, flags, &running);
    processCompleted();
}

void HttpClient::onTimeout()
{
    int running = 0;
    curl_multi_socket_action(m_multi, CURL_SOCKET_TIMEOUT, 0, &running);
    processCompleted();
}

void HttpClient::processCompleted()
{
    int left = 0;
    while (CURLMsg *message = curl_multi_info_read(m_multi, &left)) {
        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        const CURLcode code = message->data.result;
        const auto found = m_active.find(message->easy_handle);
        if (found == m_active.end()) {
            continue;
        }
        const auto transfer = found->second;
        const HttpClientResult result = transfer->resultOf(code);
        if (result.code == ResultCode::Ok) {
            transfer->deliverHead();
        }
        const auto handlers = transfer->m_handlers;
        remove(*transfer);
        transfer->clearHandlers();
        if (handlers->onDone) {
            handlers->onDone(result);
        }
    }
}

} // namespace jasminemast
