// Faults that are injected into a fleet and cleared again, and the guarantees that must hold meanwhile.
#pragma once

#include "fakefleet.h"

#include <functional>
#include <ostream>
#include <string>
#include <vector>

namespace jasminemast
{

/// A fault to be injected into a fleet.
struct Fault
{
    using Action = std::function<void(FakeFleet &)>;
    using NodeFilter = std::function<bool(const FakeFleet &, std::size_t node)>;

    std::string name;
    Action inject;
    Action clear;
    /// Nodes that must receive tickets during the fault. Null: none.
    NodeFilter reachable;
};

std::ostream &operator<<(std::ostream &out, const Fault &fault);

/// Duration of a fault after its check of reachable nodes.
constexpr Milliseconds FaultDuration {8000};
constexpr Milliseconds MaxReachableDelay {2000};
constexpr Milliseconds MaxRecoveryTime {6000};

/// Settings of the two example configurations that are shipped.
std::vector<SpreadSettings> profiles();

/// Injects all of \p faults at once, accepts tickets meanwhile, clears the faults, and expects that
/// - no node goes back to an older ticket or runs a state that was not accepted (guarantee 1),
/// - reachable nodes apply a ticket accepted during the fault within MaxReachableDelay,
/// - all live nodes apply the last ticket within MaxRecoveryTime after the faults are cleared, and keep it
///   (guarantee 9).
void expectConsistencyAndConvergence(const std::vector<Fault> &faults, std::uint64_t seed);

bool everyNode(const FakeFleet &fleet, std::size_t node);

} // namespace jasminemast
