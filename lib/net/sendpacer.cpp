// Timer and links around the schedule.
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

void SendPacer::offer(Link &link, StreamId stream, const BulkPriority &rank)
{
    m_schedule.add({&link, stream}, rank);
    resume();
}

void SendPacer::withdraw(Link &link, StreamId stream)
{
    m_schedule.remove({&link, stream});
}

void SendPacer::forget(const Link &link)
{
    m_schedule.removeLink(&link);
}

void SendPacer::addUnscheduledBytes(std::size_t bytes)
{
    m_schedule.addUnscheduledBytes(bytes);
}

void SendPacer::resume()
{
    if (!m_timer.isActive() && !m_schedule.isEmpty()) {
        m_timer.start(Duration::zero());
    }
}

void SendPacer::run()
{
    const TimePoint now = m_clock.now();
    const auto canSend = [](const Link &link) {
        return link.canTakeBulk();
    };
    while (const auto turn = m_schedule.next(now, canSend)) {
        const std::size_t bytes = turn->link->releaseBulk(turn->stream);
        m_schedule.sent(*turn, bytes, turn->link->hasBulk(turn->stream));
    }
    const Duration pause = m_schedule.pause(now);
    // Without a pause all that wait are on links that cannot take bytes; those resume.
    if (!m_schedule.isEmpty() && pause > Duration::zero()) {
        m_timer.start(pause);
    }
}

} // namespace jasminemast
