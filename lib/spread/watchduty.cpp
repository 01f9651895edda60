// Reader and standby logic.
#include "jasminemast/spread/watchduty.h"

#include <algorithm>

namespace jasminemast
{

namespace
{

constexpr Milliseconds SilenceGrace {1000}; ///< beyond the wait of a call, before its connection counts as silent
constexpr Milliseconds RetryBase {200};
constexpr Milliseconds RetryCap {3000};

} // namespace

WatchDuty::WatchDuty(const SpreadSettings &settings, ServiceBudget &budget, Random &random, SpreadCounters &counters)
    : m_settings(settings)
    , m_budget(budget)
    , m_random(random)
    , m_counters(counters)
    , m_backoff(RetryBase, RetryCap)
{
}

void WatchDuty::readerHeard(const HostId &host, TimePoint now)
{
    m_readersHeard[host] = now;
}

void WatchDuty::review(const Topology &topology, TimePoint now)
{
    if (!m_firstReview) {
        m_firstReview = now;
    }
    const auto &self = topology.self();
    const auto order = topology.readerOrder(self.zone, now);
    const auto own = std::find(order.begin(), order.end(), self.host);
    const auto rank = static_cast<std::size_t>(own - order.begin());
    const auto wanted = topology.readersPerZone(self.region);
    const bool wasReader = m_reader;

    if (own == order.end() || rank >= wanted + m_settings.standbysPerZone) {
        m_reader = false;
        return;
    }
    if (rank < wanted) {
        m_reader = true;
        return;
    }
    if (now - *m_firstReview < m_settings.readerTimeout) {
        return;
    }
    const auto working = std::count_if(order.begin(), own, [this, now](const HostId &host) {
        const auto heard = m_readersHeard.find(host);
        return heard != m_readersHeard.end() && now - heard->second < m_settings.readerTimeout;
    });
    m_reader = working < static_cast<std::ptrdiff_t>(wanted);
    m_counters.takeovers += m_reader && !wasReader ? 1 : 0;
}

void WatchDuty::readOnce()
{
    m_readOnce = true;
}

std::optional<StartWatch> WatchDuty::step(TimePoint now)
{
    if (m_call && now >= m_call->deadline) {
        callFailed(now);
    }
    if (!m_reader && !m_readOnce) {
        return std::nullopt;
    }
    if (m_call || now < m_notBefore) {
        return std::nullopt;
    }
    if (!m_budget.take(now)) {
        ++m_counters.budgetRefusals;
        m_notBefore = now + RetryBase;
        return std::nullopt;
    }
    ++m_counters.serviceCalls;
    const auto wait = m_readOnce ? Milliseconds(0) : m_settings.watchWait;
    m_call = Call {++m_lastId, now + wait + SilenceGrace};
    return StartWatch {m_lastId, wait};
}

bool WatchDuty::answered(std::uint64_t id, TimePoint now)
{
    if (!m_call || m_call->id != id) {
        return false;
    }
    m_call.reset();
    m_readOnce = false;
    m_lastAnswer = now;
    m_backoff.reset();
    m_notBefore = now;
    return true;
}

void WatchDuty::failed(std::uint64_t id, TimePoint now)
{
    if (m_call && m_call->id == id) {
        callFailed(now);
    }
}

void WatchDuty::callFailed(TimePoint now)
{
    m_call.reset();
    ++m_counters.watchFailures;
    m_notBefore = now + m_backoff.next(m_random);
}

void WatchDuty::resumeAfterPause(TimePoint now)
{
    m_call.reset();
    m_lastAnswer.reset();
    m_readersHeard.clear();
    m_firstReview = now;
    m_notBefore = now;
}

bool WatchDuty::sourceFresh(TimePoint now) const
{
    return m_lastAnswer && now - *m_lastAnswer < m_settings.watchWait + 2 * SilenceGrace;
}

} // namespace jasminemast
