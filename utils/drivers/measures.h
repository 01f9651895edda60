// The measurements of utils/measure. Each returns the figures of one run.
#pragma once

#include "harness/fleet.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace jasminemast::harness
{

struct MeasureSettings
{
    unsigned nodes = 24; ///< over the whole fleet
    std::string profile = "consorzio"; ///< name of a file in examples/
    std::string fault = "none";
    unsigned tickets = 5; ///< published in a convergence run
    unsigned ticketBytes = 40'000;
    unsigned seconds = 10; ///< length of a control run
    unsigned calls = 4'000; ///< in each step of a calls run
    std::uint64_t seed = 1;
};

/// Six zones in three regions behind the zone link, with the control settings of the profile.
Topology measureTopology(const MeasureSettings &settings, const std::string &repository);

/// An endpoints object of about \p bytes bytes whose content depends on \p seed.
nlohmann::json paddedTicket(const Topology &topology, unsigned bytes, std::uint64_t seed);

/// Time from acceptance until each node applied a ticket; faults: none, kill-tenth, pause-tenth, partition,
/// source-down.
nlohmann::json measureConvergence(const MeasureSettings &settings, Fleet &fleet);

/// Bytes between zones, processor time, memory and service calls of a quiet fleet.
nlohmann::json measureControl(const MeasureSettings &settings, Fleet &fleet);

/// Time that two nodes add to a call, at several shares of the target's slots.
nlohmann::json measureCalls(const MeasureSettings &settings, Fleet &fleet);

/// Processor seconds (user and system) that process \p id has used.
double processorSeconds(pid_t id);
/// Bytes that the loopback interface has carried since the machine started, headers included.
std::uint64_t loopbackBytes();
/// Resident memory of process \p id in bytes.
std::uint64_t residentBytes(pid_t id);

} // namespace jasminemast::harness
