// The fold of tickets: a good one is applied whole, a bad one changes nothing but the number.
#include "jasminemast/config/ticket.h"

#include <gtest/gtest.h>

using namespace jasminemast;

namespace
{

std::string ticketText(std::uint64_t number, const Digest &previous, const std::string &sections)
{
    return R"({"number":)" + std::to_string(number) + R"(,"previous":")" + previous.hex() + "\"" + sections + "}";
}

const char *const OneService = R"(,"routes":{"r":{"pathPrefix":"/a/","service":"s"}},
    "services":{"s":{"endpoints":["e"]}},"endpoints":{"e":{"host":"h1","port":9000,"slots":12}})";

} // namespace

TEST(StateTest, goodTicketIsAppliedWhole)
{
    const Verdict verdict = applyTicket(emptyState(), TicketNumber(1), ticketText(1, Digest {}, OneService));
    ASSERT_EQ(verdict.code, ResultCode::Ok) << verdict.detail;
    EXPECT_EQ(verdict.state->number, TicketNumber(1));
    ASSERT_NE(verdict.state->findRoute("GET", "/a/b"), nullptr);
    EXPECT_EQ(verdict.state->findRoute("GET", "/b"), nullptr);
}

TEST(StateTest, badTicketOnlyUsesUpItsNumber)
{
    const StatePtr before = emptyState();
    const Verdict verdict = applyTicket(
        before, TicketNumber(1), ticketText(1, Digest {}, R"(,"routes":{"r":{"pathPrefix":"/","service":"x"}})"));
    EXPECT_EQ(verdict.code, ResultCode::TicketRouteWithoutService);
    EXPECT_EQ(verdict.state->number, TicketNumber(1));
    EXPECT_EQ(verdict.state->stateDigest, before->stateDigest);
    EXPECT_TRUE(verdict.state->routes.empty());
}
