// Objects as JSON, in the format of tickets.
#pragma once

#include "jasminemast/config/state.h"

#include <nlohmann/json.hpp>

namespace jasminemast
{

nlohmann::json toJson(const Route &route);
nlohmann::json toJson(const Service &service);
nlohmann::json toJson(const Endpoint &endpoint);

} // namespace jasminemast
