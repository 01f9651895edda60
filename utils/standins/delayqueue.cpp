// Uses a timerfd, since libev's timers have only millisecond resolution.
#include "delayqueue.h"

#include <algorithm>
#include <sys/timerfd.h>
#include <unistd.h>

namespace jasminemast::standin
{

DelayQueue::DelayQueue(EventLoop &loop)
    : m_descriptor(timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC))
    , m_watcher(loop, m_descriptor, EV_READ, [this](int) { runDue(); })
{
}

DelayQueue::~DelayQueue()
{
    m_watcher.setEvents(0);
    close(m_descriptor);
}

void DelayQueue::add(TimePoint due, std::function<void()> function)
{
    m_pending.emplace(due, std::move(function));
    if (due < m_armedFor) {
        arm();
    }
}

void DelayQueue::runDue()
{
    std::uint64_t expirations = 0;
    [[maybe_unused]] const ssize_t bytesRead = read(m_descriptor, &expirations, sizeof(expirations));
    m_armedFor = TimePoint::max();
    while (!m_pending.empty() && m_pending.begin()->first <= std::chrono::steady_clock::now()) {
        const std::function<void()> function = std::move(m_pending.begin()->second);
        m_pending.erase(m_pending.begin());
        function();
    }
    arm();
}

void DelayQueue::arm()
{
    constexpr std::int64_t NanosecondsPerSecond = 1'000'000'000;
    if (m_pending.empty()) {
        return;
    }
    m_armedFor = m_pending.begin()->first;
    const std::int64_t now = std::chrono::steady_clock::now().time_since_epoch().count();
    const std::int64_t remaining = std::max<std::int64_t>(1, m_armedFor.time_since_epoch().count() - now);
    itimerspec timer {};
    timer.it_value.tv_sec = remaining / NanosecondsPerSecond;
    timer.it_value.tv_nsec = remaining % NanosecondsPerSecond;
    timerfd_settime(m_descriptor, 0, &timer, nullptr);
}

} // namespace jasminemast::standin
