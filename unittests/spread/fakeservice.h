// What a fake configuration service has accepted, and what it hands out: the truth, or what a test made of it.
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

    /// Files and accepts a ticket of \p sections; gives its head, which setHead() has still to show.
    Head accept(const std::string &sections);
    /// Sets the head without regard to the chain.
    void setHead(const Head &head, TimePoint now);
    [[nodiscard]] std::optional<TimePoint> acceptedAt(TicketNumber number) const;
    /// Digest of the state that ticket \p number makes; nothing when it was never accepted.
    [[nodiscard]] std::optional<Digest> stateDigest(TicketNumber number) const;

    // Faults.

    /// Files a ticket again that was removed, or removes it.
    void setFiled(std::uint64_t number, bool filed);
    /// Hands out \p bytes for ticket \p number.
    void setServedBytes(std::uint64_t number, std::string bytes);
    void setDown(bool down);
    [[nodiscard]] bool isDown() const
    {
        return m_down;
    }
    /// Shows this head, whatever is accepted; nothing ends that.
    void freezeHead(std::optional<Head> head);

    // Answers.

    /// The head that watches are answered with; nothing before the first ticket.
    [[nodiscard]] std::optional<Head> head() const;
    /// True when a new head is shown at once.
    [[nodiscard]] bool showsNewHead() const
    {
        return !m_frozenHead && !m_down;
    }
    /// The bytes of a ticket; nothing when it is not there or the service is down.
    [[nodiscard]] std::optional<std::string> ticket(TicketNumber number) const;

    void countCall(TimePoint now);
    [[nodiscard]] std::uint64_t calls() const
    {
        return m_calls;
    }
    /// The most calls in any one second.
    [[nodiscard]] std::uint64_t peakCalls() const
    {
        return m_peakCalls;
    }

private:
    TicketChain m_chain;
    std::map<TicketNumber, TimePoint> m_acceptedAt;
    std::map<TicketNumber, Digest> m_stateDigests;
    StatePtr m_state = emptyState(); ///< of the whole chain
    std::optional<Head> m_head;
    std::optional<Head> m_frozenHead;
    std::set<std::uint64_t> m_unfiled;
    std::map<std::uint64_t, std::string> m_servedBytes;
    bool m_down = false;
    std::uint64_t m_calls = 0;
    std::uint64_t m_peakCalls = 0;
    std::deque<TimePoint> m_recentCalls; ///< of the last second
};

} // namespace jasminemast
