// libev glue: every callback finds its wrapper through the watcher's data pointer.
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

struct OneShot
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
        ev_signal_stop(m_loop, &m_interrupt);
        ev_signal_stop(m_loop, &m_terminate);
    }
    ev_loop_destroy(m_loop);
}

void EventLoop::run()
{
    ev_run(m_loop, 0);
}

bool EventLoop::runUntil(const std::function<bool()> &done, Duration limit)
{
    const TimePoint end = std::chrono::steady_clock::now() + limit;
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
    ev_signal_init(&m_interrupt, stopLoop, SIGINT);
    ev_signal_init(&m_terminate, stopLoop, SIGTERM);
    ev_signal_start(m_loop, &m_interrupt);
    ev_signal_start(m_loop, &m_terminate);
    m_watchesSignals = true;
}

void EventLoop::callAfter(Duration delay, std::function<void()> function)
{
    auto *shot = new OneShot;
    shot->function = std::move(function);
    ev_timer_init(
        &shot->timer,
        [](struct ev_loop *, ev_timer *timer, int) {
            const std::unique_ptr<OneShot> owned(static_cast<OneShot *>(timer->data));
            owned->function();
        },
        toSeconds(delay), 0.);
    shot->timer.data = shot;
    ev_now_update(m_loop);
    ev_timer_start(m_loop, &shot->timer);
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
