// The control section of the settings, and the example files.
#include "jasminemast/settings/controlsettings.h"

#include "jasminemast/settings/nodesettings.h"
#include "jasminemast/support/result.h"

#include <gtest/gtest.h>

using namespace jasminemast;

namespace
{

SpreadSettings read(const char *text)
{
    const auto json = nlohmann::json::parse(text);
    return readControlSettings(JsonReader(json, "/control"));
}

} // namespace

TEST(ControlSettings, AbsentKeysKeepTheirDefaults)
{
    const auto settings = read(R"({"readersPerZone":3})");
    EXPECT_EQ(settings.readersPerZone, 3U);
    EXPECT_EQ(settings.awayReadersPerZone, SpreadSettings().awayReadersPerZone);
}

TEST(ControlSettings, RefusesInvalidValuesWithCode)
{
    const std::pair<const char *, ResultCode> cases[] = {
        {R"({"readerPerZone":3})", ResultCode::SettingsUnknownKey},
        {R"({"readersPerZone":0})", ResultCode::SettingsOutOfRange},
        {R"({"readersPerZone":"3"})", ResultCode::SettingsWrongType},
        {R"({"watchWaitMs":0})", ResultCode::SettingsOutOfRange},
        {R"({"serviceCallsPerSecond":0})", ResultCode::SettingsOutOfRange},
        {R"({"readerTimeoutMs":1000,"readerHeartbeatMs":1000})", ResultCode::SettingsOutOfRange},
    };
    for (const auto &[text, code] : cases) {
        try {
            read(text);
            ADD_FAILURE() << "accepted: " << text;
        } catch (const ResultError &error) {
            EXPECT_EQ(error.code(), code) << text;
        }
    }
}

TEST(ControlSettings, ExampleFilesAreValid)
{
    const auto consorzio = readNodeSettings(EXAMPLES_FOLDER "/consorzio.json");
    EXPECT_EQ(consorzio.control.storeRegion, RegionId("lombardy"));
    EXPECT_EQ(consorzio.control.regionPushCount, 1U);
    const auto haengselvaerket = readNodeSettings(EXAMPLES_FOLDER "/haengselvaerket.json");
    EXPECT_EQ(haengselvaerket.control.storeRegion, RegionId("jylland"));
    EXPECT_GT(haengselvaerket.control.regionFallbackDelay, consorzio.control.regionFallbackDelay);
}
