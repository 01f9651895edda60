// Applies a ticket without publishing it and compares the states before and after.
#include "jasminemast/config/ticketcheck.h"

#include <algorithm>

namespace jasminemast
{

namespace
{

nlohmann::json changeJson(const ObjectChange &change)
{
    nlohmann::json json = {{"change", changeName(change.change)}, {"kind", objectName(change.kind)}, {"id", change.id}};
    for (const FieldChange &field : change.fields) {
        json["fields"].push_back({{"field", field.field},
                                  {"before", nlohmann::json::parse(field.before)},
                                  {"after", nlohmann::json::parse(field.after)}});
    }
    return json;
}

/// The oddities of \p after that \p before does not have.
std::vector<std::string> newOddities(const State &before, const State &after)
{
    const std::vector<std::string> known = findOddities(before);
    std::vector<std::string> added = findOddities(after);
    std::erase_if(added, [&known](const std::string &oddity) {
        return std::find(known.begin(), known.end(), oddity) != known.end();
    });
    return added;
}

} // namespace

TicketCheck checkTicket(const StatePtr &state, std::string_view bytes)
{
    TicketCheck check;
    check.result = applyTicket(state, TicketNumber(state->number.value() + 1), bytes);
    check.head = {check.result.state->number, check.result.state->ticketDigest};
    if (check.result.code == ResultCode::Ok) {
        check.changes = diffStates(*state, *check.result.state);
        check.oddities = newOddities(*state, *check.result.state);
    }
    return check;
}

nlohmann::json ticketCheckJson(const TicketCheck &check)
{
    nlohmann::json json;
    json["number"] = check.head.number.value();
    json["digest"] = check.head.digest.hex();
    json["code"] = number(check.result.code);
    json["result"] = resultInfo(check.result.code).text;
    json["detail"] = check.result.detail;
    json["stateDigest"] = check.result.state->stateDigest.hex();
    json["changes"] = nlohmann::json::array();
    for (const ObjectChange &change : check.changes) {
        json["changes"].push_back(changeJson(change));
    }
    json["oddities"] = check.oddities;
    return json;
}

} // namespace jasminemast
