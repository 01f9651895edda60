// The event loop (libev) and RAII wrappers of its watchers.
//
// One loop runs in one thread, and the objects of a task are used from that thread only.
#pragma once

#include "jasminemast/support/clock.h"

#include <ev.h>

#include <functional>
#include <memory>
#include <vector>

namespace jasminemast
{

/// A libev loop with a queue of functions that run before the loop next waits for events.
class Loop
{
public:
    Loop();
    /// Destroys posted functions that have not run, and the objects that only they own.
    ~Loop();
    Loop(const Loop &) = delete;
    Loop &operator=(const Loop &) = delete;

    /// Runs until stop() is called.
    void run();
    void stop();

    /// Runs \p work in this loop iteration, after the current handler has returned. Functions that go on posting others
    /// continue in later iterations, so that descriptors and timers get their turn.
    void post(std::function<void()> work);

    [[nodiscard]] struct ev_loop *raw() const
    {
        return m_loop;
    }

private:
    static void onPrepare(struct ev_loop *loop, ev_prepare *watcher, int events);
    static void onIdle(struct ev_loop *loop, ev_idle *watcher, int events);
    void runPosted();
    /// Posted functions may own watchers, which must be stopped while the libev loop exists.
    void discardPosted();

    struct ev_loop *m_loop;
    ev_prepare m_prepare {};
    ev_idle m_idle {}; ///< active while posted functions wait for the next iteration, so that it begins at once
    std::vector<std::function<void()>> m_posted;
};

/// Calls back after a delay, once or repeatedly. Destroying the timer cancels it.
///
/// In an iteration of the loop, timers come after descriptors and signals: after a pause of the process, what has
/// arrived is read before the time to wait for it is found to be over.
class Timer
{
public:
    Timer(Loop &loop, std::function<void()> callback);
    ~Timer();
    Timer(const Timer &) = delete;
    Timer &operator=(const Timer &) = delete;

    /// Calls back once after \p delay; replaces an earlier start.
    void start(Duration delay);
    /// Calls back every \p period.
    void startRepeating(Duration period);
    void stop();
    /// True until it calls back, also while it is due.
    [[nodiscard]] bool isActive() const;

private:
    static void onTimer(struct ev_loop *loop, ev_timer *watcher, int events);
    void restart(Duration delay, Duration repeat);

    Loop &m_loop;
    std::function<void()> m_callback;
    ev_timer m_timer {};
};

/// Calls back while a descriptor is readable or writable. Does not own the descriptor.
class IoWatcher
{
public:
    using Callback = std::function<void(int events)>;

    IoWatcher(Loop &loop, Callback callback);
    ~IoWatcher();
    IoWatcher(const IoWatcher &) = delete;
    IoWatcher &operator=(const IoWatcher &) = delete;

    /// Watches \p descriptor for \p events (EV_READ, EV_WRITE); replaces an earlier watch.
    void start(int descriptor, int events);
    void stop();

private:
    static void onIo(struct ev_loop *loop, ev_io *watcher, int events);

    Loop &m_loop;
    Callback m_callback;
    ev_io m_io {};
};

/// Calls back when the process receives a signal, with the time that has passed since then: a busy loop calls late.
class SignalWatcher
{
public:
    using Callback = std::function<void(Duration age)>;

    SignalWatcher(Loop &loop, int signal, Callback callback);
    ~SignalWatcher();
    SignalWatcher(const SignalWatcher &) = delete;
    SignalWatcher &operator=(const SignalWatcher &) = delete;

private:
    static void onSignal(struct ev_loop *loop, ev_signal *watcher, int events);

    Loop &m_loop;
    Callback m_callback;
    ev_signal m_signal {};
};

/// Owns a file descriptor.
class Descriptor
{
public:
    Descriptor() = default;
    explicit Descriptor(int value)
        : m_value(value)
    {
    }
    Descriptor(Descriptor &&other) noexcept;
    Descriptor &operator=(Descriptor &&other) noexcept;
    ~Descriptor();

    [[nodiscard]] int get() const
    {
        return m_value;
    }
    [[nodiscard]] bool isOpen() const
    {
        return m_value >= 0;
    }
    void close();

private:
    int m_value = -1;
};

} // namespace jasminemast
