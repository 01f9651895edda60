// The HTTP transfer of one attempt and the cache of its response.
#include "jasminemast/node/targetattempt.h"

#include "jasminemast/call/fence.h"

#include <algorithm>
#include <utility>

namespace jasminemast
{

namespace
{

constexpr unsigned StatusMisdirected = 421;
/// Bytes of a refusal that are read, so that its connection can be used again.
constexpr std::size_t MaxRefusalBytes = 64U << 10U;
/// Bytes of an upload that are passed to the transfer at a time.
constexpr std::size_t MaxUnwrittenBytes = 64U << 10U;

HttpHeaders requestHeaders(const OpenMessage &open, const HeaderNames &names, Milliseconds remaining)
{
    HttpHeaders headers;
    for (const auto &[name, value] : open.headers) {
        headers.push_back({name, value});
    }
    headers.push_back({names.deadline, std::to_string(remaining.count())});
    if (!names.expectedEndpoint.empty()) {
        headers.push_back({names.expectedEndpoint, open.endpoint.value()});
    }
    headers.push_back({"Jasminemast-Ticket", std::to_string(open.ticket.value())});
    return headers;
}

} // namespace

TargetAttempt::TargetAttempt(OpenMessage open, AttemptBody body, MemoryReservation memory,
                             std::shared_ptr<ResponseSink> sink)
    : m_open(std::move(open))
    , m_requestBody(std::move(body.bytes))
    , m_isUpload(!body.isComplete)
    , m_isBodyComplete(body.isComplete)
    , m_memory(std::move(memory))
    , m_sink(std::move(sink))
    , m_cacheComplete(!m_open.repeatable)
{
}

void TargetAttempt::start(TargetClient &http, const TargetRequest &request, DoneHandler onDone)
{
    m_onDone = std::move(onDone);
    TargetClientRequest transfer;
    transfer.address = request.address;
    transfer.method = m_open.method;
    transfer.target = m_open.target;
    m_startedAt = request.startedAt;
    m_timeout = request.timeout;
    m_names = request.headers;
    m_window = request.window;
    transfer.headers = requestHeaders(m_open, m_names, request.remaining);
    if (m_isUpload) {
        transfer.isUpload = true;
        transfer.uploadLength
            = m_open.bodyBytes == OpenMessage::UnknownBodyBytes ? std::nullopt : std::optional(m_open.bodyBytes);
    } else {
        transfer.body = std::move(m_requestBody);
    }
    transfer.timeout = request.timeout;
    transfer.connectTimeout = std::min(transfer.connectTimeout, request.remaining);
    transfer.atMostOnce = !m_open.repeatable;
    transfer.requestIdHeader = m_names.requestId;
    TargetTransfer::Handlers handlers;
    handlers.onForeignResponse = request.onForeignResponse;
    const auto self = shared_from_this();
    handlers.onHead = [self](unsigned status, const HttpHeaders &headers, std::optional<std::uint64_t> length) {
        self->onHead(status, headers, length);
    };
    handlers.onData = [self](std::string_view bytes) {
        self->onData(bytes);
    };
    handlers.onBodyWritten = [self] {
        self->onBodyWritten();
    };
    handlers.onDone = [self](const HttpClientResult &result) {
        self->onDone(result);
    };
    m_transfer = http.start(std::move(transfer), std::move(handlers));
    pumpBody();
}

void TargetAttempt::appendBody(std::string_view bytes)
{
    m_requestBody.append(bytes);
    pumpBody();
}

void TargetAttempt::endBody()
{
    m_isBodyComplete = true;
    pumpBody();
}

void TargetAttempt::pumpBody()
{
    if (!m_isUpload || m_transfer == nullptr || m_unwrittenBytes > 0) {
        return;
    }
    if (!m_requestBody.empty()) {
        std::string piece = m_requestBody.substr(0, MaxUnwrittenBytes);
        m_requestBody.erase(0, piece.size());
        m_unwrittenBytes = piece.size();
        m_transfer->writeBody(std::move(piece));
    }
    if (m_requestBody.empty() && m_isBodyComplete) {
        m_transfer->endBody();
    }
}

void TargetAttempt::onBodyWritten()
{
    const std::size_t bytes = std::exchange(m_unwrittenBytes, 0);
    if (m_transfer != nullptr && bytes > 0) {
        m_sink->consumed(bytes);
        pumpBody();
    }
}

void TargetAttempt::abort()
{
    if (const auto transfer = std::exchange(m_transfer, nullptr)) {
        transfer->cancel();
    }
}

void TargetAttempt::credit(std::size_t bytes)
{
    m_uncreditedBytes -= std::min(bytes, m_uncreditedBytes);
    if (m_transfer && m_uncreditedBytes < m_window()) {
        m_transfer->unpause();
    }
}

bool TargetAttempt::switchSink(std::shared_ptr<ResponseSink> sink)
{
    if (m_head && !m_cacheComplete) {
        return false;
    }
    m_sink = std::move(sink);
    m_uncreditedBytes = 0;
    m_sink->fenced(FenceStatus::Running);
    if (!m_head) {
        return true;
    }
    m_sink->head(*m_head);
    forward(m_cachedBody);
    if (m_transfer) {
        m_transfer->unpause();
    }
    return true;
}

void TargetAttempt::onHead(unsigned status, const HttpHeaders &headers, std::optional<std::uint64_t> length)
{
    m_responseError = checkResponse(status, headers);
    if (m_responseError != ResultCode::Ok) {
        return;
    }
    HeadMessage head;
    head.status = status;
    for (const HttpHeader &header : endToEndHeaders(headers)) {
        head.headers.emplace_back(header.name, header.value);
    }
    head.length = length;
    m_headContext(head);
    m_head = head;
    m_sink->head(head);
}

ResultCode TargetAttempt::checkResponse(unsigned status, const HttpHeaders &headers) const
{
    if (!m_names.expectedEndpoint.empty() && status == StatusMisdirected) {
        return ResultCode::TargetReplaced;
    }
    if (!m_names.notRun.empty() && findHeader(headers, m_names.notRun) != nullptr) {
        return ResultCode::TargetShed;
    }
    return ResultCode::Ok;
}

void TargetAttempt::onData(std::string_view bytes)
{
    if (m_responseError != ResultCode::Ok) {
        m_refusalBytes += bytes.size();
        if (m_refusalBytes > MaxRefusalBytes && m_transfer) {
            const auto transfer = std::exchange(m_transfer, nullptr);
            transfer->cancel();
            reportRefusal(transfer.get());
        }
        return;
    }
    if (m_cacheComplete && m_cachedBody.size() + bytes.size() <= FenceLimits {}.maxCachedResponseBytes) {
        m_cachedBody.append(bytes);
    } else {
        m_cacheComplete = false;
        m_cachedBody.clear();
    }
    forward(bytes);
}

void TargetAttempt::forward(std::string_view bytes)
{
    if (bytes.empty()) {
        return;
    }
    m_uncreditedBytes += bytes.size();
    m_sink->data(bytes);
    if (m_transfer && m_uncreditedBytes >= m_window()) {
        m_transfer->pause();
    }
}

void TargetAttempt::onDone(const HttpClientResult &result)
{
    const auto transfer = std::exchange(m_transfer, nullptr);
    if (result.code == ResultCode::Ok && m_responseError != ResultCode::Ok) {
        reportRefusal(transfer.get());
        return;
    }
    m_onDone(result, result.code == ResultCode::Ok ? makeCachedResponse() : nullptr);
}

void TargetAttempt::reportRefusal(const TargetTransfer *transfer)
{
    const bool mayHaveRun = transfer != nullptr && transfer->mayHaveArrivedBefore();
    m_onDone({mayHaveRun ? ResultCode::OutcomeUnknown : m_responseError, "", true}, nullptr);
}

std::shared_ptr<const CachedResponse> TargetAttempt::makeCachedResponse() const
{
    if (!m_cacheComplete || !m_head) {
        return nullptr;
    }
    return std::make_shared<CachedResponse>(
        CachedResponse {static_cast<int>(m_head->status), encodeMessage(*m_head), m_cachedBody});
}

void replay(const CachedResponse &response, ResponseSink &sink)
{
    sink.head(decodeMessage<HeadMessage>(response.headers, ResultCode::InternalError));
    sink.data(response.body);
    sink.end(ResultCode::Ok, "");
}

} // namespace jasminemast
