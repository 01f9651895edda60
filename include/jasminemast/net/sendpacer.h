// Lets the bulk frames of all links of a host go at the rate of the host's own link.
#pragma once

#include "jasminemast/net/loop.h"
#include "jasminemast/net/sendschedule.h"

namespace jasminemast
{

/// Asks the schedule whose turn it is, and tells that link to send. Outlives the links that use it.
class SendPacer
{
public:
    SendPacer(Loop &loop, const Clock &clock, ByteRate rate);

    /// False: links send as fast as the kernel takes it and need not ask.
    [[nodiscard]] bool isLimited() const
    {
        return m_schedule.isLimited();
    }

    /// The stream of \p link has bulk frames to send; the link is told through releaseBulk().
    void offer(Link &link, StreamId stream, const BulkPriority &rank);
    void withdraw(Link &link, StreamId stream);
    /// \p link is closed.
    void forget(const Link &link);
    /// As SendSchedule::addUnscheduledBytes().
    void addUnscheduledBytes(std::size_t bytes);
    /// Bulk frames were queued on a link, or left its queue.
    void queued(std::size_t bytes)
    {
        m_held += bytes;
    }
    void unqueued(std::size_t bytes)
    {
        m_held -= bytes;
    }
    /// Bytes of bulk frames that wait on all links.
    [[nodiscard]] std::size_t held() const
    {
        return m_held;
    }
    /// A link can take bytes again.
    void resume();

private:
    void run();

    const Clock &m_clock;
    SendSchedule m_schedule;
    std::size_t m_held = 0;
    Timer m_timer; ///< active while something may be let go now, or after the pause that the rate asks for
};

} // namespace jasminemast
