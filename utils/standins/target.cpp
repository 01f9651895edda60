// Runs requests: each holds a slot until its response was sent or the client has closed the connection.
#include "target.h"

#include "flags.h"
#include "jsonhttp.h"
#include "patternbody.h"
#include "socketaddress.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <gflags/gflags.h>
#include <optional>
#include <stdexcept>

DEFINE_uint32(slots, 12, "target: maximum number of concurrent requests");
DEFINE_uint32(service_ms, 2, "target: run time of one request");
DEFINE_uint32(cold_start_ms, 0, "target: time after the start during which the target warms up");

namespace jasminemast::standin
{

namespace
{

constexpr Milliseconds HealthInterval {20};

constexpr std::array<std::pair<const char *, TargetMode>, 9> ModeNames {{
    {"ok", TargetMode::Ok},
    {"cold", TargetMode::Cold},
    {"draining", TargetMode::Draining},
    {"shed", TargetMode::Shed},
    {"slow", TargetMode::Slow},
    {"frozen", TargetMode::Frozen},
    {"closeAfterRun", TargetMode::CloseAfterRun},
    {"closeBeforeRun", TargetMode::CloseBeforeRun},
    {"lyingHealth", TargetMode::LyingHealth},
}};

std::optional<TargetMode> parseMode(const std::string &name)
{
    for (const auto &[text, mode] : ModeNames) {
        if (name == text) {
            return mode;
        }
    }
    return std::nullopt;
}

std::int64_t wallMilliseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<Milliseconds>(now).count();
}

std::optional<Milliseconds> deadlineOf(const HttpRequest &request)
{
    const std::optional<std::string> text = request.header("jasminemast-deadline-ms");
    if (!text) {
        return std::nullopt;
    }
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), value);
    if (error != std::errc()) {
        return std::nullopt;
    }
    return Milliseconds(value);
}

} // namespace

/// One request that holds a slot. The run log outlives it.
struct Target::ActiveRun
{
    HttpExchangePtr exchange;
    Run &run;
    bool holdsSlot = true;
};

Target::Target(EventLoop &loop, const sockaddr_in &address, TargetSettings settings)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_startTime(std::chrono::steady_clock::now())
    , m_healthTimer(loop, [this] { sampleHealth(); })
    , m_server(loop, address, [this](const HttpExchangePtr &exchange) { handle(exchange); })
{
    sampleHealth();
}

void Target::handle(const HttpExchangePtr &exchange)
{
    const std::string &path = exchange->request.path;
    if (path == "/health") {
        respondHealth(exchange);
        return;
    }
    if (path.starts_with("/admin/")) {
        handleAdmin(exchange);
        return;
    }
    startRun(exchange);
}

void Target::handleAdmin(const HttpExchangePtr &exchange)
{
    const std::string &path = exchange->request.path;
    if (path == "/admin/ledger") {
        exchange->respond({200, m_runLog.toJsonLines(), {{"Content-Type", "application/jsonl"}}, {}});
        return;
    }
    if (path == "/admin/stats") {
        exchange->respond(jsonResponse(200,
                                       {{"name", m_settings.name},
                                        {"busy", m_busySlots},
                                        {"peakBusy", m_peakBusySlots},
                                        {"slots", m_settings.slots},
                                        {"runs", m_runLog.runs().size()},
                                        {"shed", m_shedCount}}));
        return;
    }
    if (path == "/admin/fault" && exchange->request.method == "POST") {
        setFault(exchange);
        return;
    }
    exchange->respond(textResponse(404, "no such page"));
}

void Target::setFault(const HttpExchangePtr &exchange)
{
    try {
        const nlohmann::json json = parseObject(exchange->request.body);
        const std::string name = json.at("mode").get<std::string>();
        const std::optional<TargetMode> mode = parseMode(name);
        if (!mode) {
            throw std::invalid_argument("unknown mode " + name);
        }
        m_settings.slowFactor = json.value("slowFactor", m_settings.slowFactor);
        m_settings.healthLag = Milliseconds(json.value("healthLagMs", m_settings.healthLag.count()));
        m_settings.serviceDuration = Milliseconds(json.value("serviceMs", m_settings.serviceDuration.count()));
        m_mode = *mode;
        exchange->respond(jsonResponse(200, {{"mode", name}}));
    } catch (const std::exception &error) {
        exchange->respond(jsonResponse(400, {{"error", error.what()}}));
    }
}

bool Target::isWarmingUp() const
{
    return m_mode == TargetMode::Cold || std::chrono::steady_clock::now() - m_startTime < m_settings.warmUpTime;
}

Target::Health Target::measureHealth() const
{
    Health health {std::chrono::steady_clock::now(), "ok", 0};
    if (m_mode == TargetMode::LyingHealth) {
        return health;
    }
    health.load = std::min(1.0, static_cast<double>(m_busySlots) / std::max(1U, m_settings.slots));
    if (m_mode == TargetMode::Draining) {
        health.state = "draining";
    } else if (isWarmingUp()) {
        health.state = "cold";
    }
    return health;
}

void Target::sampleHealth()
{
    const TimePoint now = std::chrono::steady_clock::now();
    m_healthSamples.push_back(measureHealth());
    while (m_healthSamples.size() > 1 && m_healthSamples[1].time <= now - m_settings.healthLag) {
        m_healthSamples.pop_front();
    }
    m_healthTimer.start(HealthInterval);
}

