// Selection of readers and standbys, and the calls of a reader.
#include "jasminemast/spread/headwatcher.h"

#include <algorithm>

namespace jasminemast
{

namespace
{

constexpr Milliseconds ResponseGrace {1000}; ///< time beyond the wait of a call until it counts as failed
constexpr Milliseconds RetryBase {200};
constexpr Milliseconds RetryCap {3000};

} // namespace

HeadWatcher::HeadWatcher(const SpreadSettings &settings, ServiceBudget &budget, Random &random,
                         SpreadCounters &counters)
    : m_settings(settings)
    , m_budget(budget)
    , m_random(random)
    , m_counters(counters)
    , m_backoff(RetryBase, RetryCap)
{
}

void HeadWatcher::noteReader(const HostId &host, TimePoint now)
{
    m_readersSeen[host] = now;
}

void HeadWatcher::updateRole(const Topology &topology, TimePoint now)
{
    if (!m_firstUpdate) {
        m_firstUpdate = now;
    }
    const auto &self = topology.self();
    const auto order = topology.readerOrder(self.zone, now);
    const auto selfPosition = std::find(order.begin(), order.end(), self.host);
    const auto rank = static_cast<std::size_t>(selfPosition - order.begin());
    const auto readerCount = topology.readersPerZone(self.region);
    const bool wasReader = m_reader;

    if (selfPosition == order.end() || rank >= readerCount + m_settings.standbysPerZone) {
        m_reader = false;
        return;
    }
    if (rank < readerCount) {
        m_reader = true;
        return;
    }
    if (now - *m_firstUpdate < m_settings.readerTimeout) {
        return;
    }
    const auto activeReaders = std::count_if(order.begin(), selfPosition, [this, now](const HostId &host) {
        const auto seen = m_readersSeen.find(host);
        return seen != m_readersSeen.end() && now - seen->second < m_settings.readerTimeout;
    });
    m_reader = activeReaders < static_cast<std::ptrdiff_t>(readerCount);
    m_counters.takeovers += m_reader && !wasReader ? 1 : 0;
}

void HeadWatcher::requestRead()
{
    m_readRequested = true;
}

std::optional<StartWatch> HeadWatcher::step(TimePoint now)
{
    if (m_call && now >= m_call->deadline) {
        callFailed(now);
    }
    if (!m_reader && !m_readRequested) {
        return std::nullopt;
    }
    if (m_call || now < m_nextCallAt) {
        return std::nullopt;
    }
    if (!m_budget.take(now)) {
        ++m_counters.budgetRefusals;
        m_nextCallAt = now + RetryBase;
        return std::nullopt;
    }
    ++m_counters.serviceCalls;
    const auto wait = m_readRequested ? Milliseconds(0) : m_settings.watchWait;
    m_call = Call {++m_lastId, now + wait + ResponseGrace};
    return StartWatch {m_lastId, wait};
}

bool HeadWatcher::onResponse(std::uint64_t id, TimePoint now)
{
    if (!m_call || m_call->id != id) {
        return false;
    }
    m_call.reset();
    m_readRequested = false;
    m_lastResponse = now;
    m_backoff.reset();
    m_nextCallAt = now;
    return true;
}

void HeadWatcher::onFailure(std::uint64_t id, TimePoint now)
{
    if (m_call && m_call->id == id) {
        callFailed(now);
    }
}

void HeadWatcher::callFailed(TimePoint now)
{
    m_call.reset();
    ++m_counters.watchFailures;
    m_nextCallAt = now + m_backoff.next(m_random);
}

void HeadWatcher::resumeAfterPause(TimePoint now)
{
    m_call.reset();
    m_lastResponse.reset();
    m_readersSeen.clear();
    m_firstUpdate = now;
    m_nextCallAt = now;
}

bool HeadWatcher::serviceReachable(TimePoint now) const
{
    return m_lastResponse && now - *m_lastResponse < m_settings.watchWait + 2 * ResponseGrace;
}

} // namespace jasminemast
