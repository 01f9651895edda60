// Rate limit of this node's calls to the configuration service: its share of the fleet-wide limit.
#pragma once

#include "jasminemast/support/clock.h"

namespace jasminemast
{

/// A token bucket. Invariant: burst plus rate is one node's share, so that the fleet stays under its limit in any one
/// second even if every node uses its full budget.
class ServiceBudget
{
public:
    /// \param callsPerSecond limit for the fleet
    /// \param fleetSize number of nodes that share it
    ServiceBudget(double callsPerSecond, std::size_t fleetSize);

    /// Adapts the share to a changed fleet size.
    void resize(std::size_t fleetSize);
    /// Takes the token for one call; false when none is left.
    bool take(TimePoint now);

private:
    double m_callsPerSecond;
    double m_burst = 1.0;
    double m_rate = 0.0; ///< calls per second
    double m_tokens = 1.0;
    TimePoint m_refilledAt;
};

} // namespace jasminemast
