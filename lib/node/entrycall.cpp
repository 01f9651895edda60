// Translates headers and bodies between a caller and the attempts of its call.
#include "jasminemast/node/entrycall.h"

#include <algorithm>
#include <charconv>
#include <iomanip>
#include <sstream>
#include <utility>

namespace jasminemast
{

namespace
{

constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusContentTooLarge = 413;
constexpr unsigned StatusBadGateway = 502;
constexpr unsigned StatusUnavailable = 503;
constexpr unsigned StatusGatewayTimeout = 504;
constexpr const char *TicketHeader = "Jasminemast-Ticket";
constexpr const char *OutcomeHeader = "Jasminemast-Outcome";
constexpr const char *CodeHeader = "Jasminemast-Code";

std::optional<std::uint64_t> parseNumberHeader(const HttpHeaders &headers, const char *name)
{
    const std::string *text = findHeader(headers, name);
    if (text == nullptr) {
        return std::nullopt;
    }
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), value);
    if (error != std::errc() || end != text->data() + text->size()) {
        return std::nullopt;
    }
    return value;
}

bool isNodeResponseHeader(std::string_view name)
{
    return equalHeaderNames(name, TicketHeader) || equalHeaderNames(name, OutcomeHeader)
        || equalHeaderNames(name, CodeHeader);
}

/// True for request headers that only nodes may set.
bool isSetByNode(std::string_view name, const HeaderNames &names)
{
    return isNodeResponseHeader(name) || equalHeaderNames(name, names.deadline)
        || equalHeaderNames(name, names.expectedEndpoint) || equalHeaderNames(name, names.callerService);
}

/// The header names that the Connection header lists as hop-by-hop.
std::vector<std::string> connectionOptions(const HttpHeaders &headers)
{
    std::vector<std::string> options;
    for (const HttpHeader &header : headers) {
        if (!equalHeaderNames(header.name, "Connection")) {
            continue;
        }
        std::stringstream list(header.value);
        for (std::string option; std::getline(list, option, ',');) {
            std::erase_if(option, [](char c) { return c == ' ' || c == '\t'; });
            options.push_back(option);
        }
    }
    return options;
}

std::int32_t saturatedMilliseconds(Microseconds time)
{
    const auto count = std::chrono::duration_cast<Milliseconds>(time).count();
    return static_cast<std::int32_t>(std::clamp<std::int64_t>(count, INT32_MIN, INT32_MAX));
}

std::string formatSeconds(Milliseconds time)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(3) << std::chrono::duration<double>(time).count();
    return text.str();
}

const char *outcomeName(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Answered:
        return "answered";
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Unknown:
        break;
    }
    return "unknown";
}

unsigned statusFor(Outcome outcome, ResultCode code)
{
    if (code == ResultCode::NoRoute) {
        return StatusNotFound;
    }
    if (code == ResultCode::RequestTooLarge) {
        return StatusContentTooLarge;
    }
    if (outcome == Outcome::NotRun) {
        return StatusUnavailable;
    }
    return code == ResultCode::DeadlineExceeded ? StatusGatewayTimeout : StatusBadGateway;
}

} // namespace

CallerLimits callerLimits(const HttpHeaders &headers, const HeaderNames &names, Milliseconds maxDeadline)
{
    CallerLimits limits;
    limits.deadline = maxDeadline;
    if (const auto requested = parseNumberHeader(headers, names.deadline.c_str())) {
        const auto maxMs = static_cast<std::uint64_t>(maxDeadline.count());
        limits.deadline = Milliseconds(std::min(*requested, maxMs));
    }
    limits.minTicket = TicketNumber(parseNumberHeader(headers, TicketHeader).value_or(0));
    return limits;
}

