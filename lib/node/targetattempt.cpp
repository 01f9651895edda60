// The transfer of one attempt and the record of its answer.
#include "jasminemast/node/targetattempt.h"

#include "jasminemast/call/fence.h"

#include <algorithm>

namespace jasminemast
{

namespace
{

constexpr unsigned StatusMisdirected = 421;

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

TargetAttempt::TargetAttempt(OpenMessage open, std::string body, std::shared_ptr<AnswerSink> sink)
    : m_open(std::move(open))
    , m_requestBody(std::move(body))
    , m_sink(std::move(sink))
    , m_recordWhole(!m_open.repeatable)
{
}

void TargetAttempt::start(HttpClient &http, const TargetRequest &request, DoneHandler onDone)
{
    m_onDone = std::move(onDone);
    HttpClientRequest transfer;
    transfer.method = m_open.method;
    transfer.url = request.url + m_open.target;
    m_names = request.headers;
    m_window = request.window;
    transfer.headers = requestHeaders(m_open, m_names, request.remaining);
    transfer.body = std::move(m_requestBody);
    transfer.timeout = request.remaining;
    transfer.connectTimeout = std::min(transfer.connectTimeout, request.remaining);
    transfer.atMostOnce = !m_open.repeatable;
    HttpTransfer::Handlers handlers;
    const auto self = shared_from_this();
    handlers.onHead = [self](unsigned status, const HttpHeaders &headers, std::optional<std::uint64_t> length) {
        self->onHead(status, headers, length);
    };
    handlers.onData = [self](std::string_view bytes) {
        self->onData(bytes);
    };
    handlers.onDone = [self](const HttpClientResult &result) {
        self->onDone(result);
    };
    m_transfer = http.start(std::move(transfer), std::move(handlers));
}

void TargetAttempt::abort()
{
    if (const auto transfer = std::exchange(m_transfer, nullptr)) {
        transfer->cancel();
    }
}

void TargetAttempt::credit(std::size_t bytes)
{
    m_unacknowledged -= std::min(bytes, m_unacknowledged);
    if (m_transfer && m_unacknowledged < m_window()) {
        m_transfer->unpause();
    }
}

bool TargetAttempt::moveTo(std::shared_ptr<AnswerSink> sink)
{
    if (m_head && !m_recordWhole) {
        return false;
    }
    m_sink = std::move(sink);
    m_unacknowledged = 0;
    m_sink->fenced(FenceStatus::Running);
    if (!m_head) {
        return true;
    }
    m_sink->head(*m_head);
    pass(m_record);
    if (m_transfer) {
        m_transfer->unpause();
    }
    return true;
}

void TargetAttempt::onHead(unsigned status, const HttpHeaders &headers, std::optional<std::uint64_t> length)
{
    m_judgement = judge(status, headers);
    if (m_judgement == ResultCode::AnswerForeign) {
        giveUpForeign();
    }
    if (m_judgement != ResultCode::Ok) {
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

ResultCode TargetAttempt::judge(unsigned status, const HttpHeaders &headers) const
{
    const std::string *answered = m_names.requestId.empty() ? nullptr : findHeader(headers, m_names.requestId);
    if (answered != nullptr) {
        for (const auto &[name, value] : m_open.headers) {
            if (equalHeaderNames(name, m_names.requestId) && value != *answered) {
                return ResultCode::AnswerForeign;
            }
        }
    }
    if (!m_names.expectedEndpoint.empty() && status == StatusMisdirected) {
        return ResultCode::TargetReplaced;
    }
    if (!m_names.notRun.empty() && findHeader(headers, m_names.notRun) != nullptr) {
        return ResultCode::TargetShed;
    }
    return ResultCode::Ok;
}

void TargetAttempt::giveUpForeign()
{
    // Whatever else comes on this connection belongs to nobody here.
    if (const auto transfer = std::exchange(m_transfer, nullptr)) {
        transfer->cancel();
    }
    const HttpClientResult result {ResultCode::AnswerForeign, "", true};
    m_onDone(result, nullptr);
}

void TargetAttempt::onData(std::string_view bytes)
{
    if (m_judgement != ResultCode::Ok) {
        return;
    }
    if (m_recordWhole && m_record.size() + bytes.size() <= FenceLimits {}.maxCachedResponseBytes) {
        m_record.append(bytes);
    } else {
        m_recordWhole = false;
        m_record.clear();
    }
    pass(bytes);
}

void TargetAttempt::pass(std::string_view bytes)
{
    if (bytes.empty()) {
        return;
    }
    m_unacknowledged += bytes.size();
    m_sink->data(bytes);
    if (m_transfer && m_unacknowledged >= m_window()) {
        m_transfer->pause();
    }
}

void TargetAttempt::onDone(const HttpClientResult &result)
{
    m_transfer = nullptr;
    if (result.code == ResultCode::Ok && m_judgement != ResultCode::Ok) {
        m_onDone({m_judgement, "", true}, nullptr);
        return;
    }
    m_onDone(result, result.code == ResultCode::Ok ? kept() : nullptr);
}

std::shared_ptr<const CachedResponse> TargetAttempt::kept() const
{
    if (!m_recordWhole || !m_head) {
        return nullptr;
    }
    return std::make_shared<CachedResponse>(
        CachedResponse {static_cast<int>(m_head->status), encodeMessage(*m_head), m_record});
}

void replay(const CachedResponse &answer, AnswerSink &sink)
{
    sink.head(decodeMessage<HeadMessage>(answer.headers, ResultCode::InternalError));
    sink.data(answer.body);
    sink.end(ResultCode::Ok, "");
}

} // namespace jasminemast
