// This node's share of the calls that the configuration service grants to the whole fleet.
#pragma once

#include "jasminemast/support/clock.h"

namespace jasminemast
{

/// A token bucket. Invariant: burst plus rate is one node's share, so that in any one second the whole fleet together
/// stays under the limit, even when every node calls as often as it may.
class ServiceBudget
{
public:
    /// \param callsPerSecond limit of the whole fleet
    /// \param fleetSize number of nodes that share it
    ServiceBudget(double callsPerSecond, std::size_t fleetSize);

    /// Follows a change of the fleet's size.
    void resize(std::size_t fleetSize);
    /// Takes one call; false when none is left.
    bool take(TimePoint now);

private:
    double m_callsPerSecond;
    double m_burst = 1.0;
    double m_rate = 0.0; ///< calls a second
    double m_tokens = 1.0;
    TimePoint m_refilledAt;
};

} // namespace jasminemast
