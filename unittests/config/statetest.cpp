// Applying tickets: a valid one is applied entirely, an invalid one changes only number and ticket digest.
#include "jasminemast/config/ticket.h"
#include "ticketchain.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

using namespace jasminemast;

namespace
{

const char *const OneService = R"(,"routes":{"r":{"pathPrefix":"/a/","service":"s"}},
    "services":{"s":{"endpoints":["e"]}},"endpoints":{"e":{"host":"h1","port":9000,"slots":12}})";

} // namespace

TEST(StateTest, AppliesValidTicketEntirely)
{
    const ApplyResult result = applyTicket(emptyState(), TicketNumber(1), ticketText(1, Digest {}, OneService));
    ASSERT_EQ(result.code, ResultCode::Ok) << result.detail;
    EXPECT_EQ(result.state->number, TicketNumber(1));
    ASSERT_NE(result.state->findRoute("GET", "/a/b"), nullptr);
    EXPECT_EQ(result.state->findRoute("GET", "/b"), nullptr);
}

TEST(StateTest, InvalidTicketAdvancesOnlyTheNumber)
{
    const StatePtr before = emptyState();
    const ApplyResult result = applyTicket(
        before, TicketNumber(1), ticketText(1, Digest {}, R"(,"routes":{"r":{"pathPrefix":"/","service":"x"}})"));
    EXPECT_EQ(result.code, ResultCode::TicketRouteWithoutService);
    EXPECT_EQ(result.state->number, TicketNumber(1));
    EXPECT_EQ(result.state->stateDigest, before->stateDigest);
    EXPECT_TRUE(result.state->routes.empty());
}

TEST(StateTest, RefusedTicketSharesObjectsOfPreviousState)
{
    const ApplyResult first = applyTicket(emptyState(), TicketNumber(1), ticketText(1, Digest {}, OneService));
    const ApplyResult second = applyTicket(first.state, TicketNumber(2), "no ticket");
    EXPECT_EQ(second.state->routes.at(RouteId("r")), first.state->routes.at(RouteId("r")));
    EXPECT_EQ(second.state->routeIndex, first.state->routeIndex);
}

TEST(StateTest, LaterTicketsDoNotChangeEarlierStates)
{
    const ApplyResult first = applyTicket(emptyState(), TicketNumber(1), ticketText(1, Digest {}, OneService));
    const Digest digest = first.state->stateDigest;
    const std::string bytes = ticketText(2, first.state->ticketDigest, R"(,"routes":{"r":null},"services":{"s":null})");
    const ApplyResult second = applyTicket(first.state, TicketNumber(2), bytes);
    ASSERT_EQ(second.code, ResultCode::Ok) << second.detail;
    EXPECT_EQ(second.state->findRoute("GET", "/a/b"), nullptr);
    EXPECT_NE(first.state->findRoute("GET", "/a/b"), nullptr);
    EXPECT_EQ(computeStateDigest(*first.state), digest);
}

namespace
{

/// Reference implementation of State::findRoute(): longest prefix, then listed methods, then smaller id.
const Route *findByLinearSearch(const State &state, std::string_view method, std::string_view path)
{
    const Route *best = nullptr;
    for (const auto &[id, route] : state.routes) {
        const auto &methods = route->methods;
        const bool admits = methods.empty() || std::find(methods.begin(), methods.end(), method) != methods.end();
        if (!path.starts_with(route->pathPrefix) || !admits) {
            continue;
        }
        const bool isLonger = best == nullptr || route->pathPrefix.size() > best->pathPrefix.size();
        const bool isSame = best != nullptr && route->pathPrefix == best->pathPrefix;
        if (isLonger || (isSame && best->methods.empty() && !methods.empty())) {
            best = route.get();
        }
    }
    return best;
}

std::string anyPath()
{
    std::string path = "/";
    for (const int part : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4))) {
        path += part == 3 ? '/' : static_cast<char>('a' + part);
    }
    return path;
}

} // namespace

