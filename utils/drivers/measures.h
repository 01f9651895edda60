// The measurements of utils/measure. Each function measures once and returns its figures.
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
    unsigned tickets = 5; ///< published in a convergence measurement
    unsigned ticketBytes = 40'000;
    unsigned seconds = 10; ///< length of a control measurement
    unsigned calls = 4'000; ///< in each load step of a calls measurement
    std::uint64_t seed = 1;
};

/// Six zones in three regions connected by the zone link, with the control settings of the profile.
Topology measureTopology(const MeasureSettings &settings, const std::string &repository);

/// Ticket content of about \p bytes bytes, made of random endpoints drawn from \p seed.
nlohmann::json paddedTicket(const Topology &topology, unsigned bytes, std::uint64_t seed);

/// Measures the time from a ticket's acceptance until each node applied it, under one of the faults none, kill-tenth,
/// pause-tenth, partition and source-down.
nlohmann::json measureConvergence(const MeasureSettings &settings, Fleet &fleet);

/// Measures bytes between zones, CPU time, memory and configuration service requests of a fleet without calls or
/// tickets.
nlohmann::json measureControl(const MeasureSettings &settings, Fleet &fleet);

/// Measures the latency that two nodes add to a call, at several load levels of the target.
nlohmann::json measureCalls(const MeasureSettings &settings, Fleet &fleet);

/// CPU time (user and system) that process \p id has used.
double cpuSeconds(pid_t id);
/// Bytes that the loopback interface has received since the machine started, headers included.
std::uint64_t loopbackBytes();
/// Resident memory of process \p id in bytes.
std::uint64_t residentBytes(pid_t id);

} // namespace jasminemast::harness
