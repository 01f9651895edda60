// Calls that wait for a ticket to come into force.
#pragma once

#include "jasminemast/net/loop.h"
#include "jasminemast/support/ids.h"

#include <functional>
#include <memory>
#include <vector>

namespace jasminemast
{

class TicketWaiters
{
public:
    TicketWaiters(Loop &loop, const Clock &clock);
    ~TicketWaiters();
    TicketWaiters(const TicketWaiters &) = delete;
    TicketWaiters &operator=(const TicketWaiters &) = delete;

    /// Calls \p done with true once reached() names \p number or a later one, with false at \p deadline.
    void add(TicketNumber number, TimePoint deadline, std::function<void(bool)> done);
    /// Wakes those who wait for \p number or an earlier one.
    void reached(TicketNumber number);

private:
    struct Waiter;

    Loop &m_loop;
    const Clock &m_clock;
    std::vector<std::shared_ptr<Waiter>> m_waiters;
};

} // namespace jasminemast
