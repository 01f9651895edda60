// What a node knows of the whole fleet, as it answers /v1/status?scope=fleet, and its form for people.
#pragma once

#include "jasminemast/support/clock.h"
#include "jasminemast/support/ids.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace jasminemast
{

/// One zone of the fleet.
struct ZoneStatus
{
    RegionId region;
    ZoneId zone;
    bool known = false; ///< false: out of reach, or not heard of lately; the rest is then what was last known
    std::uint64_t nodes = 0;
    std::uint64_t inForce = 0; ///< nodes that run the ticket \p number
    TicketNumber number;
    std::string digest;
    std::vector<HostId> laggards; ///< some of the hosts that do not run \p number yet
    Milliseconds age {0}; ///< of this knowledge
};

struct FleetStatus
{
    std::uint64_t nodes = 0;
    std::vector<ZoneStatus> zones; ///< ordered by region and zone

    /// True when every zone is known and each of its nodes runs \p ticket or a later one.
    [[nodiscard]] bool isInForceEverywhere(TicketNumber ticket) const;
    /// Nodes of known zones that run \p ticket or a later one for certain.
    [[nodiscard]] std::uint64_t nodesInForce(TicketNumber ticket) const;
    [[nodiscard]] std::uint64_t unknownZones() const;
};

/// Reads the answer of a node; a zone lacking its figures reads as unknown.
/// \throws ResultError with NodeAnswerInvalid when there is no list of zones.
FleetStatus parseFleetStatus(const nlohmann::json &answer);

/// A table with one line for each zone and a closing line for the fleet.
std::string formatFleet(const FleetStatus &fleet);

/// One line about how far \p ticket has come.
std::string formatProgress(const FleetStatus &fleet, TicketNumber ticket);

} // namespace jasminemast
