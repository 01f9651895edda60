// Base64, for binary data inside JSON.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace jasminemast
{

/// Encodes with padding and without line breaks.
std::string encodeBase64(std::string_view data);

/// Decodes the result of encodeBase64(); std::nullopt for any other text.
std::optional<std::string> decodeBase64(std::string_view text);

} // namespace jasminemast
