// What the call side of a node sees of configuration and fleet; implemented by the control side.
#pragma once

#include "jasminemast/config/state.h"
#include "jasminemast/settings/nodesettings.h"

#include <functional>

namespace jasminemast
{

/// What is known of another host.
enum class HostState {
    Live,
    Leaving, ///< finishes its work and takes no more
    Dead, ///< does not answer
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
    /// Null when the host is not known. Valid until the loop next runs.
    [[nodiscard]] virtual const HostView *findHost(const HostId &host) const = 0;
};

/// The configuration in force on this node.
class ConfigView
{
public:
    virtual ~ConfigView() = default;
    [[nodiscard]] virtual StatePtr current() const = 0;
    /// Calls \p done with true as soon as ticket \p number or a later one is in force, with false at \p deadline.
    virtual void whenReached(TicketNumber number, TimePoint deadline, std::function<void(bool)> done) = 0;
};

} // namespace jasminemast
