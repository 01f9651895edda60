// Syntax and limits of tickets: each error has a code and a place, and changes only the number and ticket digest.
#include "jasminemast/config/ticket.h"
#include "ticketchain.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace jasminemast;

namespace
{

const std::string GoodSections = R"(,"routes":{"r":{"pathPrefix":"/a/","service":"s"}},
    "services":{"s":{"endpoints":["e"]}},"endpoints":{"e":{"host":"h1","port":9000,"slots":12}})";

StatePtr goodState()
{
    return applyTicket(emptyState(), TicketNumber(1), ticketText(1, Digest {}, GoodSections)).state;
}

std::string routeSection(const std::string &fields)
{
    return R"(,"routes":{"r2":{"service":"s",)" + fields + "}}";
}

std::string endpointSection(const std::string &fields)
{
    return R"(,"endpoints":{"e":{"host":"h1",)" + fields + "}}";
}

std::string manyMethods(std::size_t count)
{
    std::string text = "\"M\"";
    for (std::size_t i = 1; i < count; ++i) {
        const std::string name {static_cast<char>('A' + i / 26), static_cast<char>('A' + i % 26)};
        text += ",\"" + name + "\"";
    }
    return text;
}

void expectRefused(const std::string &name, const std::string &bytes, ResultCode code, const std::string &place)
{
    const StatePtr before = goodState();
    const ApplyResult result = applyTicket(before, TicketNumber(2), bytes);
    EXPECT_EQ(result.code, code) << name << ": " << result.detail;
    EXPECT_TRUE(result.detail.starts_with(place + ":")) << name << ": " << result.detail;
    EXPECT_EQ(result.state->number, TicketNumber(2)) << name;
    EXPECT_EQ(result.state->ticketDigest, sha256(bytes)) << name;
    EXPECT_EQ(result.state->stateDigest, before->stateDigest) << name;
    EXPECT_EQ(result.state->routes.size(), 1U) << name;
    EXPECT_EQ(result.state->services.size(), 1U) << name;
    EXPECT_EQ(result.state->endpoints.size(), 1U) << name;
}

} // namespace

