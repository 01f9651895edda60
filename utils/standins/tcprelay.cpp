// Each relayed connection has two sockets and two delayed byte streams.
#include "tcprelay.h"

#include "relayaddress.h"
#include "socketaddress.h"

#include <array>
#include <cerrno>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace jasminemast::standin
{

namespace
{

constexpr std::size_t ReadBytes = std::size_t {64} * 1024;
constexpr std::size_t MaxUnsentBytes = std::size_t {8} * 1024 * 1024; ///< queued in one direction before reading pauses

/// Closes with a TCP reset, as a host does that has no state of the connection.
void resetAndClose(int descriptor)
{
    const linger now {1, 0};
    setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    close(descriptor);
}

void disableNagle(int descriptor)
{
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

} // namespace

/// One relayed connection.
///
/// Invariants: a socket is read only while fewer than MaxUnsentBytes are queued for the other socket;
/// once a byte was dropped in a direction, that direction never delivers again.
class TcpRelay::Connection : public std::enable_shared_from_this<TcpRelay::Connection>
{
public:
    Connection(TcpRelay &relay, RelayZonePair pair, int client, int server)
        : m_relay(relay)
        , m_zones(pair)
        , m_forward {client, server, pair.from, pair.to}
        , m_back {server, client, pair.to, pair.from}
    {
    }
    ~Connection()
    {
        m_clientWatcher.reset();
        m_serverWatcher.reset();
        resetAndClose(m_forward.source);
        resetAndClose(m_back.source);
    }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    void start()
    {
        m_forward.epochAtOpen = m_relay.m_links.direction(m_zones.from, m_zones.to).silenceEpoch;
        m_back.epochAtOpen = m_relay.m_links.direction(m_zones.to, m_zones.from).silenceEpoch;
        m_clientWatcher = std::make_unique<IoWatcher>(m_relay.m_loop, m_forward.source, 0,
                                                      [this](int events) { onEvents(events, m_forward, m_back); });
        m_serverWatcher = std::make_unique<IoWatcher>(m_relay.m_loop, m_back.source, EV_READ,
                                                      [this](int events) { onEvents(events, m_back, m_forward); });
        // The handshake crosses the link twice before the first byte is sent.
        const LinkDirection &forward = m_relay.m_links.direction(m_zones.from, m_zones.to);
        const LinkDirection &back = m_relay.m_links.direction(m_zones.to, m_zones.from);
        m_relay.m_queue.add(std::chrono::steady_clock::now() + forward.delay + back.delay, [weak = weak_from_this()] {
            if (const ConnectionPtr connection = weak.lock()) {
                connection->m_established = true;
                connection->updateWatchers();
            }
        });
    }

private:
    /// The byte stream from one socket to the other.
    struct Direction
    {
        int source;
        int destination;
        unsigned from;
        unsigned to;
        std::uint64_t epochAtOpen = 0; ///< the link's silenceEpoch when the connection was opened
        bool silent = false; ///< drops all further bytes
        bool sourceEnded = false;
        bool endDelivered = false; ///< the end of the stream has left the delay queue
        std::size_t delayedBytes = 0; ///< bytes in the delay queue
        std::string unsent {}; ///< delivered bytes that the destination's socket has not accepted yet
    };

    void onEvents(int events, Direction &readDirection, Direction &writeDirection)
    {
        const ConnectionPtr keepAlive = shared_from_this();
        if ((events & EV_WRITE) != 0) {
            flush(writeDirection);
        }
        if ((events & EV_READ) != 0) {
            readFrom(readDirection);
        }
        updateWatchers();
    }

    void readFrom(Direction &direction)
    {
        std::string data(ReadBytes, '\0');
        const ssize_t received = recv(direction.source, data.data(), data.size(), 0);
        if (received < 0 && (errno == EAGAIN || errno == EINTR)) {
            return;
        }
        if (received < 0) {
            m_relay.remove(shared_from_this());
            return;
        }
        data.resize(static_cast<std::size_t>(received));
        direction.sourceEnded = received == 0;
        send(direction, std::move(data));
    }

    /// Adds data to the delay queue; empty data marks the end of the stream.
    void send(Direction &direction, std::string data)
    {
        const TimePoint now = std::chrono::steady_clock::now();
        const auto due = m_relay.m_links.arrivalTime(direction.from, direction.to, data.size(), now);
        const LinkDirection &link = m_relay.m_links.direction(direction.from, direction.to);
        direction.silent = direction.silent || !due || direction.epochAtOpen < link.silenceEpoch;
        if (direction.silent) {
            return;
        }
        direction.delayedBytes += data.size();
        const bool isForward = &direction == &m_forward;
        m_relay.m_queue.add(*due, [weak = weak_from_this(), isForward, data = std::move(data)] {
            if (const ConnectionPtr connection = weak.lock()) {
                connection->deliver(isForward ? connection->m_forward : connection->m_back, data);
            }
        });
    }

    void deliver(Direction &direction, const std::string &data)
    {
        const LinkDirection &link = m_relay.m_links.direction(direction.from, direction.to);
        direction.delayedBytes -= data.size();
        direction.silent = direction.silent || link.mode != LinkMode::Ok || direction.epochAtOpen < link.silenceEpoch;
        if (direction.silent) {
            updateWatchers();
            return;
        }
        m_relay.m_links.countDelivered(direction.from, direction.to, data.size(), LinkProtocol::Tcp);
        direction.unsent += data;
        direction.endDelivered = data.empty();
        flush(direction);
        updateWatchers();
    }

    void flush(Direction &direction)
    {
        while (!direction.unsent.empty()) {
            const ssize_t sent
                = ::send(direction.destination, direction.unsent.data(), direction.unsent.size(), MSG_NOSIGNAL);
            if (sent < 0) {
                if (errno != EAGAIN && errno != EINTR) {
                    m_relay.remove(shared_from_this());
                }
                return;
            }
            direction.unsent.erase(0, static_cast<std::size_t>(sent));
        }
        if (!direction.endDelivered) {
            return;
        }
        shutdown(direction.destination, SHUT_WR);
        if (m_forward.endDelivered && m_back.endDelivered) {
            m_relay.remove(shared_from_this());
        }
    }

    [[nodiscard]] static int eventsFor(const Direction &readDirection, const Direction &writeDirection)
    {
        const bool hasCapacity = readDirection.delayedBytes + readDirection.unsent.size() < MaxUnsentBytes;
        const int readEvents = hasCapacity && !readDirection.sourceEnded ? EV_READ : 0;
        const int writeEvents = writeDirection.unsent.empty() ? 0 : EV_WRITE;
        return readEvents | writeEvents;
    }

    void updateWatchers()
    {
        const int clientEvents = eventsFor(m_forward, m_back);
        m_clientWatcher->setEvents(m_established ? clientEvents : clientEvents & ~EV_READ);
        m_serverWatcher->setEvents(eventsFor(m_back, m_forward));
    }

    TcpRelay &m_relay;
    RelayZonePair m_zones;
    Direction m_forward;
    Direction m_back;
    bool m_established = false;
    std::unique_ptr<IoWatcher> m_clientWatcher;
    std::unique_ptr<IoWatcher> m_serverWatcher;
};

TcpRelay::TcpRelay(EventLoop &loop, DelayQueue &queue, LinkMatrix &links, const sockaddr_in &listenAddress)
    : m_loop(loop)
    , m_queue(queue)
    , m_links(links)
    , m_zones(relayZonePair(listenAddress))
    , m_realAddress(realAddress(listenAddress))
    , m_listener(listenOn(listenAddress))
    , m_watcher(std::make_unique<IoWatcher>(loop, m_listener, EV_READ, [this](int) { acceptAll(); }))
{
}

TcpRelay::~TcpRelay()
{
    m_connections.clear();
    m_watcher.reset();
    close(m_listener);
}

void TcpRelay::acceptAll()
{
    while (true) {
        const int client = accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (client < 0) {
            return;
        }
        open(client);
    }
}

void TcpRelay::open(int client)
{
    if (m_links.direction(m_zones.from, m_zones.to).mode == LinkMode::Cut) {
        resetAndClose(client);
        return;
    }
    ++m_links.direction(m_zones.from, m_zones.to).connections;
    const int server = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int result = connect(server, reinterpret_cast<const sockaddr *>(&m_realAddress), sizeof(m_realAddress));
    if (result != 0 && errno != EINPROGRESS) {
        resetAndClose(server);
        resetAndClose(client);
        return;
    }
    disableNagle(client);
    disableNagle(server);
    const auto connection = std::make_shared<Connection>(*this, m_zones, client, server);
    m_connections.insert(connection);
    connection->start();
}

void TcpRelay::remove(const ConnectionPtr &connection)
{
    m_connections.erase(connection);
}

void TcpRelay::linksChanged()
{
    const bool cut = m_links.direction(m_zones.from, m_zones.to).mode == LinkMode::Cut
        || m_links.direction(m_zones.to, m_zones.from).mode == LinkMode::Cut;
    if (cut) {
        m_connections.clear();
    }
}

} // namespace jasminemast::standin
