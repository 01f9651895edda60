// A trial fold and its comparison with the state before.
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

/// The findings on \p after that do not concern \p before already.
std::vector<std::string> newOddities(const State &before, const State &after)
{
    const std::vector<std::string> known = findOddities(before);
    std::vector<std::string> findings = findOddities(after);
    std::erase_if(findings, [&known](const std::string &finding) {
        return std::find(known.begin(), known.end(), finding) != known.end();
    });
    return findings;
}

} // namespace

TicketCheck checkTicket(const StatePtr &state, std::string_view bytes)
{
    TicketCheck check;
    check.verdict = applyTicket(state, TicketNumber(state->number.value() + 1), bytes);
    check.head = {check.verdict.state->number, check.verdict.state->ticketDigest};
    if (check.verdict.code == ResultCode::Ok) {
        check.changes = diffStates(*state, *check.verdict.state);
        check.oddities = newOddities(*state, *check.verdict.state);
    }
    return check;
}

nlohmann::json ticketCheckJson(const TicketCheck &check)
{
    nlohmann::json json;
    json["number"] = check.head.number.value();
    json["digest"] = check.head.digest.hex();
    json["code"] = number(check.verdict.code);
    json["result"] = resultInfo(check.verdict.code).text;
    json["detail"] = check.verdict.detail;
    json["stateDigest"] = check.verdict.state->stateDigest.hex();
    json["changes"] = nlohmann::json::array();
    for (const ObjectChange &change : check.changes) {
        json["changes"].push_back(changeJson(change));
    }
    json["oddities"] = check.oddities;
    return json;
}

} // namespace jasminemast
