// The status of the whole fleet as known to one node, from the response to /v1/status?scope=fleet, and its text form.
#pragma once

#include "jasminemast/support/clock.h"
#include "jasminemast/support/ids.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace jasminemast
{

/// Status of one zone.
struct ZoneStatus
{
    RegionId region;
    ZoneId zone;
    bool known = false; ///< false: unreachable or not updated recently; the other fields are then the last known values
    std::uint64_t nodes = 0; ///< live nodes
    std::uint64_t inForce = 0; ///< nodes where ticket \p number is in force
    TicketNumber number; ///< the highest ticket in force on a node of the zone
    std::string digest; ///< prefix of the state's digest
    std::vector<HostId> laggards; ///< some of the hosts where \p number is not yet in force
    Milliseconds age {0}; ///< time since this status was reported
};

struct FleetStatus
{
    std::uint64_t nodes = 0;
    std::vector<ZoneStatus> zones; ///< ordered by region and zone

    /// True if every zone is known and \p ticket or a later one is in force on each of its nodes.
    [[nodiscard]] bool isInForceEverywhere(TicketNumber ticket) const;
    /// Number of nodes in known zones where \p ticket or a later one is certainly in force.
    [[nodiscard]] std::uint64_t nodesInForce(TicketNumber ticket) const;
    [[nodiscard]] std::uint64_t unknownZones() const;
};

/// Parses the response of a node; a zone that lacks a number is treated as unknown.
/// \throws ResultError with NodeAnswerInvalid if there is no list of zones.
FleetStatus parseFleetStatus(const nlohmann::json &response);

/// Formats a table with one line for each zone and a last line for the fleet.
std::string formatFleet(const FleetStatus &fleet);

/// Formats one line with the number of nodes where \p ticket is in force.
std::string formatProgress(const FleetStatus &fleet, TicketNumber ticket);

} // namespace jasminemast
