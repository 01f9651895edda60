// Admission beside the target and the transfer of one request to it.
#include "jasminemast/node/targetside.h"

#include <algorithm>

namespace jasminemast
{

namespace
{

constexpr long MaxTargetConnections = 100;

HttpHeaders requestHeaders(const OpenMessage &open, Milliseconds remaining)
{
    HttpHeaders headers;
    for (const auto &[name, value] : open.headers) {
        headers.push_back({name, value});
    }
    headers.push_back({"Jasminemast-Deadline-Ms", std::to_string(remaining.count())});
    headers.push_back({"Jasminemast-Ticket", std::to_string(open.ticket.value())});
    return headers;
}

} // namespace

/// One request at the target. Lives until its transfer is over, also when its asker has gone.
class RunningAttempt : public std::enable_shared_from_this<RunningAttempt>
{
public:
    RunningAttempt(TargetSide &side, OpenMessage open, std::shared_ptr<AnswerSink> sink)
        : m_side(side)
        , m_open(std::move(open))
        , m_sink(std::move(sink))
    {
        ++m_side.m_running;
        ++m_side.m_slotsUsed[m_open.endpoint];
    }

    ~RunningAttempt()
    {
        --m_side.m_running;
        --m_side.m_slotsUsed[m_open.endpoint];
    }

    RunningAttempt(const RunningAttempt &) = delete;
    RunningAttempt &operator=(const RunningAttempt &) = delete;

    void start(const Endpoint &endpoint, std::string body)
    {
        const Milliseconds remaining(m_open.remainingMs);
        HttpClientRequest request;
        request.method = m_open.method;
        request.url = "http://" + m_side.m_targetAddress + ":" + std::to_string(endpoint.port) + m_open.target;
        request.headers = requestHeaders(m_open, remaining);
        request.body = std::move(body);
        request.timeout = remaining;
        request.atMostOnce = !m_open.repeatable;
        m_slots = endpoint.slots;
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
        m_transfer = m_side.m_http.start(std::move(request), std::move(handlers));
    }

    void cancel()
    {
        m_sink = nullptr;
        if (m_transfer) {
            m_transfer->cancel();
            m_transfer = nullptr;
        }
    }

    void credit(std::size_t bytes)
    {
        m_unacknowledged -= std::min(bytes, m_unacknowledged);
        if (m_unacknowledged < CallProtocol::WindowBytes && m_transfer) {
            m_transfer->unpause();
        }
    }

private:
    void onHead(unsigned status, const HttpHeaders &headers, std::optional<std::uint64_t> length)
    {
        if (!m_sink) {
            return;
        }
        HeadMessage head;
        head.status = status;
        for (const HttpHeader &header : endToEndHeaders(headers)) {
            head.headers.emplace_back(header.name, header.value);
        }
        head.length = length;
        head.ticket = m_side.m_config.current()->number;
        head.load = static_cast<float>(m_side.m_slotsUsed[m_open.endpoint]) / static_cast<float>(m_slots);
        m_sink->head(head);
    }

    void onData(std::string_view bytes)
    {
        if (!m_sink) {
            return;
        }
        m_unacknowledged += bytes.size();
        m_sink->data(bytes);
        if (m_unacknowledged >= CallProtocol::WindowBytes) {
            m_transfer->pause();
        }
    }

    void onDone(const HttpClientResult &result)
    {
        m_transfer = nullptr;
        const auto sink = std::exchange(m_sink, nullptr);
        if (!sink) {
            return;
        }
        if (!result.requestSent) {
            sink->refused(ResultCode::TargetUnreachable, result.detail);
            return;
        }
        sink->end(result.code, result.detail);
    }

    TargetSide &m_side;
    OpenMessage m_open;
    std::shared_ptr<AnswerSink> m_sink; ///< null once the asker has gone or has the whole answer
    std::shared_ptr<HttpTransfer> m_transfer;
    std::size_t m_unacknowledged = 0; ///< answer bytes passed on and not yet credited
    unsigned m_slots = 1;
};

namespace
{

class RunningHandle final : public AttemptHandle
{
public:
    explicit RunningHandle(const std::shared_ptr<RunningAttempt> &attempt)
        : m_attempt(attempt)
    {
    }

    void cancel() override
    {
        if (const auto attempt = m_attempt.lock()) {
            attempt->cancel();
        }
    }

    void credit(std::size_t bytes) override
    {
        if (const auto attempt = m_attempt.lock()) {
            attempt->credit(bytes);
        }
    }

private:
    std::weak_ptr<RunningAttempt> m_attempt;
};

} // namespace

TargetSide::TargetSide(Loop &loop, const ConfigView &config, HostId self, std::string targetAddress)
    : m_loop(loop)
    , m_config(config)
    , m_self(std::move(self))
    , m_targetAddress(std::move(targetAddress))
    , m_http(loop, MaxTargetConnections)
{
}

ResultCode TargetSide::admit(const OpenMessage &open, const Endpoint *endpoint) const
{
    if (endpoint == nullptr || endpoint->host != m_self || endpoint->draining) {
        return ResultCode::NoEndpoint;
    }
    if (open.remainingMs == 0) {
        return ResultCode::DeadlineExceeded;
    }
    const auto used = m_slotsUsed.find(open.endpoint);
    if (used != m_slotsUsed.end() && used->second >= endpoint->slots) {
        return ResultCode::SlotsFull;
    }
    return ResultCode::Ok;
}

std::unique_ptr<AttemptHandle> TargetSide::open(OpenMessage open, std::string body, std::shared_ptr<AnswerSink> sink)
{
    const StatePtr state = m_config.current();
    const auto found = state->endpoints.find(open.endpoint);
    const Endpoint *endpoint = found == state->endpoints.end() ? nullptr : found->second.get();
    const ResultCode code = admit(open, endpoint);
    if (code != ResultCode::Ok) {
        m_loop.post([sink = std::move(sink), code] { sink->refused(code, ""); });
        return std::make_unique<RunningHandle>(nullptr);
    }
    const auto attempt = std::make_shared<RunningAttempt>(*this, std::move(open), std::move(sink));
    attempt->start(*endpoint, std::move(body));
    return std::make_unique<RunningHandle>(attempt);
}

} // namespace jasminemast
