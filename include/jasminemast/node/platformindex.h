// The index in the platform's responses: the next long poll passes it, to wait for a newer value.
#pragma once

#include "jasminemast/net/httpmessage.h"

#include <optional>
#include <string>

namespace jasminemast
{

/// The value of X-Index; nothing if it is missing or not a decimal number. It becomes part of the next URL, so
/// nothing else is accepted.
std::optional<std::string> platformIndex(const HttpHeaders &headers);

} // namespace jasminemast
