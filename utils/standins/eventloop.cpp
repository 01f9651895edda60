// Each libev callback finds its wrapper object through the watcher's data pointer.
#include "eventloop.h"

#include <csignal>

namespace jasminemast::standin
{

namespace
{

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

void stopLoop(struct ev_loop *loop, ev_signal *, int)
{
    ev_break(loop, EVBREAK_ALL);
}

struct OneShotTimer
{
    ev_timer timer {};
    std::function<void()> function;
};

} // namespace

EventLoop::EventLoop()
    : m_loop(ev_loop_new(EVFLAG_AUTO | EVFLAG_NOSIGMASK))
{
}

EventLoop::~EventLoop()
{
    if (m_watchesSignals) {
        ev_signal_stop(m_loop, &m_sigintWatcher);
        ev_signal_stop(m_loop, &m_sigtermWatcher);
    }
    ev_loop_destroy(m_loop);
}

void EventLoop::run()
{
    ev_run(m_loop, 0);
}

bool EventLoop::runUntil(const std::function<bool()> &done, Duration timeout)
{
    const TimePoint end = std::chrono::steady_clock::now() + timeout;
    Timer wakeUp(*this, [] {});
    while (!done()) {
        const TimePoint now = std::chrono::steady_clock::now();
        if (now >= end) {
            return false;
        }
        wakeUp.start(end - now);
        ev_run(m_loop, EVRUN_ONCE);
    }
    return true;
}

void EventLoop::stop()
{
    ev_break(m_loop, EVBREAK_ALL);
}

void EventLoop::stopOnSignals()
{
    ev_signal_init(&m_sigintWatcher, stopLoop, SIGINT);
    ev_signal_init(&m_sigtermWatcher, stopLoop, SIGTERM);
    ev_signal_start(m_loop, &m_sigintWatcher);
    ev_signal_start(m_loop, &m_sigtermWatcher);
    m_watchesSignals = true;
}

void EventLoop::callAfter(Duration delay, std::function<void()> function)
{
    auto *oneShot = new OneShotTimer;
    oneShot->function = std::move(function);
    ev_timer_init(
        &oneShot->timer,
        [](struct ev_loop *, ev_timer *timer, int) {
            const std::unique_ptr<OneShotTimer> owner(static_cast<OneShotTimer *>(timer->data));
            owner->function();
        },
        toSeconds(delay), 0.);
    oneShot->timer.data = oneShot;
    ev_now_update(m_loop);
    ev_timer_start(m_loop, &oneShot->timer);
}

Timer::Timer(EventLoop &loop, std::function<void()> function)
    : m_loop(loop)
    , m_function(std::move(function))
{
    ev_init(&m_timer, [](struct ev_loop *, ev_timer *timer, int) { static_cast<Timer *>(timer->data)->m_function(); });
    m_timer.data = this;
}

Timer::~Timer()
{
    stop();
}

void Timer::start(Duration delay)
{
    stop();
    ev_now_update(m_loop.raw());
    ev_timer_set(&m_timer, toSeconds(delay), 0.);
    ev_timer_start(m_loop.raw(), &m_timer);
}

void Timer::stop()
{
    ev_timer_stop(m_loop.raw(), &m_timer);
}

IoWatcher::IoWatcher(EventLoop &loop, int descriptor, int events, std::function<void(int)> function)
    : m_loop(loop)
    , m_function(std::move(function))
    , m_events(events)
{
    ev_io_init(
        &m_io,
        [](struct ev_loop *, ev_io *io, int revents) { static_cast<IoWatcher *>(io->data)->m_function(revents); },
        descriptor, events);
    m_io.data = this;
    if (events != 0) {
        ev_io_start(m_loop.raw(), &m_io);
    }
}

IoWatcher::~IoWatcher()
{
    ev_io_stop(m_loop.raw(), &m_io);
}

void IoWatcher::setEvents(int events)
{
    if (events == m_events) {
        return;
    }
    m_events = events;
    ev_io_stop(m_loop.raw(), &m_io);
    ev_io_set(&m_io, m_io.fd, events);
    if (events != 0) {
        ev_io_start(m_loop.raw(), &m_io);
    }
}

} // namespace jasminemast::standin
