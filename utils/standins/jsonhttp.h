// JSON responses and request bodies, for the admin pages of the stand-ins.
#pragma once

#include "httpserver.h"

#include <nlohmann/json.hpp>

namespace jasminemast::standin
{

HttpResponse jsonResponse(unsigned status, const nlohmann::json &json);
HttpResponse textResponse(unsigned status, const std::string &text);

/// Parses a request body as a JSON object.
/// \throws std::invalid_argument when it is not one.
nlohmann::json parseObject(const std::string &body);

} // namespace jasminemast::standin
