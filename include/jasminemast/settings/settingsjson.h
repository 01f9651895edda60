// Parses the text of a settings file into JSON within bounds.
#pragma once

#include <nlohmann/json.hpp>

#include <string_view>

namespace jasminemast
{

/// Bounds of a settings file.
struct SettingsLimits
{
    static constexpr std::size_t MaxBytes = 1 << 20;
    static constexpr int MaxDepth = 8; ///< objects and arrays within each other
};

/// Parses \p text; a key that stands twice in one object is refused, since only one of its values could count.
/// \throws ResultError with SettingsTooLarge, SettingsNotJson, SettingsTooDeep or SettingsDuplicateKey.
nlohmann::json parseSettingsJson(std::string_view text);

} // namespace jasminemast
