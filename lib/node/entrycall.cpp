// Headers and bodies between a caller and the attempts of its call.
#include "jasminemast/node/entrycall.h"

#include <algorithm>
#include <charconv>

namespace jasminemast
{

namespace
{

constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusBadGateway = 502;
constexpr unsigned StatusUnavailable = 503;
constexpr unsigned StatusGatewayTimeout = 504;
constexpr const char *DeadlineHeader = "Jasminemast-Deadline-Ms";
constexpr const char *TicketHeader = "Jasminemast-Ticket";
constexpr const char *OutcomeHeader = "Jasminemast-Outcome";
constexpr const char *CodeHeader = "Jasminemast-Code";

std::optional<std::uint64_t> numberHeader(const HttpHeaders &headers, const char *name)
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

bool isOwnHeader(std::string_view name)
{
    return equalHeaderNames(name, DeadlineHeader) || equalHeaderNames(name, TicketHeader)
        || equalHeaderNames(name, OutcomeHeader) || equalHeaderNames(name, CodeHeader);
}

const char *outcomeText(Outcome outcome)
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
    if (outcome == Outcome::NotRun) {
        return StatusUnavailable;
    }
    return code == ResultCode::DeadlineExceeded ? StatusGatewayTimeout : StatusBadGateway;
}

} // namespace

CallerLimits callerLimits(const HttpHeaders &headers, Milliseconds atMost)
{
    CallerLimits limits;
    limits.deadline = atMost;
    if (const auto asked = numberHeader(headers, DeadlineHeader)) {
        const auto most = static_cast<std::uint64_t>(atMost.count());
        limits.deadline = Milliseconds(std::min(*asked, most));
    }
    limits.seen = TicketNumber(numberHeader(headers, TicketHeader).value_or(0));
    return limits;
}

EntryCall::EntryCall(std::shared_ptr<HttpExchange> exchange, StatePtr state, const Route *route, TimePoint began)
    : m_exchange(std::move(exchange))
    , m_state(std::move(state))
    , m_route(route)
    , m_began(began)
{
}

OpenMessage EntryCall::makeOpen(const OpenRequest &request) const
{
    const HttpRequest &http = m_exchange->request();
    OpenMessage open;
    open.attempt = request.attempt;
    open.peer = request.target;
    open.generation = request.generation;
    open.remainingMs = static_cast<std::uint32_t>(std::chrono::duration_cast<Milliseconds>(request.remaining).count());
    open.ticket = m_state->number;
    open.endpoint = request.endpoint;
    open.repeatable = request.repeatable;
    open.method = http.method;
    open.target = http.target;
    for (const HttpHeader &header : endToEndHeaders(http.headers)) {
        if (isOwnHeader(header.name)) {
            continue;
        }
        open.headers.emplace_back(header.name, header.value);
    }
    return open;
}

void EntryCall::setHandle(std::unique_ptr<AttemptHandle> handle)
{
    m_handle = std::move(handle);
}

void EntryCall::cancelAttempt()
{
    if (m_handle) {
        m_handle->cancel();
    }
}

void EntryCall::passHead(const HeadMessage &head, bool closeConnection)
{
    HttpHeaders headers;
    for (const auto &[name, value] : head.headers) {
        if (isOwnHeader(name) || isHopByHop(name)) {
            continue;
        }
        headers.push_back({name, value});
    }
    headers.push_back({TicketHeader, std::to_string(m_state->number.value())});
    headers.push_back({OutcomeHeader, outcomeText(Outcome::Answered)});
    if (closeConnection) {
        headers.push_back({"Connection", "close"});
    }
    m_headPassed = true;
    m_exchange->setDrainHandler([handle = std::weak_ptr(m_handle)](std::size_t bytes) {
        if (const auto attempt = handle.lock()) {
            attempt->credit(bytes);
        }
    });
    m_exchange->beginBody(head.status, headers, head.length);
}

void EntryCall::passData(std::string_view bytes)
{
    m_exchange->write(bytes);
}

void EntryCall::finish(Outcome outcome, ResultCode code, bool closeConnection)
{
    m_exchange->setCancelHandler(nullptr);
    if (outcome == Outcome::Answered) {
        m_exchange->finish();
        return;
    }
    m_exchange->setDrainHandler(nullptr);
    if (m_headPassed) {
        m_exchange->abort();
        return;
    }
    respondWithoutAnswer(*m_exchange, m_state->number, outcome, code, closeConnection);
}

void respondWithoutAnswer(HttpExchange &exchange, TicketNumber ticket, Outcome outcome, ResultCode code,
                          bool closeConnection)
{
    HttpHeaders headers;
    headers.push_back({"Content-Type", "text/plain"});
    headers.push_back({TicketHeader, std::to_string(ticket.value())});
    headers.push_back({OutcomeHeader, outcomeText(outcome)});
    headers.push_back({CodeHeader, std::to_string(number(code))});
    if (closeConnection) {
        headers.push_back({"Connection", "close"});
    }
    std::string text = std::to_string(number(code)) + " " + std::string(resultInfo(code).text) + "\n";
    exchange.respond(statusFor(outcome, code), headers, std::move(text));
}

} // namespace jasminemast
