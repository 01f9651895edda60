// Paces the bulk frames of all links of a host at the rate of the host's network uplink.
#pragma once

#include "jasminemast/net/loop.h"
#include "jasminemast/net/sendschedule.h"

namespace jasminemast
{

/// Runs the schedule on the event loop and tells links when to send. Outlives the links that use it.
class SendPacer
{
public:
    SendPacer(Loop &loop, const Clock &clock, ByteRate rate);

    /// False if there is no rate limit: links then send without the pacer.
    [[nodiscard]] bool isLimited() const
    {
        return m_schedule.isLimited();
    }

    /// Adds a stream of \p link that has bulk frames to send; admitBulkFrame() is called when one may be sent.
    void add(Link &link, StreamId stream, const BulkPriority &priority);
    void remove(Link &link, StreamId stream);
    /// Removes all streams of \p link.
    void removeLink(const Link &link);
    /// See SendSchedule::expedite().
    void expedite(const Link &link);
    /// See SendSchedule::addUnscheduledBytes().
    void addUnscheduledBytes(std::size_t bytes);
    /// Count bulk frames that were added to or removed from a link's queue.
    void addQueuedBytes(std::size_t bytes)
    {
        m_queuedBytes += bytes;
    }
    void removeQueuedBytes(std::size_t bytes)
    {
        m_queuedBytes -= bytes;
    }
    /// Bytes of bulk frames queued on all links.
    [[nodiscard]] std::size_t queuedBytes() const
    {
        return m_queuedBytes;
    }
    /// Continues sending, after a link became writable or a stream was added.
    void wakeUp();

private:
    void run();

    const Clock &m_clock;
    SendSchedule m_schedule;
    std::size_t m_queuedBytes = 0;
    Timer m_timer; ///< active while a frame may be sent now, or until the rate allows one
};

} // namespace jasminemast
