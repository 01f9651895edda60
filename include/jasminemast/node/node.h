// One node: connects control plane and call path on one event loop.
#pragma once

#include "jasminemast/call/pausedetector.h"
#include "jasminemast/node/callclient.h"
#include "jasminemast/node/callserver.h"
#include "jasminemast/node/controlplane.h"
#include "jasminemast/node/entryproxy.h"
#include "jasminemast/node/nodedrain.h"
#include "jasminemast/node/operatorapi.h"
#include "jasminemast/node/targetproxy.h"
#include "jasminemast/support/metrics.h"

#include <filesystem>
#include <optional>
#include <string>

namespace jasminemast
{

/// All components of a node process.
class Node
{
public:
    /// Opens all sockets.
    /// \param makeControl called once, by the constructor
    /// \throws ResultError with BindFailed.
    Node(Loop &loop, const Clock &clock, NodeSettings settings, const ControlPlaneFactory &makeControl);

    /// Reloads the settings file at \p path upon SIGHUP and when its modification time changes.
    void followSettings(const std::string &path);
    /// Runs until SIGTERM or SIGINT, and then until the accepted calls are finished.
    void run();

private:
    Link::Handlers linkHandlers();
    void onFrame(const std::shared_ptr<Link> &link, FrameType type, std::string_view payload);
    void onLinkDown(const std::shared_ptr<Link> &link, ResultCode reason);
    void beginDrain(Duration signalAge);
    void checkDrained();
    void perform(DrainStep step);
    [[nodiscard]] DrainWork drainWork() const;
    /// How long the host's network link takes for the bodies that wait to be sent; zero if its rate is unknown.
    [[nodiscard]] Duration linkBacklog() const;
    /// Has the peer send its responses on \p link first.
    static void announceExit(const std::shared_ptr<Link> &link);
    void detectPause();
    void reloadIfChanged();
    void reload();
    /// Applies the request limits of the configuration to the server for callers.
    void updateRequestLimits();
    /// Updates the gauges before they are read.
    void updateGauges();
    void announce(const EndpointId &endpoint, bool leaving);
    void onEvicted(const EvictedConnection &connection);

    Loop &m_loop;
    const Clock &m_clock;
    NodeSettings m_settings;
    /// Declared before all that accepts work, so that a signal never kills the process while it has accepted work.
    SignalWatcher m_terminate;
    SignalWatcher m_interrupt;
    SignalWatcher m_hangup;
    std::string m_settingsPath; ///< empty: settings are not reloaded
    std::filesystem::file_time_type m_settingsChangedAt;
    Timer m_settingsTimer;
    Incarnation m_incarnation;
    Random m_random;
    PauseDetector m_pauseDetector;
    Metrics m_metrics;
    MemoryBudget m_memory; ///< for what callers and peers send
    LinkPool m_links;
    std::unique_ptr<ControlPlane> m_controlPlane; ///< never null
    ControlPlane &m_control;
    TargetProxy m_targetProxy;
    CallServer m_callServer;
    CallClient m_callClient;
    EntryProxy m_entryProxy;
    RequestLimits m_requestLimits; ///< in use by m_callerServer
    HttpServer m_callerServer; ///< HTTP server for this node's callers
    OperatorApi m_operatorApi;
    Timer m_drainTimer;
    Timer m_pauseTimer;
    std::optional<NodeDrain> m_drain; ///< set once the node drains
};

} // namespace jasminemast
