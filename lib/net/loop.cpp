// RAII wrappers of libev.
#include "jasminemast/net/loop.h"

#include <unistd.h>

#include <array>
#include <atomic>
#include <cerrno>
#include <csignal>
#include <stdexcept>
#include <utility>

namespace jasminemast
{

namespace
{

constexpr int TimerPriority = EV_MINPRI;
/// More than the longest chain of functions that post one another in the course of one event.
constexpr int MaxPostedRounds = 16;

ev_tstamp toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// For each signal, when the process received it if no watcher has been called since; 0: not received.
std::array<std::atomic<Duration::rep>, NSIG> receivedAt;
static_assert(std::atomic<Duration::rep>::is_always_lock_free, "a signal handler may use no lock");

Duration steadyTime()
{
    return std::chrono::steady_clock::now().time_since_epoch();
}

/// Replaces libev's handler, which records no time.
void onSignalReceived(int signal)
{
    const int error = errno;
    Duration::rep none = 0;
    receivedAt.at(static_cast<std::size_t>(signal)).compare_exchange_strong(none, steadyTime().count());
    ev_feed_signal(signal);
    errno = error;
}

void recordTimeOf(int signal)
{
    struct sigaction action = {};
    action.sa_handler = &onSignalReceived;
    action.sa_flags = SA_RESTART;
    sigfillset(&action.sa_mask);
    ::sigaction(signal, &action, nullptr);
}

} // namespace

Loop::Loop()
    : m_loop(ev_loop_new(EVFLAG_AUTO))
{
    if (m_loop == nullptr) {
        throw std::runtime_error("cannot create an event loop");
    }
    ev_prepare_init(&m_prepare, &Loop::onPrepare);
    m_prepare.data = this;
    ev_prepare_start(m_loop, &m_prepare);
    ev_unref(m_loop);
    ev_idle_init(&m_idle, &Loop::onIdle);
}

Loop::~Loop()
{
    discardPosted();
    ev_idle_stop(m_loop, &m_idle);
    ev_ref(m_loop);
    ev_prepare_stop(m_loop, &m_prepare);
    ev_loop_destroy(m_loop);
}

void Loop::run()
{
    ev_run(m_loop, 0);
}

void Loop::stop()
{
    ev_break(m_loop, EVBREAK_ALL);
}

void Loop::post(std::function<void()> work)
{
    m_posted.push_back(std::move(work));
}

void Loop::onPrepare(struct ev_loop * /*loop*/, ev_prepare *watcher, int /*events*/)
{
    static_cast<Loop *>(watcher->data)->runPosted();
}

void Loop::onIdle(struct ev_loop * /*loop*/, ev_idle * /*watcher*/, int /*events*/)
{
}

void Loop::runPosted()
{
    for (int round = 0; round < MaxPostedRounds && !m_posted.empty(); ++round) {
        std::vector<std::function<void()>> batch;
        batch.swap(m_posted);
        for (const auto &work : batch) {
            work();
        }
    }
    if (m_posted.empty()) {
        ev_idle_stop(m_loop, &m_idle);
    } else {
        ev_idle_start(m_loop, &m_idle);
    }
}

void Loop::discardPosted()
{
    while (!m_posted.empty()) {
        std::vector<std::function<void()>> batch;
        batch.swap(m_posted);
    }
}

Timer::Timer(Loop &loop, std::function<void()> callback)
    : m_loop(loop)
    , m_callback(std::move(callback))
{
    ev_init(&m_timer, &Timer::onTimer);
    ev_set_priority(&m_timer, TimerPriority);
    m_timer.data = this;
}

Timer::~Timer()
{
    stop();
}

void Timer::start(Duration delay)
{
    restart(delay, Duration::zero());
}

void Timer::startRepeating(Duration period)
{
    restart(period, period);
}

void Timer::restart(Duration delay, Duration repeat)
{
    stop();
    ev_now_update(m_loop.raw());
    const ev_tstamp seconds = delay > Duration::zero() ? toSeconds(delay) : 0.0;
    ev_timer_set(&m_timer, seconds, toSeconds(repeat));
    ev_timer_start(m_loop.raw(), &m_timer);
}

void Timer::stop()
{
    ev_timer_stop(m_loop.raw(), &m_timer);
}

bool Timer::isActive() const
{
    return ev_is_active(&m_timer) != 0 || ev_is_pending(&m_timer) != 0;
}

void Timer::onTimer(struct ev_loop * /*loop*/, ev_timer *watcher, int /*events*/)
{
    static_cast<Timer *>(watcher->data)->m_callback();
}

IoWatcher::IoWatcher(Loop &loop, Callback callback)
    : m_loop(loop)
    , m_callback(std::move(callback))
{
    ev_init(&m_io, &IoWatcher::onIo);
    m_io.data = this;
}

IoWatcher::~IoWatcher()
{
    stop();
}

void IoWatcher::start(int descriptor, int events)
{
    if (ev_is_active(&m_io) != 0 && m_io.fd == descriptor && (m_io.events & (EV_READ | EV_WRITE)) == events) {
        return;
    }
    stop();
    ev_io_set(&m_io, descriptor, events);
    ev_io_start(m_loop.raw(), &m_io);
}

void IoWatcher::stop()
{
    ev_io_stop(m_loop.raw(), &m_io);
}

void IoWatcher::onIo(struct ev_loop * /*loop*/, ev_io *watcher, int events)
{
    static_cast<IoWatcher *>(watcher->data)->m_callback(events);
}

SignalWatcher::SignalWatcher(Loop &loop, int signal, Callback callback)
    : m_loop(loop)
    , m_callback(std::move(callback))
{
    ev_signal_init(&m_signal, &SignalWatcher::onSignal, signal);
    m_signal.data = this;
    ev_signal_start(m_loop.raw(), &m_signal);
    recordTimeOf(signal);
    ev_unref(m_loop.raw());
}

SignalWatcher::~SignalWatcher()
{
    ev_ref(m_loop.raw());
    ev_signal_stop(m_loop.raw(), &m_signal);
}

void SignalWatcher::onSignal(struct ev_loop * /*loop*/, ev_signal *watcher, int /*events*/)
{
    const Duration::rep received = receivedAt.at(static_cast<std::size_t>(watcher->signum)).exchange(0);
    const Duration age = received == 0 ? Duration::zero() : steadyTime() - Duration(received);
    static_cast<SignalWatcher *>(watcher->data)->m_callback(age);
}

Descriptor::Descriptor(Descriptor &&other) noexcept
    : m_value(std::exchange(other.m_value, -1))
{
}

Descriptor &Descriptor::operator=(Descriptor &&other) noexcept
{
    if (this != &other) {
        close();
        m_value = std::exchange(other.m_value, -1);
    }
    return *this;
}

Descriptor::~Descriptor()
{
    close();
}

void Descriptor::close()
{
    if (m_value >= 0) {
        ::close(std::exchange(m_value, -1));
    }
}

} // namespace jasminemast
