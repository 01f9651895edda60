// Settings: accepted files, and code and path of every error.
#include "jasminemast/settings/nodesettings.h"

#include "jasminemast/settings/settingsjson.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <functional>

namespace jasminemast
{
namespace
{

nlohmann::json minimalSettings()
{
    return nlohmann::json::parse(R"({"host": "h1", "region": "r", "zone": "z", "address": "127.0.0.1",
        "callerPort": 1, "operatorPort": 2, "linkPort": 3, "configSource": "http://127.0.0.1:4",
        "hostList": "http://127.0.0.1:5", "storeRegion": "r"})");
}

/// Code and detail of the refusal of \p text; Ok if it is accepted.
std::pair<ResultCode, std::string> refusalOf(const std::string &text)
{
    try {
        parseNodeSettings(text);
        return {ResultCode::Ok, ""};
    } catch (const ResultError &error) {
        return {error.code(), error.detail()};
    }
}

TEST(Settings, AcceptsMinimalFileWithDefaults)
{
    const NodeSettings settings = parseNodeSettings(minimalSettings().dump());
    EXPECT_EQ(settings.self.host, HostId("h1"));
    EXPECT_EQ(settings.targetAddress, "127.0.0.1");
    EXPECT_EQ(settings.links.heartbeatInterval, LinkSettings().heartbeatInterval);
    EXPECT_EQ(settings.calls.defaultDeadline, CallSettings().defaultDeadline);
}

// Platforms differ in how long they let a process end.
TEST(Settings, ExitsBeforeThePlatformEndsTheProcess)
{
    nlohmann::json json = minimalSettings();
    json["drain"] = {{"graceMs", 5'500}, {"killSeconds", 10}};
    EXPECT_EQ(parseNodeSettings(json.dump()).drain.grace, Milliseconds(9'500));
    EXPECT_EQ(parseNodeSettings(json.dump()).drain.flush, Milliseconds(250));
    json["drain"]["killSeconds"] = 0.6;
    EXPECT_EQ(parseNodeSettings(json.dump()).drain.grace, Milliseconds(300)) << "time to work is left";
    EXPECT_EQ(parseNodeSettings(json.dump()).drain.flush, Milliseconds(150)) << "responses are written before the end";
    json["drain"]["killSeconds"] = 0;
    EXPECT_EQ(parseNodeSettings(json.dump()).drain.grace, Milliseconds(5'500));
    json["drain"]["killSeconds"] = -1;
    EXPECT_EQ(refusalOf(json.dump()).first, ResultCode::SettingsOutOfRange);
}

struct InvalidValue
{
    const char *path; ///< where the value is set; the error must name the same path
    nlohmann::json value;
    ResultCode code;
};

TEST(Settings, RefusesInvalidValuesWithCodeAndPath)
{
    const std::vector<InvalidValue> invalidValues = {
        {"/unknown", 1, ResultCode::SettingsUnknownKey},
        {"/links/unknown", 1, ResultCode::SettingsUnknownKey},
        {"/host", 7, ResultCode::SettingsWrongType},
        {"/host", nullptr, ResultCode::SettingsWrongType},
        {"/host", "", ResultCode::SettingsOutOfRange},
        {"/host", std::string(257, 'x'), ResultCode::SettingsOutOfRange},
        {"/address", "localhost", ResultCode::SettingsOutOfRange},
        {"/address", "1.2.3.4.5", ResultCode::SettingsOutOfRange},
        {"/callerPort", 0, ResultCode::SettingsOutOfRange},
        {"/callerPort", 65'536, ResultCode::SettingsOutOfRange},
        {"/callerPort", -1, ResultCode::SettingsOutOfRange},
        {"/callerPort", 1.5, ResultCode::SettingsWrongType},
        {"/callerPort", "1", ResultCode::SettingsWrongType},
        {"/callerPort", 1e30, ResultCode::SettingsWrongType},
        {"/operatorPort", 1, ResultCode::SettingsPortClash},
        {"/linkPort", 1, ResultCode::SettingsPortClash},
        {"/linkPort", 2, ResultCode::SettingsPortClash},
        {"/configSource", "https://127.0.0.1:4", ResultCode::SettingsOutOfRange},
        {"/configSource", "http://127.0.0.1:4/", ResultCode::SettingsOutOfRange},
        {"/configSource", "http://127.0.0.1", ResultCode::SettingsOutOfRange},
        {"/configSource", "http://127.0.0.1:4@10.0.0.1:80", ResultCode::SettingsOutOfRange},
        {"/hostList", "http://name:4", ResultCode::SettingsOutOfRange},
        {"/links", nlohmann::json::array(), ResultCode::SettingsWrongType},
        {"/links/heartbeatMs", 0, ResultCode::SettingsOutOfRange},
        {"/links/silenceMs", 500, ResultCode::SettingsOutOfRange},
        {"/calls/maxRequestBytes", 0, ResultCode::SettingsOutOfRange},
        {"/seeds", 1, ResultCode::SettingsWrongType},
        {"/seeds/0", 1, ResultCode::SettingsWrongType},
        {"/seeds/0/host", 1, ResultCode::SettingsWrongType},
    };
    for (const InvalidValue &invalid : invalidValues) {
        SCOPED_TRACE(invalid.path + invalid.value.dump().substr(0, 30));
        nlohmann::json settings = minimalSettings();
        const std::string path = invalid.path;
        if (path.starts_with("/seeds/")) {
            settings["seeds"] = nlohmann::json::array();
        }
        settings[nlohmann::json::json_pointer(path)] = invalid.value;
        const auto [code, detail] = refusalOf(settings.dump());
        EXPECT_EQ(code, invalid.code);
        EXPECT_TRUE(detail.starts_with(path + ": expected ")) << detail;
    }
}

TEST(Settings, RefusesFilesWithoutRequiredKey)
{
    const nlohmann::json minimal = minimalSettings();
    for (const auto &item : minimal.items()) {
        nlohmann::json settings = minimal;
        settings.erase(item.key());
        const auto [code, detail] = refusalOf(settings.dump());
        EXPECT_EQ(code, ResultCode::SettingsMissing) << item.key();
        EXPECT_EQ(detail, "/" + item.key() + ": expected a value");
    }
}

TEST(Settings, RefusesTextThatIsNotOneBoundedObject)
{
    const std::string minimal = minimalSettings().dump();
    EXPECT_EQ(refusalOf("").first, ResultCode::SettingsNotJson);
    EXPECT_EQ(refusalOf(minimal + minimal).first, ResultCode::SettingsNotJson);
    EXPECT_EQ(refusalOf("[]").first, ResultCode::SettingsWrongType);
    EXPECT_EQ(refusalOf("{\"host\": \"\xff\"}").first, ResultCode::SettingsNotJson);
    EXPECT_EQ(refusalOf("{\"host\": \"a\", \"host\": \"b\"}").first, ResultCode::SettingsDuplicateKey);
    EXPECT_EQ(refusalOf("{\"links\": {\"idleMs\": 1, \"idleMs\": 2}}").first, ResultCode::SettingsDuplicateKey);
    EXPECT_EQ(refusalOf(minimal + std::string(SettingsLimits::MaxBytes, ' ')).first, ResultCode::SettingsTooLarge);
    for (std::size_t size = 0; size < minimal.size(); ++size) {
        EXPECT_EQ(refusalOf(minimal.substr(0, size)).first, ResultCode::SettingsNotJson) << size;
    }
}

TEST(Settings, RefusesDeepNestingWithoutExhaustingTheStack)
{
    constexpr int Depth = 400'000;
    std::string objects;
    for (int i = 0; i < Depth / 4; ++i) {
        objects += "{\"a\":";
    }
    EXPECT_EQ(refusalOf(objects).first, ResultCode::SettingsTooDeep);
    EXPECT_EQ(refusalOf(std::string(Depth, '[') + std::string(Depth, ']')).first, ResultCode::SettingsTooDeep);
}

TEST(Settings, RefusesUnreadableFiles)
{
    for (const char *path : {"/nonexistent", "/"}) {
        try {
            readNodeSettings(path);
            ADD_FAILURE() << path;
        } catch (const ResultError &error) {
            EXPECT_EQ(error.code(), ResultCode::SettingsUnreadable) << path;
        }
    }
    try {
        readNodeSettings("/dev/zero");
        ADD_FAILURE();
    } catch (const ResultError &error) {
        EXPECT_EQ(error.code(), ResultCode::SettingsTooLarge);
    }
}

RC_GTEST_PROP(Settings, RandomBytesAreRefusedWithASettingsCode, (const std::string &bytes))
{
    const int code = number(refusalOf(bytes).first);
    RC_ASSERT(code >= number(ResultCode::SettingsUnreadable) && code < number(ResultCode::NodeUnreachable));
}

RC_GTEST_PROP(Settings, DamagedFilesAreAcceptedOrRefused, (std::uint8_t value))
{
    std::string text = minimalSettings().dump();
    text[*rc::gen::inRange<std::size_t>(0, text.size())] = static_cast<char>(value);
    const int code = number(refusalOf(text).first);
    RC_ASSERT(code == 0
              || (code >= number(ResultCode::SettingsUnreadable) && code < number(ResultCode::NodeUnreachable)));
}

} // namespace
} // namespace jasminemast
