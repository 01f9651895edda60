// Read access to configuration and hosts for the code that handles calls; implemented by the control plane.
#pragma once

#include "jasminemast/config/state.h"
#include "jasminemast/settings/nodesettings.h"

#include <functional>

namespace jasminemast
{

/// State of a host as this node knows it.
enum class HostState {
    Live,
    Leaving, ///< draining: finishes its calls and accepts no new ones
    Dead, ///< does not respond
};

struct HostView
{
    HostRecord record;
    HostState state = HostState::Live;
};

/// Hosts by id.
class FleetView
{
public:
    virtual ~FleetView() = default;
    /// Null if the host is unknown. Valid until the next iteration of the event loop.
    [[nodiscard]] virtual const HostView *findHost(const HostId &host) const = 0;
};

/// The configuration in force on this node.
class ConfigView
{
public:
    virtual ~ConfigView() = default;
    [[nodiscard]] virtual StatePtr current() const = 0;
    /// Calls \p done with true once ticket \p number or a later one is in force, or with false at \p deadline.
    virtual void whenReached(TicketNumber number, TimePoint deadline, std::function<void(bool)> done) = 0;
};

} // namespace jasminemast
