// A fake configuration service with fault injection.
#pragma once

#include "config/ticketchain.h"
#include "jasminemast/config/log.h"
#include "jasminemast/support/clock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace jasminemast
{

class FakeService
{
public:
    TicketChain &chain()
    {
        return m_chain;
    }

    // Operators.

    /// Stores and accepts a ticket with \p sections. Returns its head, which is reported only after setHead().
    Head accept(const std::string &sections);
    /// Sets the head to report, whether or not the chain contains it.
    void setHead(const Head &head, TimePoint now);
    [[nodiscard]] std::optional<TimePoint> acceptedAt(TicketNumber number) const;
    /// Digest of the state after ticket \p number; nothing when it was never accepted.
    [[nodiscard]] std::optional<Digest> stateDigest(TicketNumber number) const;

    // Faults.

    /// Removes a ticket, or restores it.
    void setTicketStored(std::uint64_t number, bool stored);
    /// Returns \p bytes for ticket \p number from now on.
    void setServedBytes(std::uint64_t number, std::string bytes);
    void setDown(bool down);
    [[nodiscard]] bool isDown() const
    {
        return m_down;
    }
    /// Reports \p head whatever is accepted; nullopt ends this.
    void freezeHead(std::optional<Head> head);

    // Responses.

    /// The head reported to watches; nothing before the first ticket.
    [[nodiscard]] std::optional<Head> head() const;
    /// True when a new head is reported immediately.
    [[nodiscard]] bool showsNewHead() const
    {
        return !m_frozenHead && !m_down;
    }
    /// The bytes of a ticket; nothing when it is missing or the service is down.
    [[nodiscard]] std::optional<std::string> ticket(TicketNumber number) const;

    void countCall(TimePoint now);
    [[nodiscard]] std::uint64_t calls() const
    {
        return m_calls;
    }
    /// Maximum number of calls in any one second.
    [[nodiscard]] std::uint64_t peakCalls() const
    {
        return m_peakCalls;
    }

private:
    TicketChain m_chain;
    std::map<TicketNumber, TimePoint> m_acceptedAt;
    std::map<TicketNumber, Digest> m_stateDigests;
    StatePtr m_state = emptyState(); ///< after the last ticket of the chain
    std::optional<Head> m_head;
    std::optional<Head> m_frozenHead;
    std::set<std::uint64_t> m_missingTickets;
    std::map<std::uint64_t, std::string> m_servedBytes;
    bool m_down = false;
    std::uint64_t m_calls = 0;
    std::uint64_t m_peakCalls = 0;
    std::deque<TimePoint> m_recentCalls; ///< calls of the last second
};

} // namespace jasminemast
