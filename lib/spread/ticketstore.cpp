// Adapts the ticket log.
#include "jasminemast/spread/ticketstore.h"

#include <utility>

namespace jasminemast
{

TicketStore::TicketStore(TicketLog &log, const Clock &clock)
    : m_log(log)
    , m_clock(clock)
{
}

StatePtr TicketStore::state() const
{
    return m_log.state();
}

Head TicketStore::head() const
{
    return m_log.highestAcceptedHead();
}

HeadStatus TicketStore::addAcceptedHead(const Head &head)
{
    return m_log.addAcceptedHead(head);
}

std::vector<TicketNumber> TicketStore::missing(std::size_t limit) const
{
    std::vector<TicketNumber> numbers;
    for (const auto &wanted : m_log.missing(limit)) {
        numbers.push_back(wanted.number);
    }
    return numbers;
}

bool TicketStore::needsSnapshot() const
{
    return m_log.needsSnapshot();
}

AddTicketStatus TicketStore::addTicket(TicketNumber number, std::string bytes)
{
    auto result = m_log.addTicket(number, std::move(bytes), m_clock.wallNow());
    m_newEntries.insert(m_newEntries.end(), result.entries.begin(), result.entries.end());
    return result.status;
}

bool TicketStore::matchesPeerState(const Head &head, const Digest &stateDigest)
{
    return m_log.matchesPeerState(head, stateDigest);
}

std::optional<std::string> TicketStore::ticket(TicketNumber number) const
{
    const auto bytes = m_log.recentBytes(number);
    if (!bytes) {
        return std::nullopt;
    }
    return *bytes;
}

std::vector<LogEntry> TicketStore::takeNewEntries()
{
    return std::exchange(m_newEntries, {});
}

} // namespace jasminemast
