// Builds chains of tickets for tests.
#pragma once

#include "jasminemast/config/ticket.h"

#include <string>
#include <vector>

namespace jasminemast
{

inline std::string ticketText(std::uint64_t number, const Digest &previous, const std::string &sections = {})
{
    return R"({"number":)" + std::to_string(number) + R"(,"previous":")" + previous.hex() + "\"" + sections + "}";
}

/// A section that gives endpoint `e` \p slots slots, so that each number of slots leads to another state.
inline std::string slotsSection(std::uint64_t slots)
{
    return R"(,"endpoints":{"e":{"host":"h1","port":9000,"slots":)" + std::to_string(slots) + "}}";
}

/// Tickets 1 to size(), each with the digest of the one before.
class TicketChain
{
public:
    TicketChain() = default;
    /// \p count valid tickets.
    explicit TicketChain(std::uint64_t count)
    {
        for (std::uint64_t number = 1; number <= count; ++number) {
            add(slotsSection(number));
        }
    }

    /// Appends a ticket with \p sections and the right number and previous digest.
    Head add(const std::string &sections)
    {
        return addBytes(ticketText(size() + 1, lastDigest(), sections));
    }
    /// Appends a ticket of arbitrary bytes.
    Head addBytes(std::string bytes)
    {
        m_tickets.push_back(std::move(bytes));
        return head();
    }

    [[nodiscard]] std::uint64_t size() const
    {
        return m_tickets.size();
    }
    [[nodiscard]] const std::string &bytes(std::uint64_t number) const
    {
        return m_tickets.at(number - 1);
    }
    [[nodiscard]] Head head(std::uint64_t number) const
    {
        return Head {TicketNumber(number), number == 0 ? Digest {} : sha256(bytes(number))};
    }
    [[nodiscard]] Head head() const
    {
        return head(size());
    }
    /// Applies tickets 1 to \p last in order to the empty state and returns the result.
    [[nodiscard]] StatePtr apply(std::uint64_t last) const
    {
        StatePtr state = emptyState();
        for (std::uint64_t number = 1; number <= last; ++number) {
            state = applyTicket(state, TicketNumber(number), bytes(number)).state;
        }
        return state;
    }

private:
    [[nodiscard]] Digest lastDigest() const
    {
        return head().digest;
    }

    std::vector<std::string> m_tickets;
};

} // namespace jasminemast
