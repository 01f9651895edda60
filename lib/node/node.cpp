// Connects the components of a node.
#include "jasminemast/node/node.h"

#include "jasminemast/call/requestupload.h"
#include "jasminemast/support/events.h"

#include <sys/resource.h>

#include <algorithm>
#include <climits>
#include <csignal>
#include <random>

namespace jasminemast
{

namespace
{

constexpr Milliseconds DrainCheckInterval {20};
/// After a shorter pause, the platform has not closed its connections yet.
constexpr Milliseconds MinPauseForReread {1'500};
constexpr Milliseconds PauseCheckInterval {100};
/// How often the settings file is checked for changes without a signal.
constexpr Milliseconds SettingsCheckInterval {1'000};

Incarnation makeIncarnation(const Clock &clock)
{
    const auto sinceEpoch = clock.wallNow().time_since_epoch();
    return Incarnation(static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(sinceEpoch).count()));
}

/// Half of the descriptors that the process may open are left for links, targets and files.
unsigned maxCallerConnections()
{
    constexpr rlim_t MinDescriptors = 128;
    rlimit limit {};
    const bool isKnown = ::getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY;
    return isKnown ? static_cast<unsigned>(std::max(limit.rlim_cur, MinDescriptors) / 2) : UINT_MAX;
}

HttpServerLimits makeCallerServerLimits(const NodeSettings &settings, const RequestLimits &requestLimits)
{
    HttpServerLimits limits;
    limits.maxBodyBytes = settings.calls.maxRequestBytes;
    limits.maxCollectedBytes = UploadLimits::CollectedBytes;
    limits.uploadTimeout = settings.calls.uploadTimeout;
    limits.maxConnections = std::min(limits.maxConnections, maxCallerConnections());
    if (requestLimits.maxBodyBytes > 0) {
        limits.maxBodyBytes = std::min(limits.maxBodyBytes, requestLimits.maxBodyBytes);
    }
    if (requestLimits.maxHeaderBytes > 0) {
        limits.maxHeadBytes = requestLimits.maxHeaderBytes;
    }
    if (requestLimits.headerTimeout.count() > 0) {
        limits.headTimeout = requestLimits.headerTimeout;
    }
    if (requestLimits.idleTimeout.count() > 0) {
        limits.idleTimeout = requestLimits.idleTimeout;
    }
    return limits;
}

bool isReplyFrame(CallFrame type)
{
    return type == CallFrame::Refused || type == CallFrame::Head || type == CallFrame::Data || type == CallFrame::End
        || type == CallFrame::FenceReply || type == CallFrame::Consumed;
}

} // namespace

Node::Node(Loop &loop, const Clock &clock, NodeSettings settings, const ControlPlaneFactory &makeControl)
    : m_loop(loop)
    , m_clock(clock)
    , m_settings(std::move(settings))
    , m_terminate(loop, SIGTERM, [this](Duration age) { beginDrain(age); })
    , m_interrupt(loop, SIGINT, [this](Duration age) { beginDrain(age); })
    , m_hangup(loop, SIGHUP, [this](Duration /*age*/) { reload(); })
    , m_settingsTimer(loop, [this] { reloadIfChanged(); })
    , m_incarnation(makeIncarnation(clock))
    , m_random(std::random_device {}())
    , m_pauseDetector(PauseDetectorLimits {}, clock.now())
    , m_metrics(clock)
    , m_memory(MemoryLimits::forMachine(m_settings.memory.limit()))
    , m_links(loop, clock, LinkIdentity {m_settings.self.host, m_incarnation},
              SocketAddress {m_settings.self.address, m_settings.linkPort}, m_settings.links, linkHandlers())
    , m_controlPlane(makeControl(ControlContext {loop, clock, m_settings, m_incarnation, m_links, m_metrics}))
    , m_control(*m_controlPlane)
    , m_targetProxy(
          loop, clock, m_control, m_control,
          TargetProxyIdentity {m_settings.self.host, m_incarnation, m_settings.targetAddress, m_settings.self.zone},
          m_settings.calls, m_metrics, m_memory,
          [this](const EndpointId &endpoint, bool leaving) { announce(endpoint, leaving); },
          [this] { return m_links.queuedBytes(); })
    , m_callServer(m_targetProxy, clock, m_pauseDetector, m_settings.calls.maxRequestBytes, m_memory)
    , m_callClient(loop)
    , m_entryProxy(EntryContext {loop, clock, m_pauseDetector, m_control, m_control, m_targetProxy, m_links,
                                 m_callClient, m_metrics},
                   m_settings, m_incarnation, m_random.nextBelow(UINT64_MAX))
    , m_callerServer(
          loop, SocketAddress {m_settings.self.address, m_settings.callerPort},
          makeCallerServerLimits(m_settings, m_requestLimits),
          [this](const std::shared_ptr<HttpExchange> &exchange) {
              detectPause();
              m_entryProxy.handle(exchange);
          },
          [this](ResultCode code) {
              m_metrics.count(Counter::InputRefused, code);
              logEvent(Event::CallRefused, {{"code", std::to_string(number(code))}});
          },
          HttpServerMemory {&m_memory,
                            [this](const EvictedConnection &connection) {
                                onEvicted(connection);
                            }})
    , m_operatorApi(loop, clock, m_settings, m_control, m_metrics, [this] { updateGauges(); })
    , m_drainTimer(loop, [this] { checkDrained(); })
    , m_pauseTimer(loop, [this] {
        detectPause();
        updateRequestLimits();
    })
{
    m_pauseTimer.startRepeating(PauseCheckInterval);
    m_callServer.setTicketObserver(
        [this](const HostId &peer, TicketNumber number) { m_control.observeTicket(peer, number); });
}

void Node::followSettings(const std::string &path)
{
    m_settingsPath = path;
    std::error_code ignored; // an unreadable file has no modification time; it is read once it has one
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
        const NodeSettings newSettings = readNodeSettings(m_settingsPath);
        m_settings.applyReloadable(newSettings);
    } catch (const ResultError &error) {
        logEvent(Event::SettingsRefused, {{"code", std::to_string(number(error.code()))}, {"detail", error.detail()}});
        return;
    }
    m_entryProxy.applySettings(m_settings);
    m_memory.setLimits(MemoryLimits::forMachine(m_settings.memory.limit()));
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
    logEvent(Event::NodeStopped,
             {{"host", m_settings.self.host.value()},
              {"queued", std::to_string(m_links.queuedBytes())},
              {"unacknowledged", std::to_string(m_links.unacknowledgedBytes())},
              {"openLinks", std::to_string(m_links.finishingLinks())}});
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
            if (m_drain && m_drain->isExitAnnounced()) {
                announceExit(link);
            }
            m_entryProxy.onLinkUp(link);
        }
    };
    handlers.onDown = [this](const std::shared_ptr<Link> &link, ResultCode reason) {
        onLinkDown(link, reason);
    };
    return handlers;
}

