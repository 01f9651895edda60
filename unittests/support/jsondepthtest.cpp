// Counting of levels in valid and invalid JSON.
#include "jasminemast/support/jsondepth.h"

#include <gtest/gtest.h>

using namespace jasminemast;

TEST(JsonDepthTest, CountsLevels)
{
    EXPECT_TRUE(isNestedDeeper(R"([[],{"a":{}}])", 2));
    EXPECT_TRUE(isNestedDeeper(R"([[],{"a":[0]},[]])", 2));
    EXPECT_FALSE(isNestedDeeper(R"([[],{"a":0},[],{}])", 2));
    EXPECT_FALSE(isNestedDeeper("", 0));
}

TEST(JsonDepthTest, BracketsInStringsAreNoLevels)
{
    EXPECT_FALSE(isNestedDeeper(R"({"[[[":"{{{","\"[[":"\\"})", 1));
    EXPECT_TRUE(isNestedDeeper(R"({"a\\":[]})", 1));
    EXPECT_TRUE(isNestedDeeper(R"({"a\\\"":[]})", 1));
}

TEST(JsonDepthTest, CountsLevelsOfInvalidText)
{
    EXPECT_FALSE(isNestedDeeper("]]]][[", 2)) << "levels that were never opened are not counted";
    EXPECT_TRUE(isNestedDeeper("]]]][[[", 2));
    EXPECT_FALSE(isNestedDeeper("[\"[[", 1)) << "a string without its end";
    EXPECT_FALSE(isNestedDeeper("[\"[[\\", 1)) << "a string without its end";
}
