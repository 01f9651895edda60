// Waiting callbacks, each with a timer for its deadline.
#include "jasminemast/node/ticketwaiters.h"

#include <utility>

namespace jasminemast
{

/// A callback that waits for a ticket.
struct TicketWaiters::Waiter
{
    Waiter(Loop &loop, TicketNumber wanted, std::function<void(bool)> callback)
        : number(wanted)
        , done(std::move(callback))
        , timer(loop, [this] { finish(false); })
    {
    }

    void finish(bool isReached)
    {
        timer.stop();
        if (const auto callback = std::exchange(done, nullptr)) {
            callback(isReached);
        }
    }

    TicketNumber number;
    std::function<void(bool)> done;
    Timer timer;
};

TicketWaiters::TicketWaiters(Loop &loop, const Clock &clock)
    : m_loop(loop)
    , m_clock(clock)
{
}

TicketWaiters::~TicketWaiters() = default;

void TicketWaiters::add(TicketNumber number, TimePoint deadline, std::function<void(bool)> done)
{
    auto waiter = std::make_shared<Waiter>(m_loop, number, std::move(done));
    waiter->timer.start(deadline - m_clock.now());
    std::erase_if(m_waiters, [](const auto &other) { return !other->done; });
    m_waiters.push_back(std::move(waiter));
}

void TicketWaiters::onTicketReached(TicketNumber number)
{
    const auto waiting = std::exchange(m_waiters, {});
    for (const auto &waiter : waiting) {
        if (!waiter->done) {
            continue;
        }
        if (waiter->number <= number) {
            waiter->finish(true);
            continue;
        }
        m_waiters.push_back(waiter);
    }
}

} // namespace jasminemast
