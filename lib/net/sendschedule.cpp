// Shortest remaining transfer first, at the link's rate.
#include "jasminemast/net/sendschedule.h"

#include <algorithm>
#include <cassert>

namespace jasminemast
{

namespace
{

/// Share of the link's rate that is used. The rest is for the headers of packets, 40 of 1,500 bytes, for
/// acknowledgements, and for calls to the registry.
constexpr double RateShare = 0.95;
/// What may go at once after a pause: the loop wakes up late by a few milliseconds.
constexpr std::chrono::duration<double> BurstTime {0.02};
/// The same at the least: two of the largest frames with a piece of body.
constexpr double LeastBurstBytes = 32 << 10;
/// What goes past the schedule is not held back, so a flood of it stops all bulk; for no longer than this after its
/// end.
constexpr std::chrono::duration<double> LongestDebt {1};
/// To set back a stream that has less to send would gain nothing for the others.
constexpr std::uint64_t ShortRestBytes = 32 << 10;

} // namespace

void BulkPriority::advance(std::uint64_t bytes)
{
    sent += bytes;
    if (remaining) {
        *remaining -= std::min(*remaining, bytes);
    }
}

SendSchedule::SendSchedule(ByteRate rate)
    : m_bytesPerSecond(rate.value() * RateShare)
    , m_allowance(LeastBurstBytes)
{
}

SendSchedule::Place SendSchedule::placeOf(const BulkStream &stream, const Waiting &waiting)
{
    return {waiting.isLate, waiting.rank.expectedRest(), stream};
}

bool SendSchedule::endsTooLate(const BulkPriority &rank, TimePoint now) const
{
    const std::uint64_t rest = rank.expectedRest();
    if (rank.softDeadline == TimePoint::max() || rest <= ShortRestBytes) {
        return false;
    }
    const std::chrono::duration<double> needed(static_cast<double>(rest) / m_bytesPerSecond);
    return now + needed > rank.softDeadline;
}

void SendSchedule::add(const BulkStream &stream, const BulkPriority &rank)
{
    const auto [place, isNew] = m_waiting.try_emplace(stream, Waiting {rank, false});
    if (isNew) {
        m_order.insert(placeOf(stream, place->second));
    }
}

void SendSchedule::remove(const BulkStream &stream)
{
    const auto found = m_waiting.find(stream);
    if (found == m_waiting.end()) {
        return;
    }
    m_order.erase(placeOf(stream, found->second));
    m_waiting.erase(found);
}

void SendSchedule::removeLink(const Link *link)
{
    std::erase_if(m_order, [link](const Place &place) { return std::get<BulkStream>(place).link == link; });
    std::erase_if(m_waiting, [link](const auto &item) { return item.first.link == link; });
}

void SendSchedule::refill(TimePoint now)
{
    const double burst = std::max(m_bytesPerSecond * BurstTime.count(), LeastBurstBytes);
    if (m_refilledAt) {
        const std::chrono::duration<double> since = now - *m_refilledAt;
        m_allowance = std::min(burst, m_allowance + m_bytesPerSecond * since.count());
    }
    m_refilledAt = now;
}

void SendSchedule::setBackLate(TimePoint now)
{
    while (!m_order.empty()) {
        const BulkStream stream = std::get<BulkStream>(*m_order.begin());
        Waiting &first = m_waiting.at(stream);
        if (first.isLate || !endsTooLate(first.rank, now)) {
            return;
        }
        m_order.erase(m_order.begin());
        first.isLate = true;
        m_order.insert(placeOf(stream, first));
    }
}

std::optional<BulkStream> SendSchedule::next(TimePoint now, const LinkFilter &canSend)
{
    refill(now);
    if (m_allowance <= 0) {
        return std::nullopt;
    }
    setBackLate(now);
    // A link whose peer reads slowly holds nobody up.
    for (const Place &place : m_order) {
        const auto &stream = std::get<BulkStream>(place);
        if (canSend(*stream.link)) {
            return stream;
        }
    }
    return std::nullopt;
}

void SendSchedule::sent(const BulkStream &stream, std::size_t bytes, bool hasMore)
{
    spend(bytes);
    if (!hasMore) {
        remove(stream);
        return;
    }
    const auto found = m_waiting.find(stream);
    assert(found != m_waiting.end() && "only a waiting stream is let go");
    m_order.erase(placeOf(stream, found->second));
    found->second.rank.advance(bytes);
    m_order.insert(placeOf(stream, found->second));
}

void SendSchedule::addUnscheduledBytes(std::size_t bytes)
{
    spend(bytes);
    m_allowance = std::max(m_allowance, -m_bytesPerSecond * LongestDebt.count());
}

void SendSchedule::spend(std::size_t bytes)
{
    m_allowance -= static_cast<double>(bytes);
}

Duration SendSchedule::pause(TimePoint now)
{
    refill(now);
    if (m_allowance > 0) {
        return Duration::zero();
    }
    const std::chrono::duration<double> seconds((1 - m_allowance) / m_bytesPerSecond);
    return std::chrono::duration_cast<Duration>(seconds) + Duration(1);
}

} // namespace jasminemast
