// Dry run of a ticket, for operators to read before they accept it.
#pragma once

#include "jasminemast/config/diff.h"
#include "jasminemast/config/ticket.h"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace jasminemast
{

/// The result of applying a ticket and the changes that it makes.
struct TicketCheck
{
    Head head; ///< number and digest to publish for accepting the ticket
    ApplyResult result;
    std::vector<ObjectChange> changes; ///< empty when the ticket is refused
    std::vector<std::string> oddities; ///< findOddities() of the state afterwards, without those of the state before
};

/// Applies \p bytes to \p state as the next ticket and compares the two states.
TicketCheck checkTicket(const StatePtr &state, std::string_view bytes);

/// The JSON form that the operator interface and --json print.
nlohmann::json ticketCheckJson(const TicketCheck &check);

} // namespace jasminemast
