// The "control" section of the settings: how configuration is distributed.
#pragma once

#include "jasminemast/settings/jsonreader.h"
#include "jasminemast/spread/settings.h"

namespace jasminemast
{

/// Reads the section; absent keys keep their defaults. SpreadSettings::storeRegion is not part of it.
/// \throws ResultError with a 1xxx code; the detail names the path and what was expected.
SpreadSettings readControlSettings(JsonReader reader);

} // namespace jasminemast
