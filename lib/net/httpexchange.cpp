// Suspending a request, sending its response, and aborting it.
#include "jasminemast/net/httpexchange.h"

#include "jasminemast/net/httpserver.h"
#include "mhdconnection.h"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

namespace jasminemast
{

namespace
{

constexpr std::size_t BodyBlockBytes = 32 << 10; ///< block size of libmicrohttpd's requests for body bytes
/// Bytes of an upload that are read ahead; reading stops above and goes on below half of it.
constexpr std::size_t MaxUploadedBytes = 64 << 10;
/// Body bytes of a refused request that are read and discarded so that the caller can read the refusal; more than that
/// closes the connection.
constexpr std::size_t MaxDiscardedBodyBytes = 4 << 20;
constexpr unsigned StatusBadGateway = 502;

} // namespace

HttpExchange::HttpExchange(HttpServer &server, MHD_Connection *connection)
    : m_server(server)
    , m_connection(connection)
    , m_disconnectWatcher(server.m_loop, [this](int) { onReadableWhileSuspended(); })
{
}

HttpExchange::~HttpExchange() = default;

std::optional<std::uint64_t> HttpExchange::uploadLength() const
{
    return requestBodyLength(m_request.headers);
}

void HttpExchange::setUploadHandler(std::function<void()> handler)
{
    m_onUpload = std::move(handler);
    notifyUpload();
}

void HttpExchange::notifyUpload()
{
    if (m_onUpload) {
        m_server.m_loop.post([self = shared_from_this()] {
            // A response that the handler gives drops the handler.
            if (const auto handler = self->m_onUpload) {
                handler();
            }
        });
    }
}

std::string HttpExchange::takeUpload(std::size_t maxBytes)
{
    const std::size_t size = std::min(maxBytes, m_uploaded.size());
    std::string bytes = m_uploaded.substr(0, size);
    m_uploaded.erase(0, size);
    if (!m_isBodyComplete && m_uploaded.size() <= MaxUploadedBytes / 2) {
        resume();
    }
    return bytes;
}

void HttpExchange::dropCollectedBody()
{
    m_request.body = std::string();
}

bool HttpExchange::onBodyBytes(std::string_view bytes)
{
    m_server.recordActivity(m_connection);
    m_bodyBytes += bytes.size();
    if (m_bodyBytes > m_server.m_limits.maxBodyBytes && m_refusal == ResultCode::Ok) {
        onBodyTooLarge();
    }
    if (m_refusal != ResultCode::Ok || m_isLingering) {
        m_discardedBytes += bytes.size();
        return m_discardedBytes <= MaxDiscardedBodyBytes;
    }
    if (m_discardsUpload) {
        return true;
    }
    if (!m_dispatched) {
        m_request.body.append(bytes);
        m_server.countBody(*this);
        if (!m_dispatched && m_request.body.size() > m_server.m_limits.maxCollectedBytes) {
            m_server.beginUpload(*this);
        }
        return true;
    }
    m_uploaded.append(bytes);
    notifyUpload();
    if (m_uploaded.size() >= MaxUploadedBytes && !m_suspended) {
        suspend();
    }
    return true;
}

void HttpExchange::onBodyTooLarge()
{
    m_refusal = ResultCode::RequestTooLarge;
    dropCollectedBody();
    if (m_isUpload) {
        m_server.m_onRefusal(m_refusal);
        failUpload(m_refusal);
    }
}

bool HttpExchange::onBodyEnd()
{
    if (m_isLingering) {
        return false;
    }
    m_isBodyComplete = true;
    if (!m_dispatched && m_refusal == ResultCode::Ok) {
        m_dispatched = true;
        suspend();
        m_server.dispatch(shared_from_this());
    } else if (!m_dispatched) {
        m_dispatched = true;
        m_server.refuse(*this);
    } else if (auto held = std::exchange(m_heldResponse, std::nullopt)) {
        if (MHD_queue_response(m_connection, held->status, held->response.get()) != MHD_YES) {
            return false;
        }
    } else if (m_isUpload && m_bodyState == BodyState::Aborted) {
        return false;
    } else if (m_isUpload) {
        // libmicrohttpd has no response yet, also if one was begun a moment ago.
        suspend();
        notifyUpload();
    }
    return true;
}

void HttpExchange::failUpload(ResultCode code)
{
    m_uploadError = code;
    discardUpload();
    notifyUpload();
}

void HttpExchange::discardUpload()
{
    m_discardsUpload = true;
    m_uploaded = std::string();
    if (!m_isBodyComplete) {
        resume();
    }
}

void HttpExchange::respondEarly(unsigned status, const HttpHeaders &headers, std::string_view body)
{
    std::string text
        = "HTTP/1.1 " + std::to_string(status) + " " + MHD_get_reason_phrase_for(status) + "\r\nConnection: close\r\n";
    for (const HttpHeader &header : headers) {
        if (!equalHeaderNames(header.name, "Connection")) {
            text += header.name + ": " + header.value + "\r\n";
        }
    }
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    text += body;
    const int descriptor = descriptorOf(m_connection);
    // Best effort: the caller may have disconnected.
    (void)::send(descriptor, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    ::shutdown(descriptor, SHUT_WR);
    m_dispatched = true;
    m_responded = true;
    m_isLingering = true;
    m_onCancelled = nullptr;
    m_onUpload = nullptr;
    dropCollectedBody();
    discardUpload();
}

void HttpExchange::suspend()
{
    m_suspended = true;
    m_suspendedAtLastSweep = false;
    MHD_suspend_connection(m_connection);
    m_server.scheduleDisconnectSweep();
}

void HttpExchange::watchForDisconnect()
{
    if (!m_suspended || m_connection == nullptr) {
        return;
    }
    // Most responses start before the second sweep and need no watcher.
    if (!std::exchange(m_suspendedAtLastSweep, true)) {
        m_server.scheduleDisconnectSweep();
        return;
    }
    const auto *info = MHD_get_connection_info(m_connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    if (info != nullptr) {
        m_disconnectWatcher.start(info->connect_fd, EV_READ);
    }
}

void HttpExchange::resume()
{
    if (!m_suspended || m_connection == nullptr) {
        return;
    }
    m_suspended = false;
    m_disconnectWatcher.stop();
    MHD_resume_connection(m_connection);
    m_server.scheduleRun();
}

void HttpExchange::onReadableWhileSuspended()
{
    char byte = 0;
    const ssize_t size = ::recv(descriptorOf(m_connection), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (size > 0) {
        m_disconnectWatcher.stop();
        return;
    }
    if (size < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    m_disconnectWatcher.stop();
    const auto self = shared_from_this();
    if (m_onCancelled) {
        const auto handler = std::exchange(m_onCancelled, nullptr);
        handler();
    }
    abort();
}

void HttpExchange::respond(unsigned status, const HttpHeaders &headers, std::string body)
{
    if (m_connection == nullptr || m_responded) {
        return;
    }
    if (m_isUpload && !m_isBodyComplete) {
        respondEarly(status, headers, body);
        return;
    }
    MHD_Response *response = MHD_create_response_from_buffer(body.size(), body.data(), MHD_RESPMEM_MUST_COPY);
    queueResponse(status, headers, response);
}

void HttpExchange::beginBody(unsigned status, const HttpHeaders &headers, std::optional<std::uint64_t> length)
{
    if (m_connection == nullptr || m_responded) {
        return;
    }
    if (!isFinalStatus(status)) {
        status = StatusBadGateway;
    }
    m_bodyState = BodyState::Open;
    m_responded = true;
    m_startPending = true;
    m_server.m_loop.post([self = shared_from_this(), status, headers, length] {
        if (self->m_startPending) {
            self->startResponse(status, headers, length);
        }
    });
}

bool HttpExchange::withdrawResponse()
{
    if (!m_startPending || (m_responseStarted && !m_heldResponse)) {
        return false;
    }
    m_heldResponse.reset();
    m_responseStarted = false;
    m_startPending = false;
    m_responded = false;
    m_bodyState = BodyState::None;
    m_body.clear();
    return true;
}

void HttpExchange::startResponse(unsigned status, const HttpHeaders &headers, std::optional<std::uint64_t> length)
{
    if (m_connection == nullptr || m_responseStarted) {
        return;
    }
    m_responseStarted = true;
    const bool lengthKnown = length.has_value() || m_request.method != "HEAD";
    const bool isBodyComplete
        = m_bodyState == BodyState::Finished && lengthKnown && length.value_or(m_body.size()) == m_body.size();
    MHD_Response *response = isBodyComplete
        ? MHD_create_response_from_buffer(m_body.size(), m_body.data(), MHD_RESPMEM_MUST_COPY)
        : MHD_create_response_from_callback(length.value_or(MHD_SIZE_UNKNOWN), BodyBlockBytes,
                                            &HttpExchange::onReadBody, this, nullptr);
    // A reset before any response would tell the caller that its request was not read.
    m_endsWithConnection = m_bodyState != BodyState::Aborted && !isBodyComplete && !length && !m_takesChunks;
    queueResponse(status, headers, response);
}

void HttpExchange::queueResponse(unsigned status, const HttpHeaders &headers, MHD_Response *response)
{
    for (const HttpHeader &header : headers) {
        MHD_add_response_header(response, header.name.c_str(), header.value.c_str());
    }
    if (m_server.m_quiesced) {
        MHD_add_response_header(response, "Connection", "close");
    }
    m_responded = true;
    if (m_isUpload && !m_isBodyComplete) {
        m_heldResponse.emplace(HeldResponse {status, {response, &MHD_destroy_response}});
        return;
    }
    const MHD_Result queued = MHD_queue_response(m_connection, status, response);
    MHD_destroy_response(response);
    if (queued != MHD_YES) {
        abort();
        return;
    }
    resume();
}

void HttpExchange::write(std::string_view bytes)
{
    if (m_connection == nullptr || m_bodyState != BodyState::Open) {
        return;
    }
    m_body.append(bytes);
    if (m_responseStarted) {
        resume();
    }
}

void HttpExchange::finish()
{
    if (m_bodyState == BodyState::Open) {
        m_bodyState = BodyState::Finished;
    }
    if (m_isUpload && !m_isBodyComplete) {
        discardUpload();
        return;
    }
    if (m_responseStarted) {
        resume();
    }
}

void HttpExchange::abort()
{
    if (m_connection == nullptr) {
        return;
    }
    m_bodyState = BodyState::Aborted;
    if (m_isUpload && !m_isBodyComplete) {
        m_startPending = false;
        m_responded = true;
        m_heldResponse.reset();
        m_endsWithConnection = false;
        closeConnection();
        discardUpload();
        return;
    }
    if (!m_responded || (m_startPending && !m_responseStarted)) {
        startResponse(StatusBadGateway, {}, std::nullopt);
    }
    closeConnection();
    resume();
}

void HttpExchange::closeConnection()
{
    const int descriptor = descriptorOf(m_connection);
    if (!m_endsWithConnection) {
        ::shutdown(descriptor, SHUT_RDWR);
        return;
    }
    // libmicrohttpd shuts down the sending side before it closes the descriptor, so that SO_LINGER would come too late.
    const sockaddr unspecified {AF_UNSPEC, {}};
    if (::connect(descriptor, &unspecified, sizeof(unspecified)) != 0) {
        ::shutdown(descriptor, SHUT_RDWR);
    }
}

ssize_t HttpExchange::onReadBody(void *exchange, std::uint64_t /*position*/, char *buffer, std::size_t maxBytes)
{
    return static_cast<HttpExchange *>(exchange)->readBody(buffer, maxBytes);
}

ssize_t HttpExchange::readBody(char *buffer, std::size_t maxBytes)
{
    if (m_bodyState == BodyState::Aborted) {
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    const std::size_t size = std::min(maxBytes, m_body.size() - m_bodyOffset);
    if (size == 0 && m_bodyState == BodyState::Finished) {
        return MHD_CONTENT_READER_END_OF_STREAM;
    }
    if (size == 0) {
        suspend();
        return 0;
    }
    std::memcpy(buffer, m_body.data() + m_bodyOffset, size);
    m_bodyOffset += size;
    if (m_bodyOffset == m_body.size()) {
        m_body.clear();
        m_bodyOffset = 0;
    }
    if (m_onBytesSent) {
        m_server.m_loop.post([self = shared_from_this(), size] {
            if (self->m_onBytesSent) {
                self->m_onBytesSent(size);
            }
        });
    }
    return static_cast<ssize_t>(size);
}

void HttpExchange::onCompleted(bool isComplete)
{
    m_disconnectWatcher.stop();
    m_connection = nullptr;
    m_onBytesSent = nullptr;
    m_onUpload = nullptr;
    m_heldResponse.reset();
    m_uploaded = std::string();
    if (!isComplete && m_onCancelled) {
        const auto handler = std::exchange(m_onCancelled, nullptr);
        handler();
    }
    m_onCancelled = nullptr;
}

} // namespace jasminemast