void Node::onFrame(const std::shared_ptr<Link> &link, FrameType type, std::string_view payload)
{
    detectPause();
    if (isControlFrame(type)) {
        m_control.onFrame(link, static_cast<ControlFrame>(type), payload);
        return;
    }
    const auto frame = static_cast<CallFrame>(type);
    if (frame == CallFrame::Announce) {
        const auto message = decodeMessage<AnnounceMessage>(payload, ResultCode::FrameMalformed);
        if (message.endpoint.value().empty()) {
            link->expediteBulk();
        } else {
            m_entryProxy.onAnnounced(message);
        }
        return;
    }
    if (isReplyFrame(frame)) {
        m_callClient.onFrame(link, frame, payload);
        return;
    }
    m_callServer.onFrame(link, frame, payload);
}

void Node::onLinkDown(const std::shared_ptr<Link> &link, ResultCode reason)
{
    m_metrics.count(Counter::LinksDown, reason);
    logEvent(Event::LinkDown,
             {{"peer", link->peer().host.value()},
              {"reason", std::to_string(number(reason))},
              {"error", std::to_string(link->socketError())}});
    m_control.onLinkDown(link);
    m_callClient.onLinkDown(link);
    m_callServer.onLinkDown(link);
    if (link->isOutgoing()) {
        m_entryProxy.onLinkDown(link, reason);
    }
}

void Node::beginDrain(Duration signalAge)
{
    if (m_drain) {
        return;
    }
    logEvent(Event::NodeDraining, {{"host", m_settings.self.host.value()}});
    m_drain.emplace(m_settings.drain, m_clock.now() - signalAge);
    m_control.beginDrain();
    m_entryProxy.setAdmission([this](CallForecast call) {
        call.backlog = linkBacklog();
        return m_drain->acceptsCall(call, m_clock.now());
    });
    if (m_drain->hasExitTime()) {
        m_entryProxy.limitDeadlines(m_drain->latestDeadline(), m_drain->withdrawTimeout());
    }
    m_drainTimer.startRepeating(DrainCheckInterval);
    checkDrained();
}

void Node::announceExit(const std::shared_ptr<Link> &link)
{
    link->send(static_cast<FrameType>(CallFrame::Announce), encodeMessage(AnnounceMessage {EndpointId(), true}));
}

