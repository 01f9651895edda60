// What this node knows of every zone, for operators.
#pragma once

#include "jasminemast/spread/spreadcore.h"

#include <nlohmann/json.hpp>

namespace jasminemast
{

/// One object per zone. A zone without recent news reads as unknown and shows only what it last said, with its age.
nlohmann::json fleetZones(const SpreadCore &core, TimePoint now);

} // namespace jasminemast
