// The course of one call at the node that its caller is connected to.
#include "jasminemast/node/entrycall.h"

#include <algorithm>
#include <charconv>

namespace jasminemast
{

namespace
{

constexpr std::uint32_t MaxAttempts = 3;
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

} // namespace

/// Passes an attempt's answer to the call, unless the call has moved on to another attempt.
class EntryCall::Sink final : public AnswerSink
{
public:
    explicit Sink(std::shared_ptr<EntryCall> call)
        : m_call(std::move(call))
    {
    }

    void detach()
    {
        m_call = nullptr;
    }

    void refused(ResultCode code, const std::string &detail) override
    {
        if (const auto call = std::exchange(m_call, nullptr)) {
            call->onRefused(code, detail);
        }
    }
    void head(const HeadMessage &head) override
    {
        if (m_call) {
            m_call->onHead(head);
        }
    }
    void data(std::string_view bytes) override
    {
        if (m_call) {
            m_call->onData(bytes);
        }
    }
    void end(ResultCode code, const std::string &detail) override
    {
        if (const auto call = std::exchange(m_call, nullptr)) {
            call->onEnd(code, detail);
        }
    }

private:
    std::shared_ptr<EntryCall> m_call; ///< null once the attempt no longer matters
};

EntryCall::EntryCall(EntrySide &side, std::shared_ptr<HttpExchange> exchange, CallId id)
    : m_side(side)
    , m_exchange(std::move(exchange))
    , m_id(std::move(id))
    , m_timer(side.m_context.loop, [this] { onDeadline(); })
{
}

void EntryCall::start()
{
    const HttpHeaders &headers = m_exchange->request().headers;
    Milliseconds budget = m_side.m_settings.defaultDeadline;
    if (const auto asked = numberHeader(headers, DeadlineHeader)) {
        budget = std::min<Milliseconds>(budget, Milliseconds(std::min<std::uint64_t>(*asked, budget.count())));
    }
    m_deadline = m_side.m_context.clock.now() + budget;
    m_timer.start(budget);
    m_exchange->setCancelHandler([self = shared_from_this()] { self->onCallerGone(); });
    const TicketNumber seen(numberHeader(headers, TicketHeader).value_or(0));
    if (seen <= m_side.m_context.config.current()->number) {
        route();
        return;
    }
    m_side.m_context.config.whenReached(seen, m_deadline, [self = shared_from_this()](bool reached) {
        if (self->m_over) {
            return;
        }
        if (!reached) {
            self->answerNotRun(ResultCode::TicketNotReached, "");
            return;
        }
        self->route();
    });
}

void EntryCall::route()
{
    const HttpRequest &request = m_exchange->request();
    m_state = m_side.m_context.config.current();
    m_route = m_state->findRoute(request.method, request.path());
    if (m_route == nullptr) {
        answerError(StatusNotFound, "not-run", ResultCode::NoRoute, "");
        return;
    }
    m_deadline = std::min(m_deadline, m_side.m_context.clock.now() + m_route->timeout);
    m_timer.start(m_deadline - m_side.m_context.clock.now());
    tryNext();
}

void EntryCall::tryNext()
{
    const Service &service = *m_state->services.at(m_route->service);
    const Endpoint *endpoint = m_side.chooseEndpoint(*m_state, service, m_avoided);
    if (endpoint == nullptr || m_attempt >= MaxAttempts || remaining() <= Milliseconds::zero()) {
        answerNotRun(ResultCode::NoEndpoint, service.id.value());
        return;
    }
    ++m_attempt;
    m_avoided.insert(endpoint->id);
    m_sink = std::make_shared<Sink>(shared_from_this());
    m_handle = m_side.openAttempt(*endpoint, makeOpen(*endpoint), m_exchange->request().body, m_sink);
}

OpenMessage EntryCall::makeOpen(const Endpoint &endpoint) const
{
    const HttpRequest &request = m_exchange->request();
    OpenMessage open;
    open.call = m_id;
    open.attempt = m_attempt;
    open.remainingMs = static_cast<std::uint32_t>(remaining().count());
    open.ticket = m_state->number;
    open.endpoint = endpoint.id;
    open.repeatable = m_route->isRepeatable(request.method);
    open.method = request.method;
    open.target = request.target;
    for (const HttpHeader &header : endToEndHeaders(request.headers)) {
        if (isOwnHeader(header.name)) {
            continue;
        }
        open.headers.emplace_back(header.name, header.value);
    }
    return open;
}

Milliseconds EntryCall::remaining() const
{
    return std::chrono::duration_cast<Milliseconds>(m_deadline - m_side.m_context.clock.now());
}

void EntryCall::onRefused(ResultCode /*code*/, const std::string & /*detail*/)
{
    m_handle = nullptr;
    tryNext();
}

void EntryCall::onHead(const HeadMessage &head)
{
    HttpHeaders headers;
    for (const auto &[name, value] : head.headers) {
        if (isOwnHeader(name) || isHopByHop(name)) {
            continue;
        }
        headers.push_back({name, value});
    }
    headers.push_back({TicketHeader, std::to_string(m_state->number.value())});
    headers.push_back({OutcomeHeader, "answered"});
    m_headSent = true;
    m_exchange->setDrainHandler([self = shared_from_this()](std::size_t bytes) {
        if (self->m_handle) {
            self->m_handle->credit(bytes);
        }
    });
    m_exchange->beginBody(head.status, headers, head.length);
}

void EntryCall::onData(std::string_view bytes)
{
    m_exchange->write(bytes);
}

void EntryCall::onEnd(ResultCode code, const std::string &detail)
{
    m_handle = nullptr;
    if (code == ResultCode::Ok && m_headSent) {
        m_exchange->finish();
        finish();
        return;
    }
    if (!m_headSent && m_route->isRepeatable(m_exchange->request().method) && m_attempt < MaxAttempts) {
        tryNext();
        return;
    }
    answerUnknown(code, detail);
}

void EntryCall::onDeadline()
{
    if (m_over) {
        return;
    }
    if (m_handle) {
        answerUnknown(ResultCode::DeadlineExceeded, "");
    } else {
        answerNotRun(ResultCode::DeadlineExceeded, "");
    }
}

void EntryCall::onCallerGone()
{
    if (m_over) {
        return;
    }
    finish();
}

void EntryCall::answerNotRun(ResultCode code, const std::string &detail)
{
    answerError(StatusUnavailable, "not-run", code, detail);
}

void EntryCall::answerUnknown(ResultCode code, const std::string &detail)
{
    if (m_headSent) {
        m_exchange->abort();
        finish();
        return;
    }
    const unsigned status = code == ResultCode::DeadlineExceeded ? StatusGatewayTimeout : StatusBadGateway;
    answerError(status, "unknown", code, detail);
}

void EntryCall::answerError(unsigned status, const char *outcome, ResultCode code, const std::string &detail)
{
    const StatePtr state = m_state ? m_state : m_side.m_context.config.current();
    HttpHeaders headers;
    headers.push_back({"Content-Type", "text/plain"});
    headers.push_back({TicketHeader, std::to_string(state->number.value())});
    headers.push_back({OutcomeHeader, outcome});
    headers.push_back({CodeHeader, std::to_string(number(code))});
    std::string text = std::to_string(number(code)) + " " + std::string(resultInfo(code).text);
    text += detail.empty() ? "\n" : ": " + detail + "\n";
    m_exchange->respond(status, headers, std::move(text));
    finish();
}

void EntryCall::finish()
{
    m_over = true;
    m_timer.stop();
    if (m_sink) {
        m_sink->detach();
    }
    if (m_handle) {
        m_handle->cancel();
        m_handle = nullptr;
    }
    m_exchange->setCancelHandler(nullptr);
    m_exchange->setDrainHandler(nullptr);
    const auto self = shared_from_this();
    m_side.m_context.loop.post([self] { self->m_side.m_calls.erase(self); });
}

} // namespace jasminemast