TEST(TicketTest, RefusesInvalidSectionsEntirely)
{
    using Code = ResultCode;
    struct Case
    {
        const char *name;
        std::string sections;
        Code code;
        std::string place;
    };
    const std::string longName(129, 'x');
    const std::vector<Case> cases = {
        {"unknown key", R"(,"extra":1)", Code::TicketUnknownKey, "/extra"},
        {"key with a slash", R"(,"a/b~":1)", Code::TicketUnknownKey, "/a~1b~0"},
        {"repeated section", R"(,"routes":{},"routes":{})", Code::TicketDuplicateKey, "/routes"},
        {"repeated object", R"(,"endpoints":{"e":null,"e":null})", Code::TicketDuplicateKey, "/endpoints/e"},
        {"repeated field", endpointSection(R"("port":1,"port":2,"slots":1)"), Code::TicketDuplicateKey,
         "/endpoints/e/port"},
        {"section of another type", R"(,"routes":[])", Code::TicketWrongType, "/routes"},
        {"section null", R"(,"services":null)", Code::TicketWrongType, "/services"},
        {"object of another type", R"(,"routes":{"r":[]})", Code::TicketWrongType, "/routes/r"},
        {"empty name", R"(,"services":{"":{"endpoints":[]}})", Code::TicketBadName, "/services/"},
        {"long name", R"(,"services":{")" + longName + R"(":{"endpoints":[]}})", Code::TicketBadName,
         "/services/" + std::string(128, 'x')},
        {"control character", R"(,"services":{"a\nb":{"endpoints":[]}})", Code::TicketBadName, "/services/a?b"},
        {"delete character", endpointSection(R"("port":1,"slots":1,"host":"\u007f")"), Code::TicketDuplicateKey,
         "/endpoints/e/host"},
        {"8-bit control character", R"(,"services":{"a\u0085":null})", Code::TicketBadName, "/services/a\u0085"},
        {"missing field", routeSection(R"("timeoutMs":5)"), Code::TicketWrongType, "/routes/r2/pathPrefix"},
        {"path without slash", routeSection(R"("pathPrefix":"a/")"), Code::TicketBadName, "/routes/r2/pathPrefix"},
        {"path with query", routeSection(R"("pathPrefix":"/a?b")"), Code::TicketBadName, "/routes/r2/pathPrefix"},
        {"path is a number", routeSection(R"("pathPrefix":5)"), Code::TicketWrongType, "/routes/r2/pathPrefix"},
        {"lower-case method", routeSection(R"("pathPrefix":"/","methods":["GET","get"])"), Code::TicketBadName,
         "/routes/r2/methods/1"},
        {"method twice", routeSection(R"("pathPrefix":"/","methods":["GET","GET"])"), Code::TicketDuplicateItem,
         "/routes/r2/methods/1"},
        {"33 methods", routeSection(R"("pathPrefix":"/","methods":[)" + manyMethods(33) + "]"), Code::TicketWrongType,
         "/routes/r2/methods"},
        {"methods no array", routeSection(R"("pathPrefix":"/","methods":"GET")"), Code::TicketWrongType,
         "/routes/r2/methods"},
        {"repeatable no boolean", routeSection(R"("pathPrefix":"/","repeatable":1)"), Code::TicketWrongType,
         "/routes/r2/repeatable"},
        {"timeout 0", routeSection(R"("pathPrefix":"/","timeoutMs":0)"), Code::TicketWrongType, "/routes/r2/timeoutMs"},
        {"timeout too long", routeSection(R"("pathPrefix":"/","timeoutMs":600001)"), Code::TicketWrongType,
         "/routes/r2/timeoutMs"},
        {"negative port", endpointSection(R"("port":-1,"slots":1)"), Code::TicketWrongType, "/endpoints/e/port"},
        {"port 65536", endpointSection(R"("port":65536,"slots":1)"), Code::TicketWrongType, "/endpoints/e/port"},
        {"fractional port", endpointSection(R"("port":1.5,"slots":1)"), Code::TicketWrongType, "/endpoints/e/port"},
        {"exponent port", endpointSection(R"("port":1e3,"slots":1)"), Code::TicketWrongType, "/endpoints/e/port"},
        {"no slots", endpointSection(R"("port":1,"slots":0)"), Code::TicketWrongType, "/endpoints/e/slots"},
        {"2^64 slots", endpointSection(R"("port":1,"slots":18446744073709551616)"), Code::TicketWrongType,
         "/endpoints/e/slots"},
        {"number beyond any type", endpointSection(R"("port":1,"slots":1e999)"), Code::TicketWrongType,
         "/endpoints/e/slots"},
        {"not a number", endpointSection(R"("port":1,"slots":NaN)"), Code::TicketNotJson, "/endpoints/e/slots"},
        {"draining no boolean", endpointSection(R"("port":1,"slots":1,"draining":null)"), Code::TicketWrongType,
         "/endpoints/e/draining"},
        {"endpoint twice", R"(,"services":{"s":{"endpoints":["e","e"]}})", Code::TicketDuplicateItem,
         "/services/s/endpoints/1"},
        {"endpoint missing", R"(,"services":{"s":{"endpoints":["e","x"]}})", Code::TicketServiceWithoutEndpoint,
         "/services/s"},
        {"service missing", routeSection(R"("pathPrefix":"/")") + R"(,"services":{"s":null})",
         Code::TicketRouteWithoutService, "/routes/r"},
        {"endpoint removed under its service", R"(,"endpoints":{"e":null})", Code::TicketServiceWithoutEndpoint,
         "/services/s"},
        {"raw control character", ",\"routes\":{\"a\x01\":null}", Code::TicketNotJson, "/routes"},
        {"bad UTF-8", ",\"routes\":{\"a\xff\":null}", Code::TicketNotJson, "/routes"},
        {"overlong UTF-8", ",\"routes\":{\"a\xc0\xaf\":null}", Code::TicketNotJson, "/routes"},
        {"surrogate half", R"(,"routes":{"a\ud800":null})", Code::TicketNotJson, "/routes"},
        {"comment", "/* no */", Code::TicketNotJson, ""},
        {"trailing comma", ",", Code::TicketNotJson, ""},
        {"second value", "} {", Code::TicketNotJson, ""},
    };
    for (const Case &row : cases) {
        expectRefused(row.name, ticketText(2, goodState()->ticketDigest, row.sections), row.code, row.place);
    }
}

