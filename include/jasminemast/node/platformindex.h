// The index that the platform's answers carry, with which the next long poll names what was seen.
#pragma once

#include "jasminemast/net/httpmessage.h"

#include <optional>
#include <string>

namespace jasminemast
{

/// The value of X-Index; nothing when it is missing or no decimal number, since it goes into the next request.
std::optional<std::string> platformIndex(const HttpHeaders &headers);

} // namespace jasminemast
