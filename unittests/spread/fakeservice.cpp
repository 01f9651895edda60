// Tickets, responses and call counts of the fake configuration service.
#include "fakeservice.h"

#include <algorithm>
#include <utility>

namespace jasminemast
{

Head FakeService::accept(const std::string &sections)
{
    const auto head = m_chain.add(sections);
    m_state = applyTicket(m_state, head.number, m_chain.bytes(head.number.value())).state;
    m_stateDigests[head.number] = m_state->stateDigest;
    return head;
}

void FakeService::setHead(const Head &head, TimePoint now)
{
    m_acceptedAt.try_emplace(head.number, now);
    m_head = head;
}

std::optional<TimePoint> FakeService::acceptedAt(TicketNumber number) const
{
    const auto found = m_acceptedAt.find(number);
    return found == m_acceptedAt.end() ? std::nullopt : std::optional(found->second);
}

std::optional<Digest> FakeService::stateDigest(TicketNumber number) const
{
    const auto found = m_stateDigests.find(number);
    return found == m_stateDigests.end() ? std::nullopt : std::optional(found->second);
}

void FakeService::setTicketStored(std::uint64_t number, bool stored)
{
    if (stored) {
        m_missingTickets.erase(number);
    } else {
        m_missingTickets.insert(number);
    }
}

void FakeService::setServedBytes(std::uint64_t number, std::string bytes)
{
    m_servedBytes[number] = std::move(bytes);
}

void FakeService::setDown(bool down)
{
    m_down = down;
}

void FakeService::freezeHead(std::optional<Head> head)
{
    m_frozenHead = head;
}

std::optional<Head> FakeService::head() const
{
    return m_head && m_frozenHead ? m_frozenHead : m_head;
}

std::optional<std::string> FakeService::ticket(TicketNumber number) const
{
    const bool isMissing = number.value() > m_chain.size() || m_missingTickets.contains(number.value());
    if (m_down || isMissing) {
        return std::nullopt;
    }
    const auto served = m_servedBytes.find(number.value());
    return served == m_servedBytes.end() ? m_chain.bytes(number.value()) : served->second;
}

void FakeService::countCall(TimePoint now)
{
    ++m_calls;
    m_recentCalls.push_back(now);
    while (now - m_recentCalls.front() >= std::chrono::seconds(1)) {
        m_recentCalls.pop_front();
    }
    m_peakCalls = std::max<std::uint64_t>(m_peakCalls, m_recentCalls.size());
}

} // namespace jasminemast