TEST(TicketTest, RefusesInvalidTopLevelEntirely)
{
    using Code = ResultCode;
    struct Case
    {
        const char *name;
        std::string bytes;
        Code code;
        std::string place;
    };
    const Digest previous = goodState()->ticketDigest;
    const std::string link = R"(,"previous":")" + previous.hex() + "\"";
    const std::string good = ticketText(2, previous, GoodSections);
    const std::string deep = std::string(17, '[') + std::string(17, ']');
    const std::vector<Case> cases = {
        {"empty", "", Code::TicketNotJson, ""},
        {"cut", good.substr(0, good.size() - 1), Code::TicketNotJson, ""},
        {"array", "[]", Code::TicketWrongType, ""},
        {"no number", "{\"previous\":\"" + previous.hex() + "\"}", Code::TicketWrongType, "/number"},
        {"no previous", R"({"number":2})", Code::TicketWrongType, "/previous"},
        {"negative number", R"({"number":-2)" + link + "}", Code::TicketWrongType, "/number"},
        {"number 0", R"({"number":0)" + link + "}", Code::TicketWrongType, "/number"},
        {"number beyond 2^53", R"({"number":9007199254740992)" + link + "}", Code::TicketWrongType, "/number"},
        {"other number", ticketText(3, previous), Code::TicketWrongNumber, "/number"},
        {"other previous", ticketText(2, Digest {}), Code::TicketWrongPrevious, "/previous"},
        {"upper-case digest", R"({"number":2,"previous":")" + std::string(64, 'A') + "\"}", Code::TicketWrongType,
         "/previous"},
        {"deep", R"({"number":)" + deep + link + "}", Code::TicketTooDeep,
         "/number" +
             [] {
                 std::string zeros;
                 for (int i = 0; i < 15; ++i) {
                     zeros += "/0";
                 }
                 return zeros;
             }()},
        {"deeper than any stack", std::string(1'000'000, '['), Code::TicketTooDeep,
         [] {
             std::string zeros;
             for (int i = 0; i < 16; ++i) {
                 zeros += "/0";
             }
             return zeros;
         }()},
        {"too large", good + std::string(TicketLimits::MaxBytes, ' '), Code::TicketTooLarge, ""},
    };
    for (const Case &row : cases) {
        expectRefused(row.name, row.bytes, row.code, row.place);
    }
}

TEST(TicketTest, AppliesTicketOfMaxSize)
{
    std::string bytes = ticketText(1, Digest {}, GoodSections);
    bytes += std::string(TicketLimits::MaxBytes - bytes.size(), ' ');
    EXPECT_EQ(applyTicket(emptyState(), TicketNumber(1), bytes).code, ResultCode::Ok);
}

TEST(TicketTest, BoundsObjectsOfStateAcrossTickets)
{
    TicketChain chain;
    constexpr std::size_t ObjectsPerTicket = 10'001;
    StatePtr state = emptyState();
    for (std::size_t part = 0; part < 5; ++part) {
        std::string section = R"(,"services":{)";
        for (std::size_t i = 0; i < ObjectsPerTicket; ++i) {
            section += (i == 0 ? "\"" : ",\"") + std::to_string(part * ObjectsPerTicket + i) + R"(":{"endpoints":[]})";
        }
        const Head head = chain.add(section + "}");
        const ApplyResult result = applyTicket(state, head.number, chain.bytes(head.number.value()));
        EXPECT_EQ(result.code, part < 4 ? ResultCode::Ok : ResultCode::TicketTooManyObjects);
        state = result.state;
    }
    EXPECT_EQ(state->services.size(), 4 * ObjectsPerTicket);
}

TEST(TicketTest, RemovingMissingObjectIsNoError)
{
    const std::string bytes
        = ticketText(2, goodState()->ticketDigest, R"(,"routes":{"x":null,"r":null},"services":{"s":null})");
    const ApplyResult result = applyTicket(goodState(), TicketNumber(2), bytes);
    EXPECT_EQ(result.code, ResultCode::Ok) << result.detail;
    EXPECT_TRUE(result.state->routes.empty());
}

