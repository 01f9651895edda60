// Rendezvous hashing: who holds a duty follows from the hosts alone, without an election.
#pragma once

#include "jasminemast/support/ids.h"

#include <optional>
#include <string_view>
#include <vector>

namespace jasminemast
{

/// \p hosts ordered by their weight for \p duty; the first holds it, the next ones stand by.
std::vector<HostId> rendezvousOrder(std::string_view duty, std::vector<HostId> hosts);

/// Number of \p hosts that precede \p self for \p duty; 0 means that \p self holds it.
std::size_t rendezvousRank(std::string_view duty, const std::vector<HostId> &hosts, const HostId &self);

} // namespace jasminemast
