// Wiring of one node's tasks.
#include "jasminemast/node/node.h"

#include "jasminemast/support/events.h"

#include <algorithm>
#include <csignal>
#include <random>

namespace jasminemast
{

namespace
{

constexpr Milliseconds DrainCheckInterval {20};
/// Without work for this long, a draining node exits; the next request of a caller would have come by then.
constexpr Milliseconds DrainQuietTime {500};
/// After a shorter pause, connections to the platform have not been given up by the other end.
constexpr Milliseconds RereadAfterPause {1'500};
constexpr Milliseconds PauseCheckInterval {100};
/// The settings file is looked at this often, for changes that no signal tells of.
constexpr Milliseconds SettingsCheckInterval {1'000};

Incarnation startTimeAsIncarnation(const Clock &clock)
{
    const auto sinceEpoch = clock.wallNow().time_since_epoch();
    return Incarnation(static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(sinceEpoch).count()));
}

HttpServerLimits callerLimits(const NodeSettings &settings, const RequestLimits &bounds)
{
    HttpServerLimits limits;
    limits.maxBodyBytes = settings.calls.maxRequestBytes;
    if (bounds.maxBodyBytes > 0) {
        limits.maxBodyBytes = std::min(limits.maxBodyBytes, bounds.maxBodyBytes);
    }
    if (bounds.maxHeaderBytes > 0) {
        limits.maxHeadBytes = bounds.maxHeaderBytes;
    }
    if (bounds.headerTimeout.count() > 0) {
        limits.headTimeout = bounds.headerTimeout;
    }
    if (bounds.idleTimeout.count() > 0) {
        limits.idleTimeout = bounds.idleTimeout;
    }
    return limits;
}

bool isAnswerFrame(CallFrame type)
{
    return type == CallFrame::Refused || type == CallFrame::Head || type == CallFrame::Data || type == CallFrame::End
        || type == CallFrame::FenceReply;
}

} // namespace

Node::Node(Loop &loop, const Clock &clock, NodeSettings settings, const ControlPlaneFactory &makeControl)
    : m_loop(loop)
    , m_clock(clock)
    , m_settings(std::move(settings))
    , m_terminate(loop, SIGTERM, [this] { beginDrain(); })
    , m_interrupt(loop, SIGINT, [this] { beginDrain(); })
    , m_hangUp(loop, SIGHUP, [this] { reload(); })
    , m_settingsTimer(loop, [this] { reloadIfChanged(); })
    , m_incarnation(startTimeAsIncarnation(clock))
    , m_random(std::random_device {}())
    , m_pauseGuard(PauseDetectorLimits {}, clock.now())
    , m_metrics(clock)
    , m_links(loop, clock, LinkIdentity {m_settings.self.host, m_incarnation},
              SocketAddress {m_settings.self.address, m_settings.linkPort}, m_settings.links, linkHandlers())
    , m_controlPlane(makeControl(ControlContext {loop, clock, m_settings, m_incarnation, m_links, m_metrics}))
    , m_control(*m_controlPlane)
    , m_target(
          loop, clock, m_control, m_control,
          TargetSideIdentity {m_settings.self.host, m_incarnation, m_settings.targetAddress}, m_settings.calls,
          m_metrics, [this](const EndpointId &endpoint, bool leaving) { announce(endpoint, leaving); },
          [this] { return m_links.queuedBytes(); })
    , m_callServer(m_target, clock, m_pauseGuard, m_settings.calls.maxRequestBytes)
    , m_entry(
          EntryContext {loop, clock, m_pauseGuard, m_control, m_control, m_target, m_links, m_callClient, m_metrics},
          m_settings, m_incarnation, m_random.nextBelow(UINT64_MAX))
    , m_callerServer(
          loop, SocketAddress {m_settings.self.address, m_settings.callerPort},
          callerLimits(m_settings, m_callerBounds),
          [this](const std::shared_ptr<HttpExchange> &exchange) {
              observeClock();
              m_entry.handle(exchange);
          },
          [this](ResultCode code) {
              m_metrics.count(Counter::InputRefused, code);
              logEvent(Event::CallRefused, {{"code", std::to_string(number(code))}});
          })
    , m_operators(loop, clock, m_settings, m_control, m_metrics, [this] { updateGauges(); })
    , m_drainTimer(loop, [this] { checkDrained(); })
    , m_pauseTimer(loop, [this] {
        observeClock();
        followCallerBounds();
    })
{
    m_pauseTimer.startRepeating(PauseCheckInterval);
    m_callServer.setNumberObserver(
        [this](const HostId &peer, TicketNumber number) { m_control.observeNumber(peer, number); });
}

void Node::followSettings(const std::string &path)
{
    m_settingsPath = path;
    std::error_code ignored; // a file that cannot be read now has no time of change, and is read once it can
    m_settingsChangedAt = std::filesystem::last_write_time(path, ignored);
    m_settingsTimer.startRepeating(SettingsCheckInterval);
}

void Node::reloadIfChanged()
{
    std::error_code failure;
    const auto changedAt = std::filesystem::last_write_time(m_settingsPath, failure);
    if (!failure && changedAt != m_settingsChangedAt) {
        reload();
    }
}

void Node::reload()
{
    if (m_settingsPath.empty()) {
        return;
    }
    std::error_code ignored; // reading fails below for the same reason
    m_settingsChangedAt = std::filesystem::last_write_time(m_settingsPath, ignored);
    try {
        const NodeSettings changed = readNodeSettings(m_settingsPath);
        m_settings.applyReloadable(changed);
    } catch (const ResultError &error) {
        logEvent(Event::SettingsRefused, {{"code", std::to_string(number(error.code()))}, {"detail", error.detail()}});
        return;
    }
    m_entry.applySettings(m_settings);
    m_control.onSettings();
    logEvent(Event::SettingsReloaded, {{"host", m_settings.self.host.value()}});
}

void Node::run()
{
    m_control.start();
    logEvent(Event::NodeStarted,
             {{"host", m_settings.self.host.value()},
              {"zone", m_settings.self.zone.value()},
              {"incarnation", std::to_string(m_incarnation.value())}});
    m_loop.run();
    logEvent(Event::NodeStopped, {{"host", m_settings.self.host.value()}});
}

Link::Handlers Node::linkHandlers()
{
    Link::Handlers handlers;
    handlers.onFrame = [this](const std::shared_ptr<Link> &link, FrameType type, std::string_view payload) {
        onFrame(link, type, payload);
    };
    handlers.onUp = [this](const std::shared_ptr<Link> &link) {
        m_metrics.count(Counter::LinksUp);
        logEvent(Event::LinkUp, {{"peer", link->peer().host.value()}});
        if (link->isOutgoing()) {
            m_entry.onLinkUp(link);
        }
    };
    handlers.onDown = [this](const std::shared_ptr<Link> &link, ResultCode reason) {
        onLinkDown(link, reason);
    };
    return handlers;
}

void Node::onFrame(const std::shared_ptr<Link> &link, FrameType type, std::string_view payload)
{
    observeClock();
    if (isControlFrame(type)) {
        m_control.onFrame(link, static_cast<ControlFrame>(type), payload);
        return;
    }
    const auto frame = static_cast<CallFrame>(type);
    if (frame == CallFrame::Announce) {
        m_entry.onAnnounced(decodeMessage<AnnounceMessage>(payload, ResultCode::FrameMalformed));
        return;
    }
    if (isAnswerFrame(frame)) {
        m_callClient.onFrame(link, frame, payload);
        return;
    }
    m_callServer.onFrame(link, frame, payload);
}

void Node::onLinkDown(const std::shared_ptr<Link> &link, ResultCode reason)
{
    m_metrics.count(Counter::LinksDown, reason);
    logEvent(Event::LinkDown, {{"peer", link->peer().host.value()}, {"reason", std::to_string(number(reason))}});
    m_control.onLinkDown(link);
    m_callClient.onLinkDown(link);
    m_callServer.onLinkDown(link);
    if (link->isOutgoing()) {
        m_entry.onLinkDown(link, reason);
    }
}

void Node::beginDrain()
{
    logEvent(Event::NodeDraining, {{"host", m_settings.self.host.value()}});
    m_drainBegan = m_clock.now();
    m_control.beginDrain();
    m_drainTimer.startRepeating(DrainCheckInterval);
    checkDrained();
}

void Node::checkDrained()
{
    const Duration since = m_clock.now() - m_drainBegan;
    const DrainSettings &drain = m_settings.drain;
    if (drain.grace.count() > 0 && since >= drain.grace) {
        m_loop.stop();
        return;
    }
    if (since >= drain.serve) {
        m_target.beginDrain();
    }
    // Callers that have not yet heard that the node leaves are served as before.
    if (since + DrainQuietTime < drain.linger) {
        return;
    }
    m_entry.beginDrain();
    if (since < drain.linger && drain.grace.count() > 0) {
        return;
    }
    m_callerServer.stopAccepting();
    if (drain.grace.count() > 0) {
        // A caller that uses a kept connection at the last moment would be cut off.
        m_callerServer.closeIdleConnections();
    }
    const bool busy = m_entry.open() > 0 || m_target.core().accepted() > 0 || m_callerServer.open() > 0;
    if (busy || m_links.hasPending() || since < drain.linger) {
        return;
    }
    // With a bound on its leaving, a node has lingered for as long as it may.
    const TimePoint last = std::max({m_drainBegan, m_entry.lastActivity(), m_target.lastArrival()});
    if (drain.grace.count() > 0 || m_clock.now() - last >= DrainQuietTime) {
        m_loop.stop();
    }
}

void Node::followCallerBounds()
{
    const RequestLimits &bounds = m_control.current()->requestLimits;
    if (bounds != m_callerBounds) {
        m_callerBounds = bounds;
        m_callerServer.setLimits(callerLimits(m_settings, m_callerBounds));
    }
}

void Node::updateGauges()
{
    m_metrics.set(Gauge::TicketInForce, static_cast<double>(m_control.current()->number.value()));
    m_metrics.set(Gauge::Ready, m_control.isReady() ? 1 : 0);
    m_metrics.set(Gauge::LinksOpen, static_cast<double>(m_links.size()));
    m_metrics.set(Gauge::CallsOpen, static_cast<double>(m_entry.open()));
    m_metrics.set(Gauge::AttemptsRunning, static_cast<double>(m_target.core().accepted()));
}

void Node::observeClock()
{
    if (const auto pause = m_pauseGuard.observe(m_clock.now())) {
        const auto length = std::chrono::duration_cast<Milliseconds>(*pause);
        logEvent(Event::PauseEnded, {{"ms", std::to_string(length.count())}});
        if (*pause >= RereadAfterPause) {
            m_control.onPause();
        }
    }
}

void Node::announce(const EndpointId &endpoint, bool leaving)
{
    const std::string payload = encodeMessage(AnnounceMessage {endpoint, leaving});
    m_entry.onAnnounced(AnnounceMessage {endpoint, leaving});
    m_links.forEachUp([&payload](const std::shared_ptr<Link> &link) {
        link->send(static_cast<FrameType>(CallFrame::Announce), payload);
    });
}

} // namespace jasminemast
