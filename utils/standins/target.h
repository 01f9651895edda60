// Stand-in for a target: a server with slots, warm-up, draining, load shedding, cancellation, deadlines and a run log.
#pragma once

#include "httpserver.h"
#include "runlog.h"

#include <nlohmann/json.hpp>

namespace jasminemast::standin
{

enum class TargetMode {
    Ok,
    Cold, ///< warming up: runs slowly and reports "cold"
    Draining, ///< reports "draining", but still accepts requests
    Shed, ///< refuses every request
    Slow, ///< takes TargetSettings::slowFactor times as long, but reports "ok"
    Frozen, ///< accepts requests and never responds
    CloseAfterRun, ///< runs each request, then closes the connection without a response
    CloseBeforeRun, ///< closes the connection without running the request
    LyingHealth, ///< refuses every request while it reports "ok" and no load
};

struct TargetSettings
{
    std::string name;
    unsigned slots = 12;
    Milliseconds serviceDuration {2}; ///< run time of one request
    Milliseconds warmUpTime {0}; ///< time after the start during which the target warms up
    unsigned slowFactor = 5; ///< factor of the run time while slow or warming up
    Milliseconds healthLag {0}; ///< age of the state and load that the health page shows
};

/// Serves `/health`, `/blob`, `/admin/ledger`, `/admin/stats`, `/admin/fault`, and runs any other path as a request.
class Target
{
public:
    Target(EventLoop &loop, const sockaddr_in &address, TargetSettings settings);

    [[nodiscard]] const RunLog &runLog() const
    {
        return m_runLog;
    }
    [[nodiscard]] std::uint16_t port() const
    {
        return m_server.port();
    }
    void setMode(TargetMode mode)
    {
        m_mode = mode;
    }

private:
    struct Health
    {
        TimePoint time;
        std::string state;
        double load = 0;
    };
    struct ActiveRun;

    void handle(const HttpExchangePtr &exchange);
    void handleAdmin(const HttpExchangePtr &exchange);
    void setFault(const HttpExchangePtr &exchange);
    void respondHealth(const HttpExchangePtr &exchange);
    void sampleHealth();
    [[nodiscard]] Health measureHealth() const;
    void startRun(const HttpExchangePtr &exchange);
    void completeRun(const std::shared_ptr<ActiveRun> &activeRun);
    void expireRun(const std::shared_ptr<ActiveRun> &activeRun);
    void endRun(ActiveRun &activeRun, RunEnd end);
    [[nodiscard]] HttpResponse makeResponse(const HttpRequest &request) const;
    [[nodiscard]] HttpResponse makeBlobResponse(const HttpRequest &request) const;
    [[nodiscard]] bool isWarmingUp() const;
    [[nodiscard]] Milliseconds effectiveServiceDuration() const;

    EventLoop &m_loop;
    TargetSettings m_settings;
    TargetMode m_mode = TargetMode::Ok;
    TimePoint m_startTime;
    unsigned m_busySlots = 0;
    unsigned m_peakBusySlots = 0;
    std::uint64_t m_shedCount = 0;
    RunLog m_runLog;
    std::deque<Health> m_healthSamples; ///< oldest first
    Timer m_healthTimer;
    HttpServer m_server;
};

/// Runs `jasminemast-standin target` until SIGINT or SIGTERM.
int runTarget();

} // namespace jasminemast::standin
