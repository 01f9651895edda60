// What accepting a ticket would do, told before it is accepted.
#pragma once

#include "jasminemast/config/diff.h"
#include "jasminemast/config/ticket.h"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace jasminemast
{

/// The verdict on a ticket and the difference it makes.
struct TicketCheck
{
    Head head; ///< number and digest that operators would accept
    ApplyResult verdict;
    std::vector<ObjectChange> changes; ///< empty when the ticket is refused
    std::vector<std::string> oddities; ///< of the state afterwards that the state before did not have
};

/// Folds \p bytes into \p state as the next ticket and compares.
TicketCheck checkTicket(const StatePtr &state, std::string_view bytes);

/// The form that the operator interface and --json give.
nlohmann::json ticketCheckJson(const TicketCheck &check);

} // namespace jasminemast
