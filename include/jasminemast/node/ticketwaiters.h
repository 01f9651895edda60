// Callbacks that wait for a ticket to come into force.
#pragma once

#include "jasminemast/net/loop.h"
#include "jasminemast/support/ids.h"

#include <functional>
#include <memory>
#include <vector>

namespace jasminemast
{

/// Callbacks that wait for a ticket, each with its deadline.
class TicketWaiters
{
public:
    TicketWaiters(Loop &loop, const Clock &clock);
    ~TicketWaiters();
    TicketWaiters(const TicketWaiters &) = delete;
    TicketWaiters &operator=(const TicketWaiters &) = delete;

    /// Calls \p done with true once onTicketReached() reports \p number or a later ticket, or with false at \p
    /// deadline.
    void add(TicketNumber number, TimePoint deadline, std::function<void(bool)> done);
    /// Calls the callbacks that wait for \p number or an earlier ticket.
    void onTicketReached(TicketNumber number);

private:
    struct Waiter;

    Loop &m_loop;
    const Clock &m_clock;
    std::vector<std::shared_ptr<Waiter>> m_waiters;
};

} // namespace jasminemast
