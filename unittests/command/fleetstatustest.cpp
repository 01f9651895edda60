// The fleet's status from sample answers of a node, and the completion script.
#include "jasminemast/command/fleetstatus.h"

#include "jasminemast/command/command.h"
#include "jasminemast/support/result.h"

#include <gmock/gmock.h>

namespace jasminemast
{
namespace
{

using testing::HasSubstr;

const char *Sample = R"({"nodes": 9, "host": "h1", "zones": [
    {"zone": "z2", "region": "south", "nodes": 3, "inForce": 3, "number": 7, "digest": "aabbccddee", "laggards": [],
     "ageMs": 1200, "known": true},
    {"zone": "z1", "region": "north", "nodes": 4, "inForce": 2, "number": 7, "digest": "aabbccddee",
     "laggards": ["h3", "h4"], "ageMs": 0, "known": true},
    {"zone": "z3", "region": "south", "nodes": 2, "inForce": 2, "number": 7, "digest": "aabbccddee", "laggards": [],
     "ageMs": 61000, "known": false}]})";

nlohmann::json sample()
{
    return nlohmann::json::parse(Sample);
}

TEST(FleetStatus, ShowsEachZoneAndTheUnknownOnes)
{
    const std::string text = formatFleet(parseFleetStatus(sample()));
    EXPECT_EQ(text,
              "region  zone    nodes in force  ticket  digest          age  laggards\n"
              "north   z1          4        2       7  aabbccdd      0.0 s  2: h3, h4\n"
              "south   z2          3        3       7  aabbccdd      1.2 s  none\n"
              "south   z3          -        -       -  -            61.0 s  unknown\n"
              "ticket 7: in force on 5 of 9 nodes, 1 zone unknown\n");
}

TEST(FleetStatus, IsInForceEverywhereOnlyWhenEveryNodeIsKnownToRunIt)
{
    nlohmann::json answer = sample();
    EXPECT_FALSE(parseFleetStatus(answer).isInForceEverywhere(TicketNumber(7)));
    answer["zones"][1]["inForce"] = 4U;
    answer["zones"][1]["laggards"] = nlohmann::json::array();
    EXPECT_FALSE(parseFleetStatus(answer).isInForceEverywhere(TicketNumber(7)));
    answer["zones"][2]["known"] = true;
    EXPECT_TRUE(parseFleetStatus(answer).isInForceEverywhere(TicketNumber(7)));
    EXPECT_TRUE(parseFleetStatus(answer).isInForceEverywhere(TicketNumber(6)));
    EXPECT_FALSE(parseFleetStatus(answer).isInForceEverywhere(TicketNumber(8)));
    answer["zones"] = nlohmann::json::array();
    EXPECT_FALSE(parseFleetStatus(answer).isInForceEverywhere(TicketNumber(0)));
}

TEST(FleetStatus, DamagedZonesReadAsUnknown)
{
    const std::vector<std::pair<const char *, nlohmann::json>> table
        = {{"nodes", "3"}, {"inForce", -1}, {"number", nullptr}, {"known", 1}};
    for (const auto &[key, value] : table) {
        nlohmann::json answer = sample();
        answer["zones"][0][key] = value;
        EXPECT_EQ(parseFleetStatus(answer).unknownZones(), 2U) << key;
    }
    EXPECT_NO_THROW(formatFleet(parseFleetStatus(nlohmann::json::parse(R"({"zones": [1, {}, {"laggards": 3}]})"))));
}

TEST(FleetStatus, AnswerWithoutZonesIsRefused)
{
    for (const char *answer : {"{}", "[]", "7", R"({"zones": {}})"}) {
        EXPECT_THROW(parseFleetStatus(nlohmann::json::parse(answer)), ResultError) << answer;
    }
}

TEST(Completion, KnowsEveryCommandAndFlag)
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
