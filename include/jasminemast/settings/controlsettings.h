// The "control" section of the settings: how configuration spreads.
#pragma once

#include "jasminemast/settings/jsonreader.h"
#include "jasminemast/spread/settings.h"

namespace jasminemast
{

/// Reads the section; absent keys keep their defaults. The store's region is not part of it.
/// \throws ResultError with a 1xxx code that names the path and what was expected.
SpreadSettings readControlSettings(JsonReader reader);

} // namespace jasminemast
