// Follows head and host list over HTTP.
#include "jasminemast/node/directcontrol.h"

#include "jasminemast/support/events.h"

#include <nlohmann/json.hpp>

namespace jasminemast
{

namespace
{

constexpr Milliseconds FetchRetryDelay {200};
constexpr unsigned StatusOk = 200;

std::map<HostId, HostView> parseHosts(std::string_view value)
{
    std::map<HostId, HostView> hosts;
    try {
        for (const auto &item : nlohmann::json::parse(value)) {
            HostView view;
            view.record.host = HostId(item.at("host").get<std::string>());
            view.record.region = RegionId(item.at("region").get<std::string>());
            view.record.zone = ZoneId(item.at("zone").get<std::string>());
            view.record.address = item.at("address").get<std::string>();
            view.state = item.at("state") == "leaving" ? HostState::Leaving : HostState::Live;
            hosts.emplace(view.record.host, std::move(view));
        }
    } catch (const nlohmann::json::exception &error) {
        throw ResultError(ResultCode::HostListMalformed, error.what());
    }
    return hosts;
}

} // namespace

/// Someone who waits for a ticket.
struct DirectControl::Waiter
{
    Waiter(Loop &loop, TicketNumber wanted, std::function<void(bool)> callback)
        : number(wanted)
        , done(std::move(callback))
        , timer(loop, [this] { finish(false); })
    {
    }

    void finish(bool reached)
    {
        timer.stop();
        if (const auto callback = std::exchange(done, nullptr)) {
            callback(reached);
        }
    }

    TicketNumber number;
    std::function<void(bool)> done;
    Timer timer;
};

DirectControl::DirectControl(Loop &loop, const Clock &clock, const NodeSettings &settings, Metrics &metrics)
    : m_loop(loop)
    , m_clock(clock)
    , m_settings(settings)
    , m_metrics(metrics)
    , m_http(loop)
    , m_headWatcher(loop, m_http, settings.configSource + "/v1/kv/accepted",
                    {[this](std::string_view value) { onHead(value); },
                     [this](ResultCode code, const std::string &detail) {
                         onPlatformFailure("accepted", code, detail);
                     }})
    , m_hostWatcher(loop, m_http, settings.hostList + "/v1/hosts",
                    {[this](std::string_view value) { onHosts(value); },
                     [this](ResultCode code, const std::string &detail) {
                         onPlatformFailure("hosts", code, detail);
                     }})
    , m_retryTimer(loop, [this] { fetchNext(); })
{
    for (const HostRecord &seed : settings.seeds) {
        m_hosts[seed.host] = HostView {seed, HostState::Live};
    }
}

void DirectControl::start()
{
    m_headWatcher.start();
    m_hostWatcher.start();
}

const HostView *DirectControl::findHost(const HostId &host) const
{
    const auto found = m_hosts.find(host);
    return found == m_hosts.end() ? nullptr : &found->second;
}

void DirectControl::whenReached(TicketNumber number, TimePoint deadline, std::function<void(bool)> done)
{
    if (m_state->number >= number) {
        done(true);
        return;
    }
    auto waiter = std::make_shared<Waiter>(m_loop, number, std::move(done));
    waiter->timer.start(deadline - m_clock.now());
    m_waiters.push_back(std::move(waiter));
}

void DirectControl::onHead(std::string_view value)
{
    try {
        const Head head = parseHead(value);
        m_headSeen = true;
        if (head.number > m_head.number) {
            m_head = head;
            fetchNext();
        }
    } catch (const ResultError &error) {
        onPlatformFailure("accepted", error.code(), error.detail());
    }
}

void DirectControl::fetchNext()
{
    if (m_fetching || m_state->number >= m_head.number) {
        return;
    }
    m_fetching = true;
    const TicketNumber wanted(m_state->number.value() + 1);
    HttpClientRequest request;
    request.url = m_settings.configSource + "/v1/kv/tickets/" + std::to_string(wanted.value());
    request.maxBodyBytes = TicketLimits::MaxBytes;
    m_http.fetch(
        std::move(request),
        [this, wanted](const HttpClientResult &result, unsigned status, const HttpHeaders &, const std::string &body) {
            m_fetching = false;
            if (result.code != ResultCode::Ok || status != StatusOk) {
                onPlatformFailure("tickets", ResultCode::SourceUnreachable, result.detail);
                m_retryTimer.start(FetchRetryDelay);
                return;
            }
            onTicket(wanted, body);
        });
}

void DirectControl::onTicket(TicketNumber number, const std::string &bytes)
{
    if (number == m_head.number && sha256(bytes) != m_head.digest) {
        m_metrics.count(Counter::PlatformFailures, ResultCode::DigestMismatch);
        logEvent(Event::TicketConflict, {{"number", std::to_string(number.value())}});
        m_retryTimer.start(FetchRetryDelay);
        return;
    }
    const Verdict verdict = applyTicket(m_state, number, bytes);
    m_state = verdict.state;
    m_metrics.count(Counter::TicketsApplied, verdict.code);
    m_logbook.push_back({number, m_state->ticketDigest, verdict.code, verdict.detail, m_clock.wallNow()});
    logEvent(verdict.code == ResultCode::Ok ? Event::TicketApplied : Event::TicketRefused,
             {{"number", std::to_string(number.value())},
              {"digest", m_state->ticketDigest.shortHex()},
              {"detail", verdict.detail}});
    wakeWaiters();
    fetchNext();
}

void DirectControl::onHosts(std::string_view value)
{
    try {
        m_hosts = parseHosts(value);
        m_hostsSeen = true;
    } catch (const ResultError &error) {
        onPlatformFailure("hosts", error.code(), error.detail());
    }
}

void DirectControl::onPlatformFailure(const char *key, ResultCode code, const std::string &detail)
{
    m_metrics.count(Counter::PlatformFailures, code);
    logEvent(Event::SourceDown, {{"key", key}, {"code", std::to_string(number(code))}, {"detail", detail}});
}

void DirectControl::wakeWaiters()
{
    std::vector<std::shared_ptr<Waiter>> waiting;
    waiting.swap(m_waiters);
    for (const auto &waiter : waiting) {
        if (!waiter->done) {
            continue;
        }
        if (waiter->number <= m_state->number) {
            waiter->finish(true);
            continue;
        }
        m_waiters.push_back(waiter);
    }
}

} // namespace jasminemast
