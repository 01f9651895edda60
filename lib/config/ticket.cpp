// The fold of a ticket into a state: whole or not at all.
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
void foldSection(Map &objects, const Section &section)
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
        auto sealed = std::make_shared<Object>(*object);
        sealed->digest = objectDigest(*sealed);
        edited.insert_or_assign(id, std::move(sealed));
    }
}

template<class Section>
bool removesAny(const Section &section)
{
    return std::any_of(section.begin(), section.end(), [](const auto &item) { return !item.second; });
}

/// Checks the references that \p ticket can have broken; those of the state before it are whole.
void checkTouchedReferences(const State &after, const Ticket &ticket)
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

State foldTicket(const State &before, const Ticket &ticket)
{
    State after = before;
    foldSection(after.endpoints, ticket.endpoints);
    foldSection(after.services, ticket.services);
    foldSection(after.routes, ticket.routes);
    if (after.endpoints.size() + after.services.size() + after.routes.size() > TicketLimits::MaxObjects) {
        fail(ResultCode::TicketTooManyObjects, "", "more than " + std::to_string(TicketLimits::MaxObjects));
    }
    checkTouchedReferences(after, ticket);
    after.stateDigest = computeStateDigest(after);
    if (!ticket.routes.empty()) {
        after.routeIndex = std::make_shared<const RouteIndex>(after);
    }
    return after;
}

State foldChecked(const State &before, TicketNumber number, std::string_view bytes)
{
    const Ticket ticket = parseTicket(bytes);
    if (ticket.number != number) {
        fail(ResultCode::TicketWrongNumber, "/number", "expected " + std::to_string(number.value()));
    }
    if (ticket.previous != before.ticketDigest) {
        fail(ResultCode::TicketWrongPrevious, "/previous", "expected " + before.ticketDigest.hex());
    }
    return foldTicket(before, ticket);
}

} // namespace

ApplyResult applyTicket(const StatePtr &before, TicketNumber number, std::string_view bytes)
{
    ApplyResult verdict;
    State after = *before;
    try {
        after = foldChecked(*before, number, bytes);
    } catch (const ResultError &error) {
        verdict.code = error.code();
        verdict.detail = error.detail();
    }
    after.number = number;
    after.ticketDigest = sha256(bytes);
    verdict.state = std::make_shared<const State>(std::move(after));
    return verdict;
}

} // namespace jasminemast
