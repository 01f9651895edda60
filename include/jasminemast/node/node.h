// One node: joins the control side and the call side on one event loop.
#pragma once

#include "jasminemast/call/pausedetector.h"
#include "jasminemast/node/callclient.h"
#include "jasminemast/node/callserver.h"
#include "jasminemast/node/controlplane.h"
#include "jasminemast/node/entryside.h"
#include "jasminemast/node/operatorapi.h"
#include "jasminemast/node/targetside.h"
#include "jasminemast/support/metrics.h"

#include <filesystem>
#include <string>

namespace jasminemast
{

/// Everything that one process runs.
class Node
{
public:
    /// Opens all sockets.
    /// \throws ResultError with BindFailed.
    /// \p makeControl is called once, from here.
    Node(Loop &loop, const Clock &clock, NodeSettings settings, const ControlPlaneFactory &makeControl);

    /// Takes over what changes in the settings file at \p path, upon SIGHUP and when its time of change moves.
    void followSettings(const std::string &path);
    /// Runs until SIGTERM or SIGINT, and then until the accepted calls are answered.
    void run();

private:
    Link::Handlers linkHandlers();
    void onFrame(const std::shared_ptr<Link> &link, FrameType type, std::string_view payload);
    void onLinkDown(const std::shared_ptr<Link> &link, ResultCode reason);
    void beginDrain();
    void checkDrained();
    void observeClock();
    void reloadIfChanged();
    void reload();
    /// Brings the gauges up to date before they are read.
    void followCallerBounds();
    void updateGauges();
    void announce(const EndpointId &endpoint, bool leaving);

    Loop &m_loop;
    const Clock &m_clock;
    NodeSettings m_settings;
    /// Before everything that accepts work, so that no signal can end the process with work accepted.
    SignalWatcher m_terminate;
    SignalWatcher m_interrupt;
    SignalWatcher m_hangUp;
    std::string m_settingsPath; ///< empty: the settings stay as they are
    std::filesystem::file_time_type m_settingsChangedAt;
    Timer m_settingsTimer;
    Incarnation m_incarnation;
    Random m_random;
    PauseDetector m_pauseGuard;
    Metrics m_metrics;
    LinkPool m_links;
    std::unique_ptr<ControlPlane> m_controlPlane; ///< never null
    ControlPlane &m_control;
    TargetSide m_target;
    CallServer m_callServer;
    CallClient m_callClient;
    EntrySide m_entry;
    RequestLimits m_callerBounds; ///< those that m_callerServer has
    HttpServer m_callerServer;
    OperatorApi m_operators;
    Timer m_drainTimer;
    Timer m_pauseTimer;
    TimePoint m_drainBegan;
};

} // namespace jasminemast
