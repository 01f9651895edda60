// Applies a ticket to a state, entirely or not at all.
#include "jasminemast/config/ticket.h"

#include <algorithm>

namespace jasminemast
{

namespace
{

[[noreturn]] void fail(ResultCode code, const std::string &path, const std::string &what)
{
    throw ResultError(code, path + ": " + what);
}

template<class Map, class Section>
void applySection(Map &objects, const Section &section)
{
    if (section.empty()) {
        return;
    }
    auto &edited = objects.edit();
    for (const auto &[id, object] : section) {
        if (!object) {
            edited.erase(id);
            continue;
        }
        using Object = std::remove_const_t<typename Map::mapped_type::element_type>;
        auto withDigest = std::make_shared<Object>(*object);
        withDigest->digest = objectDigest(*withDigest);
        edited.insert_or_assign(id, std::move(withDigest));
    }
}

template<class Section>
bool removesAny(const Section &section)
{
    return std::any_of(section.begin(), section.end(), [](const auto &item) { return !item.second; });
}

/// Checks the references that \p ticket can have broken. All references of the state before are valid.
void checkChangedReferences(const State &after, const Ticket &ticket)
{
    if (removesAny(ticket.services) || removesAny(ticket.endpoints)) {
        checkReferences(after);
        return;
    }
    for (const auto &[id, route] : ticket.routes) {
        if (route) {
            checkReferences(after, *route);
        }
    }
    for (const auto &[id, service] : ticket.services) {
        checkReferences(after, *service);
    }
}

State applyParsedTicket(const State &before, const Ticket &ticket)
{
    State after = before;
    applySection(after.endpoints, ticket.endpoints);
    applySection(after.services, ticket.services);
    applySection(after.routes, ticket.routes);
    if (after.endpoints.size() + after.services.size() + after.routes.size() > TicketLimits::MaxObjects) {
        fail(ResultCode::TicketTooManyObjects, "", "more than " + std::to_string(TicketLimits::MaxObjects));
    }
    checkChangedReferences(after, ticket);
    after.stateDigest = computeStateDigest(after);
    if (!ticket.routes.empty()) {
        after.routeIndex = std::make_shared<const RouteIndex>(after, before);
    }
    return after;
}

State parseAndApply(const State &before, TicketNumber number, std::string_view bytes)
{
    const Ticket ticket = parseTicket(bytes);
    if (ticket.number != number) {
        fail(ResultCode::TicketWrongNumber, "/number", "expected " + std::to_string(number.value()));
    }
    if (ticket.previous != before.ticketDigest) {
        fail(ResultCode::TicketWrongPrevious, "/previous", "expected " + before.ticketDigest.hex());
    }
    return applyParsedTicket(before, ticket);
}

} // namespace

ApplyResult applyTicket(const StatePtr &before, TicketNumber number, std::string_view bytes)
{
    ApplyResult result;
    State after = *before;
    try {
        after = parseAndApply(*before, number, bytes);
    } catch (const ResultError &error) {
        result.code = error.code();
        result.detail = error.detail();
    }
    after.number = number;
    after.ticketDigest = sha256(bytes);
    result.state = std::make_shared<const State>(std::move(after));
    return result;
}

} // namespace jasminemast
