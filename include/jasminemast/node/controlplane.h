// Interface of the part of a node that obtains configuration and hosts.
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

/// Provides configuration and hosts to the call path; owned by Node.
class ControlPlane : public ConfigView, public FleetView
{
public:
    virtual void start() = 0;
    /// Signals, to peers or through readiness(), that this node accepts no new calls.
    virtual void beginDrain() = 0;
    /// Called after the settings in ControlContext have changed.
    virtual void onSettings() = 0;
    /// Called after the process was suspended: configuration and hosts may be out of date.
    virtual void onPause() = 0;
    /// Called when a message from \p peer names ticket \p number.
    virtual void observeTicket(const HostId &peer, TicketNumber number) = 0;
    /// \throws ResultError with FrameMalformed, upon which the link is to be closed.
    virtual void onFrame(const std::shared_ptr<Link> &link, ControlFrame type, std::string_view payload) = 0;
    virtual void onLinkDown(const std::shared_ptr<Link> &link) = 0;

    [[nodiscard]] virtual Readiness readiness() const = 0;
    [[nodiscard]] bool isReady() const
    {
        return readiness() != Readiness::Joining;
    }
    [[nodiscard]] virtual const Logbook &logbook() const = 0;
    /// Number of the highest ticket known to be accepted.
    [[nodiscard]] virtual TicketNumber acceptedNumber() const = 0;
    /// True while this node reads configuration from the platform itself.
    [[nodiscard]] virtual bool isReader() const = 0;
    /// Where the records of a registry are read, for operators; null without a registry.
    [[nodiscard]] virtual nlohmann::json upstream(TimePoint /*now*/) const
    {
        return nullptr;
    }
    /// Time since the records in force were last confirmed; 0 without a registry.
    [[nodiscard]] virtual Duration recordsAge(TimePoint /*now*/) const
    {
        return Duration(0);
    }
    /// Status of each availability zone, for operators.
    [[nodiscard]] virtual nlohmann::json zones(TimePoint now) const = 0;
};

/// Dependencies of a control plane; all outlive it.
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
