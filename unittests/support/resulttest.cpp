// Result codes, events and digests: numbers and names are unique, text forms round-trip.
#include "jasminemast/support/result.h"
#include "jasminemast/support/digest.h"
#include "jasminemast/support/events.h"

#include <gtest/gtest.h>

#include <set>

using namespace jasminemast;

TEST(ResultTest, NumbersAndNamesAreUnique)
{
    std::set<int> numbers;
    std::set<std::string_view> names;
    for (const ResultInfo &info : allResults()) {
        EXPECT_TRUE(numbers.insert(number(info.code)).second) << info.name;
        EXPECT_TRUE(names.insert(info.name).second) << info.name;
        EXPECT_EQ(resultFromNumber(number(info.code)), info.code);
    }
    EXPECT_FALSE(resultFromNumber(-1));
}

TEST(EventTest, NumbersAreUniqueAndFieldsAreQuoted)
{
    std::set<int> numbers;
    for (const EventInfo &info : allEvents()) {
        EXPECT_TRUE(numbers.insert(static_cast<int>(info.event)).second) << info.name;
    }
    EXPECT_EQ(formatEvent(Event::NodeStarted, {{"host", "h1"}, {"why", "a \"b\""}}),
              "E1001 NodeStarted \"node started\" host=h1 why=\"a \\\"b\\\"\"");
}

TEST(DigestTest, MatchesKnownValueAndRoundTripsHex)
{
    const Digest digest = sha256("abc");
    EXPECT_EQ(digest.hex(), "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    EXPECT_EQ(Digest::fromHex(digest.hex()), digest);
    EXPECT_FALSE(Digest::fromHex("ba78"));
    EXPECT_FALSE(Digest::fromHex(std::string(64, 'x')));
}
