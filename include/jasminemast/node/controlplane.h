// The side of a node that knows configuration and fleet, however it learns them.
#pragma once

#include "jasminemast/config/logbook.h"
#include "jasminemast/net/linkpool.h"
#include "jasminemast/node/pulllinks.h"
#include "jasminemast/node/views.h"
#include "jasminemast/spread/spreadevents.h"
#include "jasminemast/support/metrics.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <vector>

namespace jasminemast
{

/// One part of a process; owned by Node.
class ControlPlane : public ConfigView, public FleetView
{
public:
    virtual void start() = 0;
    /// Tells peers that this process takes no more work.
    virtual void beginDrain() = 0;
    /// The settings that the plane was made with have changed.
    virtual void onSettings() = 0;
    /// The process slept for a while: what it knows may be old.
    virtual void onPause() = 0;
    /// A message of \p peer named \p number.
    virtual void observeNumber(const HostId &peer, TicketNumber number) = 0;
    /// \throws ResultError with FrameMalformed, upon which the link is to be closed.
    virtual void onFrame(const std::shared_ptr<Link> &link, ControlFrame type, std::string_view payload) = 0;
    virtual void onLinkDown(const std::shared_ptr<Link> &link) = 0;

    [[nodiscard]] virtual Readiness readiness() const = 0;
    [[nodiscard]] bool isReady() const
    {
        return readiness() != Readiness::Joining;
    }
    [[nodiscard]] virtual const Logbook &logbook() const = 0;
    /// The highest number known to be accepted.
    [[nodiscard]] virtual TicketNumber acceptedNumber() const = 0;
    /// True while this node reads the platform on behalf of others.
    [[nodiscard]] virtual bool isReader() const = 0;
    /// What each availability zone runs, for operators.
    [[nodiscard]] virtual nlohmann::json zones(TimePoint now) const = 0;
};

/// What a control plane is made from; all outlive it.
struct ControlContext
{
    Loop &loop;
    const Clock &clock;
    const NodeSettings &settings;
    Incarnation incarnation;
    LinkPool &links;
    Metrics &metrics;
};

using ControlPlaneFactory = std::function<std::unique_ptr<ControlPlane>(const ControlContext &)>;

} // namespace jasminemast
