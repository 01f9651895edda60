// Rendezvous hashing: the holder of a role follows from the set of hosts alone, without an election.
#pragma once

#include "jasminemast/support/ids.h"

#include <optional>
#include <string_view>
#include <vector>

namespace jasminemast
{

/// Returns \p hosts ordered by their weight for \p role. The first holds the role, the next ones are its standbys.
std::vector<HostId> rendezvousOrder(std::string_view role, std::vector<HostId> hosts);

/// Returns the number of \p hosts that precede \p self for \p role; 0 means that \p self holds it.
std::size_t rendezvousRank(std::string_view role, const std::vector<HostId> &hosts, const HostId &self);

} // namespace jasminemast
