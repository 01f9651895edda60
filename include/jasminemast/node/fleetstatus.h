// Status of all zones as this node knows it, for operators.
#pragma once

#include "jasminemast/spread/spreadcore.h"

#include <nlohmann/json.hpp>

namespace jasminemast
{

/// One object per zone. A zone without a recent summary is marked as unknown; its last summary is shown with its age.
nlohmann::json fleetZones(const SpreadCore &core, TimePoint now);

} // namespace jasminemast
