// A back end with slots, cold start, drain, load shedding, cancellation, deadlines and a ledger.
#pragma once

#include "httpserver.h"
#include "ledger.h"

#include <nlohmann/json.hpp>

namespace jasminemast::standin
{

enum class TargetMode {
    Ok,
    Cold, ///< works slowly and says so
    Draining, ///< says so, but still takes what it gets
    Shed, ///< refuses everything
    Slow, ///< works TargetSettings::slowFactor times as long, health says ok
    Frozen, ///< takes requests and never answers
    CloseAfterRun, ///< runs each request, then closes without an answer
    CloseBeforeRun, ///< closes without running
    LyingHealth, ///< refuses everything while health says ok and idle
};

struct TargetSettings
{
    std::string name;
    unsigned slots = 12;
    Milliseconds service {2};
    Milliseconds coldStart {0}; ///< time after the start during which the target is cold
    unsigned slowFactor = 5;
    Milliseconds healthLag {0}; ///< how old the health page's content is
};

/// Serves `/health`, `/blob`, `/admin/ledger`, `/admin/stats`, `/admin/fault`, and any other path as work.
class Target
{
public:
    Target(EventLoop &loop, const sockaddr_in &address, TargetSettings settings);

    [[nodiscard]] const Ledger &ledger() const
    {
        return m_ledger;
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
    struct Work;

    void handle(const HttpExchangePtr &exchange);
    void handleAdmin(const HttpExchangePtr &exchange);
    void setFault(const HttpExchangePtr &exchange);
    void showHealth(const HttpExchangePtr &exchange);
    void sampleHealth();
    [[nodiscard]] Health currentHealth() const;
    void work(const HttpExchangePtr &exchange);
    void complete(const std::shared_ptr<Work> &work);
    void expire(const std::shared_ptr<Work> &work);
    void endWork(Work &work, RunEnd end);
    [[nodiscard]] HttpResponse makeAnswer(const HttpRequest &request) const;
    [[nodiscard]] HttpResponse makeBlob(const HttpRequest &request) const;
    [[nodiscard]] bool isCold() const;
    [[nodiscard]] Milliseconds serviceTime() const;

    EventLoop &m_loop;
    TargetSettings m_settings;
    TargetMode m_mode = TargetMode::Ok;
    TimePoint m_started;
    unsigned m_busy = 0; ///< slots in use
    unsigned m_peakBusy = 0;
    std::uint64_t m_shed = 0;
    Ledger m_ledger;
    std::deque<Health> m_healthSamples; ///< oldest first
    Timer m_healthTimer;
    HttpServer m_server;
};

/// Runs `jasminemast-standin target` until a signal ends it.
int runTarget();

} // namespace jasminemast::standin