TEST(HeadTest, RefusesInvalidHeads)
{
    const std::string hex = sha256("x").hex();
    EXPECT_EQ(parseHead(R"({"number":3,"digest":")" + hex + R"(","by":"op"})"), (Head {TicketNumber(3), sha256("x")}));
    const std::vector<std::string> cases = {
        "",
        "3",
        "{}",
        R"({"number":3})",
        R"({"digest":")" + hex + "\"}",
        R"({"number":0,"digest":")" + hex + "\"}",
        R"({"number":-1,"digest":")" + hex + "\"}",
        R"({"number":"3","digest":")" + hex + "\"}",
        R"({"number":9007199254740992,"digest":")" + hex + "\"}",
        R"({"number":3,"number":4,"digest":")" + hex + "\"}",
        R"({"number":3,"digest":"abc"})",
        R"({"number":3,"digest":")" + hex + "\"}" + std::string(1024, ' '),
        R"({"number":3,"digest":")" + hex + R"(","by":[[[[[]]]]]})",
    };
    for (const std::string &text : cases) {
        try {
            parseHead(text);
            ADD_FAILURE() << text;
        } catch (const ResultError &error) {
            EXPECT_EQ(error.code(), ResultCode::AcceptedMalformed) << text;
        }
    }
}

namespace
{

/// Names from a small set, so that tickets refer to each other's objects.
std::string anyName(const char *prefix)
{
    return prefix + std::to_string(*rc::gen::inRange(0, 5));
}

std::string anyObject(const std::string &fields)
{
    return *rc::gen::inRange(0, 3) == 0 ? "null" : fields;
}

std::string anySections()
{
    std::string text;
    text += R"(,"endpoints":{")" + anyName("e")
        + "\":" + anyObject(R"({"host":"h","port":1,"slots":)" + std::to_string(*rc::gen::inRange(0, 4)) + "}") + "}";
    text += R"(,"services":{")" + anyName("s")
        + "\":" + anyObject(R"({"endpoints":[")" + anyName("e") + R"(",")" + anyName("e") + "\"]}") + "}";
    text += R"(,"routes":{")" + anyName("r")
        + "\":" + anyObject(R"({"pathPrefix":"/","service":")" + anyName("s") + "\"}") + "}";
    return text;
}

void assertInvariants(const State &state)
{
    for (const auto &[id, route] : state.routes) {
        RC_ASSERT(route->id == id);
        RC_ASSERT(state.services.contains(route->service));
    }
    for (const auto &[id, service] : state.services) {
        RC_ASSERT(service->id == id);
        for (const EndpointId &endpoint : service->endpoints) {
            RC_ASSERT(state.endpoints.contains(endpoint));
        }
    }
    RC_ASSERT(computeStateDigest(state) == state.stateDigest);
}

} // namespace

RC_GTEST_PROP(TicketProperty, KeepsInvariantsAndRefusalsChangeNoObject, ())
{
    TicketChain chain;
    chain.add(GoodSections);
    StatePtr state = emptyState();
    std::size_t applied = 0;
    for (int i = 0; i < 30; ++i) {
        const Head head = chain.add(anySections());
        const StatePtr before = chain.size() == 2 ? chain.apply(1) : state;
        const ApplyResult result = applyTicket(before, head.number, chain.bytes(head.number.value()));
        state = result.state;
        assertInvariants(*state);
        RC_ASSERT(state->number == head.number);
        RC_ASSERT(state->ticketDigest == head.digest);
        if (result.code == ResultCode::Ok) {
            ++applied;
            continue;
        }
        RC_ASSERT(state->stateDigest == before->stateDigest);
        RC_ASSERT(state->routes.size() == before->routes.size());
        RC_ASSERT(state->services.size() == before->services.size());
        RC_ASSERT(state->endpoints.size() == before->endpoints.size());
    }
    RC_CLASSIFY(applied > 0, "some applied");
}

RC_GTEST_PROP(TicketProperty, DamagedBytesNeverThrowNorApplyPartially, ())
{
    std::string bytes = ticketText(2, goodState()->ticketDigest, GoodSections);
    const auto damagedBytes = *rc::gen::inRange(1, 6);
    for (int i = 0; i < damagedBytes; ++i) {
        const auto place = *rc::gen::inRange<std::size_t>(0, bytes.size());
        bytes[place] = static_cast<char>(*rc::gen::inRange(0, 256));
    }
    const ApplyResult result = applyTicket(goodState(), TicketNumber(2), bytes);
    assertInvariants(*result.state);
    RC_ASSERT(result.state->number == TicketNumber(2));
    if (result.code != ResultCode::Ok) {
        RC_ASSERT(result.state->stateDigest == goodState()->stateDigest);
    }
    parsePreviousDigest(bytes);
}
