// Parsing and formatting of fleet status from sample node responses, and the completion script.
#include "jasminemast/command/fleetstatus.h"

#include "jasminemast/command/command.h"
#include "jasminemast/support/result.h"

#include <gmock/gmock.h>

namespace jasminemast
{
namespace
{

using testing::HasSubstr;

const char *SampleResponse = R"({"host": "h1", "zones": [
    {"zone": "z2", "region": "south", "liveHosts": 3, "reportingHosts": 3, "highest": 7, "divergentHosts": 0,
     "stateDigestPrefix": "aabbccddee", "laggards": [], "ageMs": 1200, "known": true},
    {"zone": "z1", "region": "north", "liveHosts": 4, "reportingHosts": 4, "highest": 7, "divergentHosts": 0,
     "stateDigestPrefix": "aabbccddee", "laggards": [{"host": "h3", "number": 6}, {"host": "h4", "number": 5}], "ageMs": 0,
     "known": true},
    {"zone": "z3", "region": "south", "liveHosts": 2, "reportingHosts": 2, "highest": 7, "divergentHosts": 0,
     "stateDigestPrefix": "aabbccddee", "laggards": [], "ageMs": 61000, "known": false}]})";

nlohmann::json sampleResponse()
{
    return nlohmann::json::parse(SampleResponse);
}

TEST(FleetStatus, FormatsKnownAndUnknownZones)
{
    const std::string text = formatFleet(parseFleetStatus(sampleResponse()));
    EXPECT_EQ(text,
              "region  zone    nodes in force  ticket  digest          age  laggards\n"
              "north   z1          4        2       7  aabbccdd      0.0 s  2: h3, h4\n"
              "south   z2          3        3       7  aabbccdd      1.2 s  none\n"
              "south   z3          -        -       -  -            61.0 s  unknown\n"
              "ticket 7: in force on 5 of 9 nodes, 1 zone unknown\n");
}

TEST(FleetStatus, IsInForceEverywhereOnlyIfInForceOnEveryKnownNode)
{
    nlohmann::json response = sampleResponse();
    EXPECT_FALSE(parseFleetStatus(response).isInForceEverywhere(TicketNumber(7)));
    response["zones"][1]["laggards"] = nlohmann::json::array();
    EXPECT_FALSE(parseFleetStatus(response).isInForceEverywhere(TicketNumber(7)));
    response["zones"][2]["known"] = true;
    EXPECT_TRUE(parseFleetStatus(response).isInForceEverywhere(TicketNumber(7)));
    EXPECT_TRUE(parseFleetStatus(response).isInForceEverywhere(TicketNumber(6)));
    response["zones"][0]["reportingHosts"] = 2U;
    EXPECT_FALSE(parseFleetStatus(response).isInForceEverywhere(TicketNumber(7)));
    response["zones"][0]["reportingHosts"] = 3U;
    response["zones"][0]["divergentHosts"] = 1U;
    EXPECT_FALSE(parseFleetStatus(response).isInForceEverywhere(TicketNumber(7)));
    EXPECT_FALSE(parseFleetStatus(response).isInForceEverywhere(TicketNumber(8)));
    response["zones"] = nlohmann::json::array();
    EXPECT_FALSE(parseFleetStatus(response).isInForceEverywhere(TicketNumber(0)));
}

TEST(FleetStatus, TreatsMalformedZonesAsUnknown)
{
    const std::vector<std::pair<const char *, nlohmann::json>> table
        = {{"liveHosts", "3"}, {"reportingHosts", -1}, {"highest", nullptr}, {"known", 1}};
    for (const auto &[key, value] : table) {
        nlohmann::json response = sampleResponse();
        response["zones"][0][key] = value;
        EXPECT_EQ(parseFleetStatus(response).unknownZones(), 2U) << key;
    }
    EXPECT_NO_THROW(formatFleet(parseFleetStatus(nlohmann::json::parse(R"({"zones": [1, {}, {"laggards": 3}]})"))));
}

TEST(FleetStatus, RefusesResponseWithoutZones)
{
    for (const char *response : {"{}", "[]", "7", R"({"zones": {}})"}) {
        EXPECT_THROW(parseFleetStatus(nlohmann::json::parse(response)), ResultError) << response;
    }
}

TEST(Completion, ContainsEveryCommandAndFlag)
{
    const std::string script = bashCompletion();
    for (const Command &command : allCommands()) {
        EXPECT_THAT(script, HasSubstr("\"" + std::string(command.name) + " \"*)"));
        EXPECT_THAT(std::string(command.example), HasSubstr("jasminemast " + std::string(command.name)));
    }
    EXPECT_THAT(script, HasSubstr("--help --node= --fleet --watch --ticket= --timeout= --json"));
}

} // namespace
} // namespace jasminemast
