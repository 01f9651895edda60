// Wiring of one node's tasks.
#include "jasminemast/node/node.h"

#include "jasminemast/support/events.h"

#include <csignal>
#include <random>

namespace jasminemast
{

namespace
{

constexpr Milliseconds DrainCheckInterval {20};

Incarnation startTimeAsIncarnation(const Clock &clock)
{
    const auto sinceEpoch = clock.wallNow().time_since_epoch();
    return Incarnation(static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(sinceEpoch).count()));
}

HttpServerLimits callerLimits(const NodeSettings &settings)
{
    HttpServerLimits limits;
    limits.maxBodyBytes = settings.calls.maxRequestBytes;
    return limits;
}

bool isAnswerFrame(CallFrame type)
{
    return type == CallFrame::Refused || type == CallFrame::Head || type == CallFrame::Data || type == CallFrame::End;
}

} // namespace

Node::Node(Loop &loop, const Clock &clock, NodeSettings settings)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_incarnation(startTimeAsIncarnation(clock))
    , m_random(std::random_device {}())
    , m_control(loop, clock, m_settings)
    , m_target(loop, m_control, m_settings.self.host, m_settings.targetAddress)
    , m_links(loop, clock, LinkIdentity {m_settings.self.host, m_incarnation},
              SocketAddress {m_settings.self.address, m_settings.linkPort}, m_settings.links, linkHandlers())
    , m_callServer(m_target, clock, m_settings.calls.maxRequestBytes)
    , m_callClient(loop, m_links)
    , m_entry(EntryContext {loop, clock, m_random, m_control, m_control, m_target, m_callClient}, m_settings,
              m_incarnation)
    , m_callerServer(
          loop, SocketAddress {m_settings.self.address, m_settings.callerPort}, callerLimits(m_settings),
          [this](const std::shared_ptr<HttpExchange> &exchange) { m_entry.handle(exchange); },
          [](ResultCode code) {
              logEvent(Event::CallRefused, {{"code", std::to_string(number(code))}});
          })
    , m_operators(loop, m_settings, m_control)
    , m_terminate(loop, SIGTERM, [this] { beginDrain(); })
    , m_interrupt(loop, SIGINT, [this] { beginDrain(); })
    , m_drainTimer(loop, [this] { checkDrained(); })
{
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
    handlers.onUp = [](const std::shared_ptr<Link> &link) {
        logEvent(Event::LinkUp, {{"peer", link->peer().host.value()}});
    };
    handlers.onDown = [this](const std::shared_ptr<Link> &link, ResultCode reason) {
        onLinkDown(link, reason);
    };
    return handlers;
}

void Node::onFrame(const std::shared_ptr<Link> &link, FrameType type, std::string_view payload)
{
    const auto frame = static_cast<CallFrame>(type);
    if (isAnswerFrame(frame)) {
        m_callClient.onFrame(link, frame, payload);
        return;
    }
    m_callServer.onFrame(link, frame, payload);
}

void Node::onLinkDown(const std::shared_ptr<Link> &link, ResultCode reason)
{
    logEvent(Event::LinkDown, {{"peer", link->peer().host.value()}, {"reason", std::to_string(number(reason))}});
    m_callClient.onLinkDown(link, reason);
    m_callServer.onLinkDown(link);
}

void Node::beginDrain()
{
    logEvent(Event::NodeDraining, {{"host", m_settings.self.host.value()}});
    m_callerServer.stopAccepting();
    m_drainTimer.startRepeating(DrainCheckInterval);
}

void Node::checkDrained()
{
    if (m_entry.open() == 0 && m_target.running() == 0) {
        m_loop.stop();
    }
}

} // namespace jasminemast