std::string requestHost(const HttpHeaders &headers)
{
    const std::string *header = findHeader(headers, "Host");
    if (header == nullptr) {
        return {};
    }
    std::string host = header->substr(0, header->find(':'));
    std::transform(host.begin(), host.end(), host.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return host;
}

EntryCall::EntryCall(std::shared_ptr<HttpExchange> exchange, StatePtr state, const Route *route,
                     const CallHeaders &headers, EntryTimes times)
    : m_exchange(std::move(exchange))
    , m_state(std::move(state))
    , m_route(route)
    , m_headers(headers)
    , m_times(times)
{
}

OpenMessage EntryCall::makeOpenMessage(const OpenRequest &request) const
{
    const HttpRequest &http = m_exchange->request();
    OpenMessage open;
    open.attempt = request.attempt;
    open.peer = request.target;
    open.generation = request.generation;
    open.remainingMs = static_cast<std::uint32_t>(std::chrono::duration_cast<Milliseconds>(request.remaining).count());
    // The target's node must not end the attempt before this node does.
    open.responseTimeoutMs
        = static_cast<std::uint32_t>(std::chrono::ceil<Milliseconds>(request.responseTimeout).count());
    open.ticket = m_state->number;
    open.endpoint = request.endpoint;
    open.repeatable = request.repeatable;
    open.priority = request.priority;
    open.softTimeoutMs = saturatedMilliseconds(request.softTimeout);
    open.method = http.method;
    open.target = http.target;
    const std::vector<std::string> dropped = connectionOptions(http.headers);
    const auto isDropped = [&dropped](const std::string &name) {
        return std::any_of(dropped.begin(), dropped.end(),
                           [&name](const std::string &option) { return equalHeaderNames(option, name); });
    };
    for (const HttpHeader &header : endToEndHeaders(http.headers)) {
        if (isSetByNode(header.name, m_headers.names) || isDropped(header.name)) {
            continue;
        }
        open.headers.emplace_back(header.name, header.value);
    }
    if (!m_headers.names.callerService.empty()) {
        open.headers.emplace_back(m_headers.names.callerService, m_headers.callerService.value());
    }
    return open;
}

std::string EntryCall::requestId() const
{
    const std::string &name = m_headers.names.requestId;
    const std::string *id = name.empty() ? nullptr : findHeader(m_exchange->request().headers, name);
    return id == nullptr ? std::string() : *id;
}

ResponseProgress EntryCall::progress() const
{
    ResponseProgress progress = m_progress;
    progress.unsent = m_exchange->unsentBytes();
    return progress;
}

void EntryCall::setHandle(std::unique_ptr<AttemptHandle> handle)
{
    m_handle = std::move(handle);
    m_takesUpload = false;
}

void EntryCall::beginUpload()
{
    m_upload.begin(body().size());
    m_takesUpload = isUpload();
    pumpUpload();
}

void EntryCall::pumpUpload()
{
    if (!m_takesUpload) {
        return;
    }
    // What is sent beyond the collected bytes is not held for another attempt.
    while (!m_upload.canBegin() && m_upload.allowance() > 0) {
        const std::string piece = m_exchange->takeUpload(std::min(m_upload.allowance(), CallProtocol::MaxPieceBytes));
        if (piece.empty()) {
            break;
        }
        m_upload.recordSent(piece.size());
        m_handle->sendBody(piece);
    }
    if (m_exchange->isUploadTaken()) {
        m_takesUpload = false;
        m_handle->endBody();
    }
}

bool EntryCall::recordConsumed(std::size_t bytes)
{
    const bool isFirst = m_upload.recordConsumed(bytes);
    if (isFirst) {
        m_exchange->dropCollectedBody();
    }
    pumpUpload();
    return isFirst;
}

void EntryCall::cancelAttempt()
{
    if (m_handle) {
        m_handle->cancel(ResultCode::CallWithdrawn);
    }
}

void EntryCall::withdrawAttempt()
{
    if (m_handle) {
        m_handle->withdraw();
    }
}

void EntryCall::forwardHead(const HeadMessage &head, bool closeConnection)
{
    HttpHeaders headers;
    for (const auto &[name, value] : head.headers) {
        if (isNodeResponseHeader(name) || isHopByHop(name)) {
            continue;
        }
        headers.push_back({name, value});
    }
    headers.push_back({TicketHeader, std::to_string(m_state->number.value())});
    headers.push_back({OutcomeHeader, outcomeName(Outcome::Answered)});
    if (closeConnection) {
        headers.push_back({"Connection", "close"});
    }
    m_progress.length = head.length;
    m_exchange->setBytesSentHandler([handle = std::weak_ptr(m_handle)](std::size_t bytes) {
        if (const auto attempt = handle.lock()) {
            attempt->credit(bytes);
        }
    });
    m_heldHead = HeldHead {head.status, std::move(headers), head.length};
    if (!m_isHeadHeld) {
        releaseHead();
    }
}

void EntryCall::releaseHead()
{
    if (const auto head = std::exchange(m_heldHead, std::nullopt)) {
        m_progress.isStarted = true;
        m_exchange->beginBody(head->status, head->headers, head->length);
    }
}

void EntryCall::forwardData(std::string_view bytes)
{
    releaseHead();
    m_progress.received += bytes.size();
    m_exchange->write(bytes);
}

void EntryCall::finish(Outcome outcome, ResultCode code, const FailureHeaders &failure)
{
    m_exchange->setCancelHandler(nullptr);
    if (outcome == Outcome::Answered) {
        releaseHead();
        m_exchange->finish();
        return;
    }
    m_exchange->setBytesSentHandler(nullptr);
    if (m_progress.isStarted && !m_exchange->withdrawResponse()) {
        m_exchange->abort();
        return;
    }
    respondWithFailure(*m_exchange, m_headers.names, m_state->number, outcome, code, failure);
}

void respondWithFailure(HttpExchange &exchange, const HeaderNames &names, TicketNumber ticket, Outcome outcome,
                        ResultCode code, const FailureHeaders &failure)
{
    HttpHeaders headers;
    headers.push_back({"Content-Type", "text/plain"});
    headers.push_back({TicketHeader, std::to_string(ticket.value())});
    headers.push_back({OutcomeHeader, outcomeName(outcome)});
    headers.push_back({CodeHeader, std::to_string(number(code))});
    const std::string *id = names.requestId.empty() ? nullptr : findHeader(exchange.request().headers, names.requestId);
    if (id != nullptr) {
        headers.push_back({names.requestId, *id});
    }
    if (outcome == Outcome::NotRun && failure.retryAfter.count() > 0) {
        headers.push_back({"Retry-After", formatSeconds(failure.retryAfter)});
    }
    if (failure.closeConnection) {
        headers.push_back({"Connection", "close"});
    }
    std::string text = std::to_string(number(code)) + " " + std::string(resultInfo(code).text) + "\n";
    exchange.respond(statusFor(outcome, code), headers, std::move(text));
}

} // namespace jasminemast