Duration Node::linkBacklog() const
{
    const double rate = m_settings.links.rate.value();
    if (rate <= 0) {
        return Duration::zero();
    }
    const auto bytes = static_cast<double>(m_links.queuedBytes() + m_callerServer.unsentBytes());
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(bytes / rate));
}

DrainWork Node::drainWork() const
{
    return {m_entryProxy.openCalls(),
            m_callerServer.open(),
            m_callerServer.connections(),
            m_targetProxy.core().accepted(),
            m_links.hasPending(),
            m_links.finishingLinks(),
            std::max(m_entryProxy.lastActivity(), m_targetProxy.lastArrival())};
}

void Node::checkDrained()
{
    for (const DrainStep step : m_drain->tick(drainWork(), m_clock.now())) {
        perform(step);
    }
}

void Node::perform(DrainStep step)
{
    switch (step) {
    case DrainStep::AnnounceExit:
        m_links.forEachUp(&Node::announceExit);
        break;
    case DrainStep::DrainTarget:
        m_targetProxy.beginDrain();
        break;
    case DrainStep::DrainEntry:
        m_entryProxy.beginDrain();
        break;
    case DrainStep::StopAccepting:
        m_callerServer.stopAccepting();
        break;
    case DrainStep::CloseIdleConnections:
        m_callerServer.closeIdleConnections();
        break;
    case DrainStep::RefuseQueued:
        m_targetProxy.refuseQueued();
        break;
    case DrainStep::StopAcceptingLinks:
        m_targetProxy.beginDrain();
        m_links.stopAccepting();
        break;
    case DrainStep::FinishLinks:
        m_links.finishSending();
        break;
    case DrainStep::Exit:
        m_entryProxy.logOpenCalls();
        m_loop.stop();
        break;
    }
}

void Node::updateRequestLimits()
{
    const RequestLimits &requestLimits = m_control.current()->requestLimits;
    if (requestLimits != m_requestLimits) {
        m_requestLimits = requestLimits;
        m_callerServer.setLimits(makeCallerServerLimits(m_settings, m_requestLimits));
    }
}

void Node::updateGauges()
{
    m_metrics.set(Gauge::TicketInForce, static_cast<double>(m_control.current()->number.value()));
    m_metrics.set(Gauge::Ready, m_control.isReady() ? 1 : 0);
    m_metrics.set(Gauge::Reader, m_control.isReader() ? 1 : 0);
    m_metrics.set(Gauge::RecordsAge, std::chrono::duration<double>(m_control.recordsAge(m_clock.now())).count());
    m_metrics.set(Gauge::LinksOpen, static_cast<double>(m_links.size()));
    m_metrics.set(Gauge::CallsOpen, static_cast<double>(m_entryProxy.openCalls()));
    m_metrics.set(Gauge::AttemptsRunning, static_cast<double>(m_targetProxy.core().accepted()));
    const auto toDouble = [](ByteCount bytes) {
        return static_cast<double>(bytes.value());
    };
    m_metrics.set(Gauge::ConnectionMemory, toDouble(m_memory.used(MemoryUse::Connections)));
    m_metrics.set(Gauge::RequestMemory, toDouble(m_memory.used(MemoryUse::Requests)));
    m_metrics.set(Gauge::UploadMemory, toDouble(m_memory.used(MemoryUse::Uploads)));
    m_metrics.set(Gauge::MemoryLimit,
                  toDouble(m_memory.limit(MemoryUse::Connections) + m_memory.limit(MemoryUse::Requests)
                           + m_memory.limit(MemoryUse::Uploads)));
}

void Node::detectPause()
{
    if (const auto pause = m_pauseDetector.observe(m_clock.now())) {
        const auto length = std::chrono::duration_cast<Milliseconds>(*pause);
        logEvent(Event::PauseEnded, {{"ms", std::to_string(length.count())}});
        if (*pause >= MinPauseForReread) {
            m_control.onPause();
        }
    }
}

void Node::onEvicted(const EvictedConnection &connection)
{
    m_metrics.count(Counter::MemoryEvictions, ResultCode::MemoryShort);
    logEvent(Event::MemoryEvicted,
             {{"phase", connection.isIdle ? "idle" : "incomplete"}, {"bytes", std::to_string(connection.bodyBytes)}});
}

void Node::announce(const EndpointId &endpoint, bool leaving)
{
    const std::string payload = encodeMessage(AnnounceMessage {endpoint, leaving});
    m_entryProxy.onAnnounced(AnnounceMessage {endpoint, leaving});
    m_links.forEachUp([&payload](const std::shared_ptr<Link> &link) {
        link->send(static_cast<FrameType>(CallFrame::Announce), payload);
    });
}

} // namespace jasminemast
