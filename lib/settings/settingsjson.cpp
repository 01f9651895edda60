// Parses settings with bounded size and depth.
#include "jasminemast/settings/settingsjson.h"

#include "jasminemast/support/result.h"

#include <set>
#include <string>
#include <vector>

namespace jasminemast
{

namespace
{

/// Checks the parser's events for nesting that is too deep and for repeated keys.
class ParseChecker
{
public:
    void check(int depth, nlohmann::json::parse_event_t event, const nlohmann::json &parsed)
    {
        using Event = nlohmann::json::parse_event_t;
        if (depth >= SettingsLimits::MaxDepth && (event == Event::object_start || event == Event::array_start)) {
            throw ResultError(ResultCode::SettingsTooDeep,
                              "expected at most " + std::to_string(SettingsLimits::MaxDepth) + " levels");
        }
        if (event == Event::object_start) {
            m_keys.emplace_back();
        } else if (event == Event::object_end) {
            m_keys.pop_back();
        } else if (event == Event::key) {
            checkKey(parsed.get<std::string>());
        }
    }

private:
    void checkKey(const std::string &key)
    {
        if (!m_keys.back().insert(key).second) {
            throw ResultError(ResultCode::SettingsDuplicateKey, key + ": expected once");
        }
    }

    std::vector<std::set<std::string>> m_keys; ///< keys seen so far in each open object
};

} // namespace

nlohmann::json parseSettingsJson(std::string_view text)
{
    if (text.size() > SettingsLimits::MaxBytes) {
        throw ResultError(ResultCode::SettingsTooLarge,
                          "expected at most " + std::to_string(SettingsLimits::MaxBytes) + " bytes");
    }
    ParseChecker checker;
    const auto onEvent = [&checker](int depth, nlohmann::json::parse_event_t event, const nlohmann::json &parsed) {
        checker.check(depth, event, parsed);
        return true;
    };
    auto json = nlohmann::json::parse(text, onEvent, false);
    if (json.is_discarded()) {
        throw ResultError(ResultCode::SettingsNotJson, "/: expected JSON");
    }
    return json;
}

} // namespace jasminemast
