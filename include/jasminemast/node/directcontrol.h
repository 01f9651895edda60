// Configuration straight from the platform: every node watches the service and the host list itself.
#pragma once

#include "jasminemast/config/ticket.h"
#include "jasminemast/node/sourcewatcher.h"
#include "jasminemast/node/views.h"
#include "jasminemast/support/metrics.h"

#include <map>
#include <memory>
#include <vector>

namespace jasminemast
{

/// One entry of the logbook.
struct LogbookEntry
{
    TicketNumber number;
    Digest digest;
    ResultCode code = ResultCode::Ok;
    std::string detail;
    WallTimePoint inForceAt;
};

/// Follows the accepted head ticket by ticket.
class DirectControl final : public ConfigView, public FleetView
{
public:
    DirectControl(Loop &loop, const Clock &clock, const NodeSettings &settings, Metrics &metrics);

    void start();

    [[nodiscard]] StatePtr current() const override
    {
        return m_state;
    }
    void whenReached(TicketNumber number, TimePoint deadline, std::function<void(bool)> done) override;
    [[nodiscard]] const HostView *findHost(const HostId &host) const override;

    [[nodiscard]] bool isReady() const
    {
        return m_state->number >= m_head.number && m_headSeen && m_hostsSeen;
    }
    [[nodiscard]] const std::vector<LogbookEntry> &logbook() const
    {
        return m_logbook;
    }

private:
    struct Waiter;

    void onHead(std::string_view value);
    void fetchNext();
    void onTicket(TicketNumber number, const std::string &bytes);
    void onHosts(std::string_view value);
    void wakeWaiters();
    void onPlatformFailure(const char *key, ResultCode code, const std::string &detail);

    Loop &m_loop;
    const Clock &m_clock;
    NodeSettings m_settings;
    Metrics &m_metrics;
    HttpClient m_http;
    SourceWatcher m_headWatcher;
    SourceWatcher m_hostWatcher;
    Timer m_retryTimer;
    StatePtr m_state = emptyState();
    Head m_head;
    bool m_headSeen = false;
    bool m_hostsSeen = false;
    bool m_fetching = false;
    std::map<HostId, HostView> m_hosts;
    std::vector<LogbookEntry> m_logbook;
    std::vector<std::shared_ptr<Waiter>> m_waiters;
};

} // namespace jasminemast
