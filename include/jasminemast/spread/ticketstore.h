// What spreading needs of the ticket log.
#pragma once

#include "jasminemast/config/ticket.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jasminemast
{

enum class HeadOffer {
    Advanced, ///< a higher head than known before
    Known,
    Older, ///< dropped
    Conflict, ///< the same number with another digest: what was known is kept
};

enum class TicketOffer {
    Kept, ///< kept, and applied as far as the chain reaches
    Unneeded,
    Mismatch, ///< not the bytes that the chain commits to: no verdict, ask elsewhere
};

/// Holds the accepted chain. The applied number only grows.
class TicketStore
{
public:
    virtual ~TicketStore() = default;

    /// The state after the last applied ticket.
    [[nodiscard]] virtual StatePtr state() const = 0;
    /// The highest accepted head known; not below state().
    [[nodiscard]] virtual Head head() const = 0;
    /// Takes a head that the service or a peer states. A head between state() and head() vouches for the chain up to
    /// it and returns Known.
    virtual HeadOffer offerHead(const Head &head) = 0;
    /// Numbers between state() and head() whose bytes are absent, ascending, at most \p limit.
    [[nodiscard]] virtual std::vector<TicketNumber> missing(std::size_t limit) const = 0;
    virtual TicketOffer offerTicket(TicketNumber number, std::string bytes) = 0;
    /// The bytes of a ticket that is kept, applied or not.
    [[nodiscard]] virtual std::optional<std::string> ticket(TicketNumber number) const = 0;
    /// state() in a form that offerSnapshot() of another store takes.
    [[nodiscard]] virtual std::string snapshot() const = 0;
    /// Applies a snapshot that is newer than state(); false when it is not, or malformed.
    virtual bool offerSnapshot(std::string_view bytes) = 0;
};

} // namespace jasminemast
