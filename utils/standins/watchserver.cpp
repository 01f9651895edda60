// Carries out the store's decisions on pending HTTP exchanges.
#include "watchserver.h"

#include "jsonhttp.h"

#include <algorithm>

namespace jasminemast::standin
{

namespace
{

constexpr std::uint64_t MaxWaitSeconds = 600;

template<class... Functions>
struct Overloaded : Functions...
{
    using Functions::operator()...;
};
template<class... Functions>
Overloaded(Functions...) -> Overloaded<Functions...>;

} // namespace

void WatchServer::read(const HttpExchangePtr &exchange, const std::string &key, const Render &render)
{
    countRead(key);
    auto pending = std::make_shared<PendingRead>();
    pending->exchange = exchange;
    pending->render = render;
    pending->request.key = key;
    const std::uint64_t wait = std::min(exchange->request.queryNumber("wait", 0), MaxWaitSeconds);
    const bool watches = exchange->request.query.contains("index") && wait > 0;
    if (watches) {
        pending->request.afterRevision = exchange->request.queryNumber("index", 0);
    }
    m_pending.push_back(pending);
    exchange->onEnd = [this, weak = std::weak_ptr<PendingRead>(pending)](HttpExchange::End) {
        if (const PendingReadPtr ended = weak.lock()) {
            m_pending.remove(ended);
        }
    };
    if (watches) {
        m_loop.callAfter(std::chrono::seconds(wait), [this, weak = std::weak_ptr<PendingRead>(pending)] {
            const PendingReadPtr waiting = weak.lock();
            if (waiting && waiting->exchange->isOpen() && !waiting->abandoned) {
                waiting->request.waitExpired = true;
                process(waiting);
            }
        });
    }
    process(pending);
}

void WatchServer::process(const PendingReadPtr &pending)
{
    const auto callLater = [this, weak = std::weak_ptr<PendingRead>(pending)](Duration delay, auto function) {
        m_loop.callAfter(delay, [weak, function] {
            const PendingReadPtr waiting = weak.lock();
            if (waiting && waiting->exchange->isOpen() && !waiting->abandoned) {
                function(waiting);
            }
        });
    };
    const Overloaded visitor {
        [&](const RespondNow &now) { respondWith(pending, now.version); },
        [&](const RespondLater &action) {
            pending->request.afterRevision.reset();
            callLater(action.delay, [this, version = action.version](const PendingReadPtr &waiting) {
                respondWith(waiting, version);
            });
        },
        [&](const KeepWaiting &wait) {
            if (!wait.retryAfter) {
                return;
            }
            callLater(*wait.retryAfter, [this](const PendingReadPtr &waiting) {
                waiting->request.waitExpired = true;
                process(waiting);
            });
        },
        [&](const NeverRespond &) { pending->abandoned = true; },
        [&](const CloseConnection &close) {
            if (close.status == 0) {
                pending->exchange->abort();
                return;
            }
            pending->exchange->respond(textResponse(close.status, "unavailable"));
        },
    };
    std::visit(visitor, m_store.read(pending->request));
}

void WatchServer::processMatching(const std::function<bool(const PendingRead &)> &matches)
{
    std::vector<PendingReadPtr> waiting;
    for (const PendingReadPtr &pending : m_pending) {
        const bool open = pending->exchange->isOpen() && !pending->abandoned && pending->request.afterRevision;
        if (open && matches(*pending)) {
            waiting.push_back(pending);
        }
    }
    if (m_store.fault().mode == FaultMode::Disordered) {
        std::reverse(waiting.begin(), waiting.end());
    }
    for (const PendingReadPtr &pending : waiting) {
        process(pending);
    }
}

void WatchServer::keyChanged(const std::string &key)
{
    processMatching([&key](const PendingRead &pending) { return pending.request.key == key; });
}

void WatchServer::respondWith(const PendingReadPtr &pending, const Version &version)
{
    const std::string index = std::to_string(version.revision);
    if (version.revision == 0) {
        pending->exchange->respond({404, "", {{"X-Index", index}}, {}});
        return;
    }
    std::string body = pending->render ? pending->render(version.value) : version.value;
    m_statistics.bytes += body.size();
    pending->exchange->respond({200, std::move(body), {{"X-Index", index}}, {}});
}

void WatchServer::countRead(const std::string &key)
{
    const TimePoint now = std::chrono::steady_clock::now();
    ++m_statistics.calls;
    ++m_statistics.callsByKey[key];
    m_recentReads.push_back(now);
    while (now - m_recentReads.front() > std::chrono::seconds(1)) {
        m_recentReads.pop_front();
    }
    m_statistics.peakPerSecond = std::max<std::uint64_t>(m_statistics.peakPerSecond, m_recentReads.size());
}

bool WatchServer::handleAdmin(const HttpExchangePtr &exchange)
{
    const HttpRequest &request = exchange->request;
    if (request.path == "/admin/stats" && request.method == "GET") {
        exchange->respond(statistics());
        return true;
    }
    if (request.path == "/admin/fault" && request.method == "POST") {
        setFault(exchange);
        return true;
    }
    return false;
}

HttpResponse WatchServer::statistics()
{
    const TimePoint now = std::chrono::steady_clock::now();
    const auto recent = std::count_if(m_recentReads.begin(), m_recentReads.end(),
                                      [now](TimePoint time) { return now - time <= std::chrono::seconds(1); });
    const auto watches = std::count_if(m_pending.begin(), m_pending.end(), [](const PendingReadPtr &pending) {
        return pending->request.afterRevision.has_value() && pending->exchange->isOpen();
    });
    return jsonResponse(200,
                        {{"calls", m_statistics.calls},
                         {"callsLastSecond", recent},
                         {"peakCallsPerSecond", m_statistics.peakPerSecond},
                         {"waitingWatches", watches},
                         {"bytes", m_statistics.bytes},
                         {"callsByKey", m_statistics.callsByKey},
                         {"fault", faultModeName(m_store.fault().mode)}});
}

void WatchServer::setFault(const HttpExchangePtr &exchange)
{
    FaultSettings settings;
    try {
        const nlohmann::json json = parseObject(exchange->request.body);
        const std::string name = json.at("mode").get<std::string>();
        // "silent" is an event, not a mode: requests pending now never get a response, later ones do.
        if (name == "silent") {
            for (const PendingReadPtr &pending : m_pending) {
                pending->abandoned = true;
            }
            exchange->respond(jsonResponse(200, {{"lost", m_pending.size()}}));
            return;
        }
        const std::optional<FaultMode> mode = parseFaultMode(name);
        if (!mode) {
            throw std::invalid_argument("unknown mode " + name);
        }
        settings.mode = *mode;
        settings.delay = std::chrono::milliseconds(json.value("delayMs", settings.delay.count()));
        settings.status = json.value("status", 0U);
    } catch (const std::exception &error) {
        exchange->respond(jsonResponse(400, {{"error", error.what()}}));
        return;
    }
    m_store.setFault(settings);
    exchange->respond(jsonResponse(200, {{"mode", faultModeName(settings.mode)}}));
    processMatching([](const PendingRead &) { return true; });
}

} // namespace jasminemast::standin
