// Carries out the store's decisions on held HTTP exchanges.
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
    count(key);
    auto held = std::make_shared<Held>();
    held->exchange = exchange;
    held->render = render;
    held->request.key = key;
    const std::uint64_t wait = std::min(exchange->request.number("wait", 0), MaxWaitSeconds);
    const bool watches = exchange->request.query.contains("index") && wait > 0;
    if (watches) {
        held->request.waitAbove = exchange->request.number("index", 0);
    }
    m_held.push_back(held);
    exchange->onEnd = [this, weak = std::weak_ptr<Held>(held)](HttpExchange::End) {
        if (const HeldPtr over = weak.lock()) {
            m_held.remove(over);
        }
    };
    if (watches) {
        m_loop.callAfter(std::chrono::seconds(wait), [this, weak = std::weak_ptr<Held>(held)] {
            const HeldPtr waiting = weak.lock();
            if (waiting && waiting->exchange->isOpen() && !waiting->lost) {
                waiting->request.waitExpired = true;
                decide(waiting);
            }
        });
    }
    decide(held);
}

void WatchServer::decide(const HeldPtr &held)
{
    const auto later = [this, weak = std::weak_ptr<Held>(held)](Duration delay, auto function) {
        m_loop.callAfter(delay, [weak, function] {
            const HeldPtr waiting = weak.lock();
            if (waiting && waiting->exchange->isOpen() && !waiting->lost) {
                function(waiting);
            }
        });
    };
    const Overloaded visitor {
        [&](const RespondNow &now) { answer(held, now.version); },
        [&](const RespondLater &action) {
            held->request.waitAbove.reset();
            later(action.delay, [this, version = action.version](const HeldPtr &waiting) { answer(waiting, version); });
        },
        [&](const KeepWaiting &wait) {
            if (!wait.retryAfter) {
                return;
            }
            later(*wait.retryAfter, [this](const HeldPtr &waiting) {
                waiting->request.waitExpired = true;
                decide(waiting);
            });
        },
        [&](const NeverRespond &) { held->lost = true; },
        [&](const CloseConnection &close) {
            if (close.status == 0) {
                held->exchange->abort();
                return;
            }
            held->exchange->respond(textResponse(close.status, "unavailable"));
        },
    };
    std::visit(visitor, m_store.read(held->request));
}

void WatchServer::decideAll(const std::function<bool(const Held &)> &matches)
{
    std::vector<HeldPtr> waiting;
    for (const HeldPtr &held : m_held) {
        const bool open = held->exchange->isOpen() && !held->lost && held->request.waitAbove;
        if (open && matches(*held)) {
            waiting.push_back(held);
        }
    }
    if (m_store.fault().mode == FaultMode::Disordered) {
        std::reverse(waiting.begin(), waiting.end());
    }
    for (const HeldPtr &held : waiting) {
        decide(held);
    }
}

void WatchServer::keyChanged(const std::string &key)
{
    decideAll([&key](const Held &held) { return held.request.key == key; });
}

void WatchServer::answer(const HeldPtr &held, const Version &version)
{
    const std::string index = std::to_string(version.revision);
    if (version.revision == 0) {
        held->exchange->respond({404, "", {{"X-Index", index}}, {}});
        return;
    }
    std::string body = held->render ? held->render(version.value) : version.value;
    m_statistics.bytes += body.size();
    held->exchange->respond({200, std::move(body), {{"X-Index", index}}, {}});
}

void WatchServer::count(const std::string &key)
{
    const TimePoint now = std::chrono::steady_clock::now();
    ++m_statistics.calls;
    ++m_statistics.callsByKey[key];
    m_lastSecond.push_back(now);
    while (now - m_lastSecond.front() > std::chrono::seconds(1)) {
        m_lastSecond.pop_front();
    }
    m_statistics.peakPerSecond = std::max<std::uint64_t>(m_statistics.peakPerSecond, m_lastSecond.size());
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
    const auto recent = std::count_if(m_lastSecond.begin(), m_lastSecond.end(),
                                      [now](TimePoint time) { return now - time <= std::chrono::seconds(1); });
    const auto watches = std::count_if(m_held.begin(), m_held.end(), [](const HeldPtr &held) {
        return held->request.waitAbove.has_value() && held->exchange->isOpen();
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
        // "silent" is an event, not a mode: what waits now is never answered, new requests are.
        if (name == "silent") {
            for (const HeldPtr &held : m_held) {
                held->lost = true;
            }
            exchange->respond(jsonResponse(200, {{"lost", m_held.size()}}));
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
    decideAll([](const Held &) { return true; });
}

} // namespace jasminemast::standin
