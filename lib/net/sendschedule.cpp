// Shortest remaining size first, limited by a token bucket.
#include "jasminemast/net/sendschedule.h"

#include <algorithm>
#include <cassert>

namespace jasminemast
{

namespace
{

/// Usable share of the uplink's rate. The rest is for packet headers, 40 of 1,500 bytes, for acknowledgements, and for
/// calls to the registry.
constexpr double UsableRateShare = 0.95;
/// Largest burst, as time at the full rate: the event loop may wake up a few milliseconds late.
constexpr std::chrono::duration<double> BurstTime {0.02};
/// Lower bound of the burst: two body frames of the largest size.
constexpr double MinBurstBytes = 32 << 10;
/// Unscheduled bytes are not limited and may exhaust the rate, which stops all bulk frames. This bounds how long bulk
/// frames stay stopped after that load ends.
constexpr std::chrono::duration<double> MaxDeficitTime {1};
/// Delaying a late stream with no more than this left would not help the others.
constexpr std::uint64_t ShortTransferBytes = 32 << 10;
/// A few packets: expedited streams need not overtake these.
constexpr std::uint64_t TinyTransferBytes = 4 << 10;

} // namespace

void BulkPriority::advance(std::uint64_t bytes)
{
    sent += bytes;
    if (remaining) {
        *remaining -= std::min(*remaining, bytes);
    }
}

SendSchedule::SendSchedule(ByteRate rate)
    : m_bytesPerSecond(rate.value() * UsableRateShare)
    , m_tokenBytes(MinBurstBytes)
{
}

SendSchedule::Precedence SendSchedule::precedence(const WaitingStream &waiting)
{
    if (waiting.isExpedited) {
        return Precedence::Expedited;
    }
    if (waiting.isLate) {
        return Precedence::Late;
    }
    return waiting.priority.expectedRemaining() <= TinyTransferBytes ? Precedence::Tiny : Precedence::OnTime;
}

SendSchedule::OrderKey SendSchedule::orderKey(const BulkStream &stream, const WaitingStream &waiting)
{
    return {precedence(waiting), waiting.priority.expectedRemaining(), stream};
}

bool SendSchedule::missesSoftDeadline(const BulkPriority &priority, TimePoint now) const
{
    const std::uint64_t remaining = priority.expectedRemaining();
    if (priority.softDeadline == TimePoint::max() || remaining <= ShortTransferBytes) {
        return false;
    }
    const std::chrono::duration<double> needed(static_cast<double>(remaining) / m_bytesPerSecond);
    return now + needed > priority.softDeadline;
}

void SendSchedule::add(const BulkStream &stream, const BulkPriority &priority)
{
    const auto [entry, isNew]
        = m_waiting.try_emplace(stream, WaitingStream {priority, m_expedited.contains(stream.link), false});
    if (isNew) {
        m_order.insert(orderKey(stream, entry->second));
    }
}

void SendSchedule::remove(const BulkStream &stream)
{
    const auto found = m_waiting.find(stream);
    if (found == m_waiting.end()) {
        return;
    }
    m_order.erase(orderKey(stream, found->second));
    m_waiting.erase(found);
}

void SendSchedule::removeLink(const Link *link)
{
    std::erase_if(m_order, [link](const OrderKey &entry) { return std::get<BulkStream>(entry).link == link; });
    std::erase_if(m_waiting, [link](const auto &item) { return item.first.link == link; });
    m_expedited.erase(link);
}

void SendSchedule::expedite(const Link *link)
{
    if (!m_expedited.insert(link).second) {
        return;
    }
    for (auto &[stream, waiting] : m_waiting) {
        if (stream.link == link) {
            m_order.erase(orderKey(stream, waiting));
            waiting.isExpedited = true;
            m_order.insert(orderKey(stream, waiting));
        }
    }
}

void SendSchedule::addTokens(TimePoint now)
{
    const double burst = std::max(m_bytesPerSecond * BurstTime.count(), MinBurstBytes);
    if (m_tokensAddedAt) {
        const std::chrono::duration<double> since = now - *m_tokensAddedAt;
        m_tokenBytes = std::min(burst, m_tokenBytes + m_bytesPerSecond * since.count());
    }
    m_tokensAddedAt = now;
}

void SendSchedule::demoteLateStreams(TimePoint now)
{
    while (true) {
        const auto first = m_order.lower_bound({Precedence::OnTime, 0, BulkStream {}});
        if (first == m_order.end()) {
            return;
        }
        const BulkStream stream = std::get<BulkStream>(*first);
        WaitingStream &waiting = m_waiting.at(stream);
        if (waiting.isLate || !missesSoftDeadline(waiting.priority, now)) {
            return;
        }
        m_order.erase(first);
        waiting.isLate = true;
        m_order.insert(orderKey(stream, waiting));
    }
}

std::optional<BulkStream> SendSchedule::next(TimePoint now, const LinkFilter &canSend)
{
    addTokens(now);
    if (m_tokenBytes <= 0) {
        return std::nullopt;
    }
    demoteLateStreams(now);
    // A link whose peer reads slowly must not block the others.
    for (const OrderKey &entry : m_order) {
        const auto &stream = std::get<BulkStream>(entry);
        if (canSend(*stream.link)) {
            return stream;
        }
    }
    return std::nullopt;
}

void SendSchedule::recordSent(const BulkStream &stream, std::size_t bytes, bool hasMore)
{
    removeTokens(bytes);
    if (!hasMore) {
        remove(stream);
        return;
    }
    const auto found = m_waiting.find(stream);
    assert(found != m_waiting.end() && "only a waiting stream is sent");
    m_order.erase(orderKey(stream, found->second));
    found->second.priority.advance(bytes);
    m_order.insert(orderKey(stream, found->second));
}

void SendSchedule::addUnscheduledBytes(std::size_t bytes)
{
    removeTokens(bytes);
    m_tokenBytes = std::max(m_tokenBytes, -m_bytesPerSecond * MaxDeficitTime.count());
}

void SendSchedule::removeTokens(std::size_t bytes)
{
    m_tokenBytes -= static_cast<double>(bytes);
}

Duration SendSchedule::timeUntilAllowed(TimePoint now)
{
    addTokens(now);
    if (m_tokenBytes > 0) {
        return Duration::zero();
    }
    const std::chrono::duration<double> seconds((1 - m_tokenBytes) / m_bytesPerSecond);
    return std::chrono::duration_cast<Duration>(seconds) + Duration(1);
}

} // namespace jasminemast