RC_GTEST_PROP(StateProperty, IndexAgreesWithLinearSearch, ())
{
    std::string routes = R"(,"services":{"s":{"endpoints":[]}},"routes":{)";
    const int count = *rc::gen::inRange(1, 12);
    for (int i = 0; i < count; ++i) {
        const char *methods = *rc::gen::element("", R"(,"methods":["GET"])", R"(,"methods":["PUT","GET"])");
        routes += (i == 0 ? "\"r" : ",\"r") + std::to_string(i) + R"(":{"service":"s","pathPrefix":")" + anyPath()
            + "\"" + methods + "}";
    }
    const ApplyResult result = applyTicket(emptyState(), TicketNumber(1), ticketText(1, Digest {}, routes + "}"));
    RC_ASSERT(result.code == ResultCode::Ok);
    for (int i = 0; i < 10; ++i) {
        const std::string path = anyPath();
        const std::string method = *rc::gen::element(std::string("GET"), std::string("PUT"), std::string("POST"));
        RC_ASSERT(result.state->findRoute(method, path) == findByLinearSearch(*result.state, method, path));
    }
}

TEST(RouteIndexTest, PrefersRoutesOfRequestHost)
{
    State state;
    const auto add = [&state](const char *id, const char *host, const char *prefix) {
        Route route;
        route.id = RouteId(id);
        route.host = host;
        route.pathPrefix = prefix;
        state.routes.edit().emplace(route.id, std::make_shared<const Route>(route));
    };
    add("any", "", "/a/b/");
    add("one", "one.example", "/a/");
    add("oneDeep", "one.example", "/a/b/c/");
    add("two", "two.example", "/a/");
    const auto find = [&state](std::string_view host, std::string_view path) -> std::string {
        const Route *route = state.findRoute("GET", path, host);
        return route == nullptr ? "" : route->id.value();
    };
    EXPECT_EQ(find("one.example", "/a/b/x"), "one");
    EXPECT_EQ(find("one.example", "/a/b/c/x"), "oneDeep");
    EXPECT_EQ(find("two.example", "/a/b/c/x"), "two");
    EXPECT_EQ(find("three.example", "/a/b/x"), "any");
    EXPECT_EQ(find("three.example", "/a/x"), "");
    EXPECT_EQ(find("", "/a/b/x"), "any");
    EXPECT_EQ(find("one.exampl", "/a/x"), "") << "a host must match entirely";
}

namespace
{

std::shared_ptr<const Route> anyRoute(const RouteId &id)
{
    Route route;
    route.id = id;
    route.host = *rc::gen::element("", "a", "a.example", "b.example");
    route.pathPrefix = anyPath();
    route.methods = *rc::gen::element(std::vector<std::string> {}, std::vector<std::string> {"GET"},
                                      std::vector<std::string> {"PUT", "GET"});
    return std::make_shared<const Route>(std::move(route));
}

/// The routes of \p state for \p host alone.
State routesOfHost(const State &state, std::string_view host)
{
    State result;
    for (const auto &[id, route] : state.routes) {
        if (route->host == host) {
            result.routes.edit().emplace(id, route);
        }
    }
    return result;
}

} // namespace

// Routes come, go and change, with equal prefixes at different hosts; each index shares entries with the one before.
RC_GTEST_PROP(StateProperty, SharedIndexAgreesWithLinearSearchAtEachHost, ())
{
    State state;
    for (int round = 0; round < 4; ++round) {
        State next = state;
        const int changes = *rc::gen::inRange(0, 12);
        for (int i = 0; i < changes; ++i) {
            const RouteId id("r" + std::to_string(*rc::gen::inRange(0, 16)));
            if (*rc::gen::inRange(0, 4) == 0) {
                next.routes.edit().erase(id);
            } else {
                next.routes.edit().insert_or_assign(id, anyRoute(id));
            }
        }
        next.routeIndex = std::make_shared<const RouteIndex>(next, state);
        const RouteIndex whole(next);
        for (int i = 0; i < 20; ++i) {
            const std::string host = *rc::gen::element("", "a", "a.example", "b.example", "c.example");
            const std::string path = anyPath();
            const std::string method = *rc::gen::element(std::string("GET"), std::string("PUT"), std::string("POST"));
            const State ofHost = routesOfHost(next, host);
            const State ofAny = routesOfHost(next, "");
            const Route *expected = findByLinearSearch(ofHost, method, path);
            if (expected == nullptr) {
                expected = findByLinearSearch(ofAny, method, path);
            }
            RC_ASSERT(next.findRoute(method, path, host) == expected);
            RC_ASSERT(whole.find(method, path, host) == expected);
        }
        state = std::move(next);
    }
}
