// Calls functions at given times, with microsecond precision and in the order of these times.
#pragma once

#include "eventloop.h"

#include <map>

namespace jasminemast::standin
{

/// A queue of pending function calls that share one timerfd.
class DelayQueue
{
public:
    explicit DelayQueue(EventLoop &loop);
    ~DelayQueue();
    DelayQueue(const DelayQueue &) = delete;
    DelayQueue &operator=(const DelayQueue &) = delete;

    /// Calls \p function at \p due; calls with equal times keep the order in which they were added.
    void add(TimePoint due, std::function<void()> function);

private:
    void runDue();
    void arm();

    int m_descriptor;
    std::multimap<TimePoint, std::function<void()>> m_pending;
    TimePoint m_armedFor = TimePoint::max();
    IoWatcher m_watcher;
};

} // namespace jasminemast::standin