void Target::respondHealth(const HttpExchangePtr &exchange)
{
    if (m_mode == TargetMode::Frozen) {
        return;
    }
    const bool isDelayed = m_settings.healthLag.count() > 0;
    const Health health = isDelayed ? m_healthSamples.front() : measureHealth();
    exchange->respond(jsonResponse(200, {{"state", health.state}, {"load", health.load}}));
}

Milliseconds Target::effectiveServiceDuration() const
{
    const bool slowed = m_mode == TargetMode::Slow || isWarmingUp();
    return slowed ? m_settings.serviceDuration * m_settings.slowFactor : m_settings.serviceDuration;
}

void Target::startRun(const HttpExchangePtr &exchange)
{
    const bool refusesAll = m_mode == TargetMode::Shed || m_mode == TargetMode::LyingHealth;
    if (refusesAll || m_busySlots >= m_settings.slots) {
        ++m_shedCount;
        exchange->respond({503, "shed\n", {{"Retry-After", "1"}}, {}});
        return;
    }
    if (m_mode == TargetMode::CloseBeforeRun) {
        exchange->abort();
        return;
    }
    const HttpRequest &request = exchange->request;
    Run &run = m_runLog.begin({request.header("x-call-id").value_or(""), request.method, request.path,
                               wallMilliseconds(), 0, false, m_mode == TargetMode::Draining, RunEnd::Running});
    const auto activeRun = std::make_shared<ActiveRun>(ActiveRun {exchange, run});
    ++m_busySlots;
    m_peakBusySlots = std::max(m_peakBusySlots, m_busySlots);
    exchange->onCancel = [this, activeRun] {
        endRun(*activeRun, RunEnd::Cancelled);
    };
    exchange->onEnd = [this, activeRun](HttpExchange::End end) {
        endRun(*activeRun, end == HttpExchange::End::Completed ? RunEnd::Answered : RunEnd::Unanswered);
    };
    if (m_mode == TargetMode::Frozen) {
        return;
    }
    const Milliseconds duration = effectiveServiceDuration();
    const std::optional<Milliseconds> deadline = deadlineOf(request);
    if (deadline && *deadline < duration) {
        m_loop.callAfter(std::max(*deadline, Milliseconds(0)), [this, activeRun] { expireRun(activeRun); });
        return;
    }
    if (duration.count() == 0) {
        completeRun(activeRun);
        return;
    }
    m_loop.callAfter(duration, [this, activeRun] { completeRun(activeRun); });
}

void Target::completeRun(const std::shared_ptr<ActiveRun> &activeRun)
{
    if (activeRun->run.end != RunEnd::Running) {
        return;
    }
    activeRun->run.finishedWork = true;
    if (m_mode == TargetMode::CloseAfterRun) {
        endRun(*activeRun, RunEnd::Unanswered);
        activeRun->exchange->abort();
        return;
    }
    const HttpRequest &request = activeRun->exchange->request;
    activeRun->exchange->respond(request.path.ends_with("/blob") ? makeBlobResponse(request) : makeResponse(request));
}

void Target::expireRun(const std::shared_ptr<ActiveRun> &activeRun)
{
    if (activeRun->run.end != RunEnd::Running) {
        return;
    }
    endRun(*activeRun, RunEnd::Expired);
    activeRun->exchange->respond(textResponse(504, "deadline exceeded"));
}

void Target::endRun(ActiveRun &activeRun, RunEnd end)
{
    if (!activeRun.holdsSlot) {
        return;
    }
    activeRun.holdsSlot = false;
    --m_busySlots;
    activeRun.run.end = end;
    activeRun.run.finishedMs = wallMilliseconds();
}

HttpResponse Target::makeResponse(const HttpRequest &request) const
{
    const std::string callId = request.header("x-call-id").value_or("");
    const nlohmann::json json = {
        {"callId", callId},     {"target", m_settings.name},           {"method", request.method},
        {"path", request.path}, {"requestBytes", request.body.size()}, {"requestChecksum", checksumOf(request.body)}};
    HttpResponse response = jsonResponse(200, json);
    response.headers.emplace_back("X-Call-Id", callId);
    response.headers.emplace_back("X-Checksum", checksumOf(response.body));
    return response;
}

HttpResponse Target::makeBlobResponse(const HttpRequest &request) const
{
    constexpr std::uint64_t MaxBlobBytes = 1ULL << 30U;
    const std::uint64_t seed = request.queryNumber("seed", 1);
    HttpResponse response;
    response.stream.emplace();
    response.stream->bytes = std::min(request.queryNumber("bytes", 1024), MaxBlobBytes);
    response.stream->chunkBytes = std::max<std::uint64_t>(1, request.queryNumber("chunkBytes", 64ULL * 1024));
    response.stream->chunkDelay = Milliseconds(request.queryNumber("chunkDelayMs", 0));
    response.stream->fill = [seed](std::uint64_t offset, char *buffer, std::size_t length) {
        fillPattern(seed, offset, buffer, length);
    };
    response.headers = {{"Content-Type", "application/octet-stream"},
                        {"X-Call-Id", request.header("x-call-id").value_or("")},
                        {"X-Checksum", checksumOfPattern(seed, response.stream->bytes)}};
    return response;
}

int runTarget()
{
    EventLoop loop;
    const TargetSettings settings {FLAGS_name, FLAGS_slots, Milliseconds(FLAGS_service_ms),
                                   Milliseconds(FLAGS_cold_start_ms)};
    const Target target(loop, parseSocketAddress(FLAGS_listen), settings);
    loop.stopOnSignals();
    loop.run();
    return 0;
}

} // namespace jasminemast::standin
