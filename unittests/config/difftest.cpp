// Differences between states, oddities and the check of a ticket before it is accepted.
#include "jasminemast/config/diff.h"
#include "jasminemast/config/ticketcheck.h"
#include "ticketchain.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

using namespace jasminemast;
using testing::ElementsAre;
using testing::IsEmpty;

namespace
{

const std::string Base = R"(,"routes":{"r":{"pathPrefix":"/a/","service":"s"}},"services":{"s":{"endpoints":["e"]}},
    "endpoints":{"e":{"host":"h1","port":9000,"slots":12}})";

} // namespace

TEST(DiffTest, ListsAddedChangedAndRemovedObjects)
{
    TicketChain chain;
    chain.add(Base);
    chain.add(
        R"(,"routes":{"r":{"pathPrefix":"/a/","service":"t","repeatable":true},"q":{"pathPrefix":"/","service":"t"}},
        "services":{"s":null,"t":{"endpoints":["e"]}},"endpoints":{"e":{"host":"h1","port":9000,"slots":12}})");
    const auto changes = diffStates(*chain.apply(1), *chain.apply(2));
    const std::vector<FieldChange> fields = {{"repeatable", "null", "true"}, {"service", "\"s\"", "\"t\""}};
    EXPECT_THAT(changes,
                ElementsAre(ObjectChange {ChangeKind::Added, ObjectKind::Route, "q", {}},
                            ObjectChange {ChangeKind::Changed, ObjectKind::Route, "r", fields},
                            ObjectChange {ChangeKind::Removed, ObjectKind::Service, "s", {}},
                            ObjectChange {ChangeKind::Added, ObjectKind::Service, "t", {}}));
    EXPECT_THAT(diffStates(*chain.apply(2), *chain.apply(2)), IsEmpty());
}

TEST(DiffTest, FindsOdditiesOfValidStates)
{
    struct Case
    {
        std::string sections;
        std::vector<std::string> oddities;
    };
    const std::vector<Case> cases = {
        {"", {}},
        {R"(,"routes":{"q":{"pathPrefix":"/a/","service":"s","methods":["POST"]}})", {}},
        {R"(,"routes":{"z":{"pathPrefix":"/a/","service":"s","methods":["POST"]}})", {}},
        {R"(,"routes":{"q":{"pathPrefix":"/a/","service":"s"}})",
         {"route r is never chosen: another route has its prefix and methods"}},
        {R"(,"routes":{"q":{"pathPrefix":"/b","service":"s","methods":["GET","PUT"]},
            "p":{"pathPrefix":"/b","service":"s","methods":["PUT","GET"]}})",
         {"route q is never chosen: another route has its prefix and methods"}},
        {R"(,"services":{"t":{"endpoints":[]}})", {"service t has no endpoint that takes calls"}},
        {R"(,"endpoints":{"e":{"host":"h1","port":9000,"slots":12,"draining":true}})",
         {"service s has no endpoint that takes calls"}},
        {R"(,"endpoints":{"f":{"host":"h1","port":9000,"slots":12}})",
         {"endpoint f belongs to no service", "endpoints e and f are the same port of host h1"}},
    };
    for (const Case &row : cases) {
        TicketChain chain;
        chain.add(Base);
        chain.add(row.sections);
        EXPECT_EQ(findOddities(*chain.apply(2)), row.oddities) << row.sections;
    }
}

TEST(TicketCheckTest, ReturnsResultChangesAndNewOddities)
{
    TicketChain chain;
    chain.add(Base);
    const StatePtr state = chain.apply(1);
    const std::string good = ticketText(2, chain.head().digest, R"(,"services":{"t":{"endpoints":[]}})");
    const nlohmann::json check = ticketCheckJson(checkTicket(state, good));
    EXPECT_EQ(check.at("number"), 2);
    EXPECT_EQ(check.at("digest"), sha256(good).hex());
    EXPECT_EQ(check.at("code"), 0);
    EXPECT_EQ(check.at("changes").size(), 1U);
    EXPECT_EQ(check.at("oddities"), nlohmann::json({"service t has no endpoint that takes calls"}));

    const nlohmann::json refused = ticketCheckJson(checkTicket(state, ticketText(3, chain.head().digest)));
    EXPECT_EQ(refused.at("code"), number(ResultCode::TicketWrongNumber));
    EXPECT_EQ(refused.at("stateDigest"), state->stateDigest.hex());
    EXPECT_TRUE(refused.at("changes").empty());
}
