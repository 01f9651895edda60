// Listening, connecting and supervision of links.
#include "jasminemast/net/linkpool.h"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <numeric>
#include <vector>

namespace jasminemast
{

namespace
{

constexpr int ListenBacklog = 1024;

Descriptor listenOn(const SocketAddress &localAddress)
{
    Descriptor socket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    const int on = 1;
    ::setsockopt(socket.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in system = toSystemAddress(localAddress);
    if (::bind(socket.get(), reinterpret_cast<const sockaddr *>(&system), sizeof(system)) != 0
        || ::listen(socket.get(), ListenBacklog) != 0) {
        throw ResultError(ResultCode::BindFailed, "TCP " + localAddress.toString() + ": " + std::strerror(errno));
    }
    return socket;
}

} // namespace

LinkPool::LinkPool(Loop &loop, const Clock &clock, LinkIdentity self, const SocketAddress &localAddress,
                   LinkSettings settings, Link::Handlers handlers)
    : m_loop(loop)
    , m_clock(clock)
    , m_self(std::move(self))
    , m_settings(settings)
    , m_handlers(std::move(handlers))
    , m_pacer(loop, clock, settings.rate)
    , m_listener(listenOn(localAddress))
    , m_acceptWatcher(loop, [this](int) { acceptAll(); })
    , m_checkTimer(loop, [this] { checkLinks(); })
    , m_lastCheck(clock.now())
{
    m_acceptWatcher.start(m_listener.get(), EV_READ);
    m_checkTimer.startRepeating(m_settings.heartbeatInterval / 2);
}

LinkPool::~LinkPool() = default;

std::shared_ptr<Link> LinkPool::connect(const HostId &host, const SocketAddress &address)
{
    const auto found = m_outgoingLinks.find(host);
    if (found != m_outgoingLinks.end() && !found->second->isClosed() && found->second->remoteAddress() == address) {
        return found->second;
    }
    auto link = makeLink();
    m_outgoingLinks[host] = link;
    link->connectTo(host, address);
    return link;
}

void LinkPool::forEachUp(const std::function<void(const std::shared_ptr<Link> &)> &visitor) const
{
    const std::vector<std::shared_ptr<Link>> links(m_links.begin(), m_links.end());
    for (const auto &link : links) {
        if (link->isUp()) {
            visitor(link);
        }
    }
}

void LinkPool::stopAccepting()
{
    m_isAccepting = false;
    m_acceptWatcher.stop();
    m_listener.close();
}

void LinkPool::finishSending()
{
    stopAccepting();
    const std::vector<std::shared_ptr<Link>> links(m_links.begin(), m_links.end());
    for (const auto &link : links) {
        link->finishSending();
    }
}

std::size_t LinkPool::finishingLinks() const
{
    return static_cast<std::size_t>(
        std::count_if(m_links.begin(), m_links.end(), [](const auto &link) { return link->isSendingFinished(); }));
}

bool LinkPool::hasPending() const
{
    return std::any_of(m_links.begin(), m_links.end(),
                       [](const auto &link) { return link->isUp() && link->hasPending(); });
}

std::size_t LinkPool::unacknowledgedBytes() const
{
    return std::accumulate(m_links.begin(), m_links.end(), std::size_t {0},
                           [](std::size_t bytes, const auto &link) { return bytes + link->unacknowledgedBytes(); });
}

std::shared_ptr<Link> LinkPool::makeLink()
{
    Link::Handlers handlers = m_handlers;
    handlers.onDown = [this](const std::shared_ptr<Link> &link, ResultCode reason) {
        onDown(link, reason);
    };
    auto link = std::make_shared<Link>(m_loop, m_clock, m_self, m_pacer, std::move(handlers));
    m_links.insert(link);
    return link;
}

void LinkPool::acceptAll()
{
    while (true) {
        Descriptor socket(::accept4(m_listener.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
        if (!socket.isOpen() && errno == EINTR) {
            continue;
        }
        if (!socket.isOpen()) {
            // Without free descriptors the listener stays readable and the loop would spin; checkLinks() restarts it.
            if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM) {
                m_acceptWatcher.stop();
            }
            return;
        }
        makeLink()->accept(std::move(socket));
    }
}

void LinkPool::onDown(const std::shared_ptr<Link> &link, ResultCode reason)
{
    const auto found = m_outgoingLinks.find(link->peer().host);
    if (found != m_outgoingLinks.end() && found->second == link) {
        m_outgoingLinks.erase(found);
    }
    m_links.erase(link);
    m_handlers.onDown(link, reason);
}

void LinkPool::checkLinks()
{
    const TimePoint now = m_clock.now();
    const bool wasPaused = now - m_lastCheck > m_settings.heartbeatInterval;
    m_lastCheck = now;
    if (m_isAccepting) {
        m_acceptWatcher.start(m_listener.get(), EV_READ);
    }
    const std::vector<std::shared_ptr<Link>> links(m_links.begin(), m_links.end());
    for (const auto &link : links) {
        if (wasPaused) {
            link->restartSilence();
        }
        checkLink(*link, now);
    }
}

void LinkPool::checkLink(Link &link, TimePoint now) const
{
    if (!link.isRetained() && now - link.lastUsed() > m_settings.idleLimit) {
        link.close(ResultCode::LinkIdle);
        return;
    }
    if (!link.expectsTraffic()) {
        return;
    }
    const Duration silence = now - link.silentSince();
    if (silence > m_settings.silenceLimit) {
        link.close(ResultCode::LinkSilent);
        return;
    }
    if (silence > m_settings.heartbeatInterval) {
        link.sendHeartbeat();
    }
}

} // namespace jasminemast
