// Connects the send schedule to its timer and the links.
#include "jasminemast/net/sendpacer.h"

#include "jasminemast/net/link.h"

namespace jasminemast
{

SendPacer::SendPacer(Loop &loop, const Clock &clock, ByteRate rate)
    : m_clock(clock)
    , m_schedule(rate)
    , m_timer(loop, [this] { run(); })
{
}

void SendPacer::add(Link &link, StreamId stream, const BulkPriority &priority)
{
    m_schedule.add({&link, stream}, priority);
    wakeUp();
}

void SendPacer::remove(Link &link, StreamId stream)
{
    m_schedule.remove({&link, stream});
}

void SendPacer::removeLink(const Link &link)
{
    m_schedule.removeLink(&link);
}

void SendPacer::expedite(const Link &link)
{
    m_schedule.expedite(&link);
}

void SendPacer::addUnscheduledBytes(std::size_t bytes)
{
    m_schedule.addUnscheduledBytes(bytes);
}

void SendPacer::wakeUp()
{
    if (!m_timer.isActive() && !m_schedule.isEmpty()) {
        m_timer.start(Duration::zero());
    }
}

void SendPacer::run()
{
    const TimePoint now = m_clock.now();
    const auto canSend = [](const Link &link) {
        return link.canSendBulk();
    };
    while (const auto next = m_schedule.next(now, canSend)) {
        const std::size_t bytes = next->link->admitBulkFrame(next->stream);
        m_schedule.recordSent(*next, bytes, next->link->hasBulk(next->stream));
    }
    const Duration delay = m_schedule.timeUntilAllowed(now);
    // Without a delay, all waiting streams are on links that cannot send; those call wakeUp() later.
    if (!m_schedule.isEmpty() && delay > Duration::zero()) {
        m_timer.start(delay);
    }
}

} // namespace jasminemast
