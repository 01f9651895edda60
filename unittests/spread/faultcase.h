// One way to harm a fleet and to heal it again, and the promises that must hold throughout.
#pragma once

#include "fakefleet.h"

#include <functional>
#include <ostream>
#include <string>
#include <vector>

namespace jasminemast
{

/// A fault of the table of a test.
struct Fault
{
    using Step = std::function<void(FakeFleet &)>;
    using Selection = std::function<bool(const FakeFleet &, std::size_t node)>;

    std::string name;
    Step strike;
    Step heal;
    /// Nodes that can be reached all along; null: none is expected to learn of a ticket before the fault heals.
    Selection reachable;
};

std::ostream &operator<<(std::ostream &out, const Fault &fault);

/// How long a fault lasts, and the bounds of the issue.
constexpr Milliseconds FaultSpan {8000};
constexpr Milliseconds ReachableBound {2000};
constexpr Milliseconds HealBound {6000};

/// Settings of both shipped profiles.
std::vector<SpreadSettings> profiles();

/// Strikes with all of \p faults at once while tickets go on being accepted, heals, and expects that
/// - no node ever went back or ran a state that was not accepted (promise 1),
/// - nodes reachable all along had a ticket accepted during the fault within ReachableBound,
/// - every live node had the last ticket within HealBound after the fault healed, and kept it (promise 9).
void expectPromises(const std::vector<Fault> &faults, std::uint64_t seed);

bool everyNode(const FakeFleet &fleet, std::size_t node);

} // namespace jasminemast
