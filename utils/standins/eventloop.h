// RAII wrappers around libev: a loop, one-shot timers and watchers of file descriptors.
#pragma once

#include <chrono>
#include <ev.h>
#include <functional>
#include <memory>

namespace jasminemast::standin
{

using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;
using Milliseconds = std::chrono::milliseconds;

/// A single-threaded event loop.
class EventLoop
{
public:
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /// Runs until stop() or, with stopOnSignals(), until SIGINT or SIGTERM.
    void run();
    /// Runs until \p done returns true or \p timeout has passed; returns the last result of \p done.
    bool runUntil(const std::function<bool()> &done, Duration timeout);
    void stop();
    void stopOnSignals();

    /// Calls \p function once after \p delay. The loop must outlive the call.
    void callAfter(Duration delay, std::function<void()> function);

    [[nodiscard]] struct ev_loop *raw() const
    {
        return m_loop;
    }

private:
    struct ev_loop *m_loop;
    ev_signal m_sigintWatcher {};
    ev_signal m_sigtermWatcher {};
    bool m_watchesSignals = false;
};

/// A one-shot timer that can be restarted; the destructor stops it.
class Timer
{
public:
    Timer(EventLoop &loop, std::function<void()> function);
    ~Timer();
    Timer(const Timer &) = delete;
    Timer &operator=(const Timer &) = delete;

    void start(Duration delay);
    void stop();
    [[nodiscard]] bool isActive() const
    {
        return ev_is_active(&m_timer);
    }

private:
    EventLoop &m_loop;
    std::function<void()> m_function;
    ev_timer m_timer {};
};

/// Calls back when a file descriptor is ready; the destructor stops it. Does not own the descriptor.
class IoWatcher
{
public:
    IoWatcher(EventLoop &loop, int descriptor, int events, std::function<void(int)> function);
    ~IoWatcher();
    IoWatcher(const IoWatcher &) = delete;
    IoWatcher &operator=(const IoWatcher &) = delete;

    /// Watches for \p events (EV_READ, EV_WRITE) from now on; 0 watches for none.
    void setEvents(int events);

private:
    EventLoop &m_loop;
    std::function<void(int)> m_function;
    ev_io m_io {};
    int m_events;
};

} // namespace jasminemast::standin
