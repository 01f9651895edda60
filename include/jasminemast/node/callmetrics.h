// The `/metrics` text of the call side.
#pragma once

#include "jasminemast/node/entryside.h"
#include "jasminemast/node/targetside.h"

#include <string>

namespace jasminemast
{

/// Counters of calls, attempts, refusals and retries, and summaries of latencies.
std::string renderCallMetrics(const EntrySide &entry, const TargetSide &target);

} // namespace jasminemast
