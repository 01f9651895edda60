// Parsing of valid and malformed host lists.
#include "jasminemast/member/hostlist.h"

#include "jasminemast/support/result.h"

#include <gtest/gtest.h>

using namespace jasminemast;

TEST(HostList, ParsesLiveAndLeavingHosts)
{
    const auto list = parseHostList(R"([
        {"host":"h1","region":"r1","zone":"z1","address":"127.0.0.1:7000","state":"live"},
        {"host":"h2","region":"r1","zone":"z2","address":"127.0.0.1:7001","state":"leaving"}])");
    ASSERT_EQ(list.size(), 2U);
    EXPECT_EQ(list.find(HostId("h1"))->zone, ZoneId("z1"));
    EXPECT_TRUE(list.find(HostId("h2"))->leaving);
    EXPECT_EQ(list.inZone(ZoneId("z2")), std::vector {HostId("h2")});
    EXPECT_EQ(list.inRegion(RegionId("r1")).size(), 2U);
    EXPECT_EQ(list.zones().size(), 2U);
}

TEST(HostList, RejectsMalformedLists)
{
    const char *malformed[] = {
        "",
        "{}",
        "[1]",
        R"([{"host":"h1"}])",
        R"([{"host":"","region":"r","zone":"z","address":"a","state":"live"}])",
        R"([{"host":"h","region":"r","zone":"z","address":"a","state":"gone"}])",
        R"([{"host":7,"region":"r","zone":"z","address":"a","state":"live"}])",
    };
    for (const auto *bytes : malformed) {
        try {
            parseHostList(bytes);
            ADD_FAILURE() << "accepted: " << bytes;
        } catch (const ResultError &error) {
            EXPECT_EQ(error.code(), ResultCode::HostListMalformed) << bytes;
        }
    }
}

TEST(HostList, RejectsNestedFieldThatIsNotUsed)
{
    const std::string nested = std::string(1'000, '[') + std::string(1'000, ']');
    EXPECT_THROW(
        parseHostList(R"([{"host":"h","region":"r","zone":"z","address":"a","state":"live","x":)" + nested + "}]"),
        ResultError);
}
