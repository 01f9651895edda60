// Parses the text of a settings file, with bounded size and depth.
#pragma once

#include <nlohmann/json.hpp>

#include <string_view>

namespace jasminemast
{

/// Bounds of a settings file.
struct SettingsLimits
{
    static constexpr std::size_t MaxBytes = 1 << 20;
    static constexpr int MaxDepth = 8; ///< of nested objects and arrays
};

/// Parses \p text. Refuses a repeated key of an object, as only one of its values would take effect.
/// \throws ResultError with SettingsTooLarge, SettingsNotJson, SettingsTooDeep or SettingsDuplicateKey.
nlohmann::json parseSettingsJson(std::string_view text);

} // namespace jasminemast
