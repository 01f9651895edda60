// Two sockets and two delayed byte streams a connection.
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
constexpr std::size_t MaxUnsentBytes = std::size_t {8} * 1024 * 1024; ///< held for one direction before reading stops

/// Closes with a reset, as a host does that knows nothing of the connection.
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
/// Invariants: a side's reader runs only while fewer than MaxUnsentBytes wait for the other side;
/// once a byte was swallowed in a direction, that direction never delivers again.
class TcpRelay::Connection : public std::enable_shared_from_this<TcpRelay::Connection>
{
public:
    Connection(TcpRelay &relay, RelayZonePair pair, int client, int server)
        : m_relay(relay)
        , m_pair(pair)
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
        m_forward.epoch = m_relay.m_links.direction(m_pair.from, m_pair.to).silenceEpoch;
        m_back.epoch = m_relay.m_links.direction(m_pair.to, m_pair.from).silenceEpoch;
        m_clientWatcher = std::make_unique<IoWatcher>(m_relay.m_loop, m_forward.source, 0,
                                                      [this](int events) { onEvents(events, m_forward, m_back); });
        m_serverWatcher = std::make_unique<IoWatcher>(m_relay.m_loop, m_back.source, EV_READ,
                                                      [this](int events) { onEvents(events, m_back, m_forward); });
        // The handshake crosses the link twice before the first byte is sent.
        const LinkDirection &there = m_relay.m_links.direction(m_pair.from, m_pair.to);
        const LinkDirection &back = m_relay.m_links.direction(m_pair.to, m_pair.from);
        m_relay.m_queue.add(std::chrono::steady_clock::now() + there.delay + back.delay, [weak = weak_from_this()] {
            if (const ConnectionPtr connection = weak.lock()) {
                connection->m_established = true;
                connection->updateWatchers();
            }
        });
    }

private:
    /// Bytes on their way from one socket to the other.
    struct Direction
    {
        int source;
        int destination;
        unsigned from;
        unsigned to;
        std::uint64_t epoch = 0;
        bool silent = false;
        bool sourceEnded = false;
        bool finished = false; ///< the end was passed on
        std::size_t delayed = 0; ///< bytes in the delay queue
        std::string unsent {}; ///< bytes that the destination's socket would not take yet
    };

    void onEvents(int events, Direction &reads, Direction &writes)
    {
        const ConnectionPtr keep = shared_from_this();
        if ((events & EV_WRITE) != 0) {
            flush(writes);
        }
        if ((events & EV_READ) != 0) {
            readFrom(reads);
        }
        updateWatchers();
    }

    void readFrom(Direction &direction)
    {
        std::string data(ReadBytes, '\0');
        const ssize_t got = recv(direction.source, data.data(), data.size(), 0);
        if (got < 0 && (errno == EAGAIN || errno == EINTR)) {
            return;
        }
        if (got < 0) {
            m_relay.remove(shared_from_this());
            return;
        }
        data.resize(static_cast<std::size_t>(got));
        direction.sourceEnded = got == 0;
        send(direction, std::move(data));
    }

    /// Hands data over to the delay queue; empty data is the end of the stream.
    void send(Direction &direction, std::string data)
    {
        const TimePoint now = std::chrono::steady_clock::now();
        const auto due = m_relay.m_links.arrival(direction.from, direction.to, data.size(), now);
        const LinkDirection &link = m_relay.m_links.direction(direction.from, direction.to);
        direction.silent = direction.silent || !due || direction.epoch < link.silenceEpoch;
        if (direction.silent) {
            return;
        }
        direction.delayed += data.size();
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
        direction.delayed -= data.size();
        direction.silent = direction.silent || link.mode != LinkMode::Ok || direction.epoch < link.silenceEpoch;
        if (direction.silent) {
            updateWatchers();
            return;
        }
        m_relay.m_links.countDelivered(direction.from, direction.to, data.size(), LinkProtocol::Tcp);
        direction.unsent += data;
        direction.finished = data.empty();
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
        if (!direction.finished) {
            return;
        }
        shutdown(direction.destination, SHUT_WR);
        if (m_forward.finished && m_back.finished) {
            m_relay.remove(shared_from_this());
        }
    }

    [[nodiscard]] static int eventsFor(const Direction &reads, const Direction &writes)
    {
        const bool room = reads.delayed + reads.unsent.size() < MaxUnsentBytes;
        const int readEvents = room && !reads.sourceEnded ? EV_READ : 0;
        const int writeEvents = writes.unsent.empty() ? 0 : EV_WRITE;
        return readEvents | writeEvents;
    }

    void updateWatchers()
    {
        const int clientEvents = eventsFor(m_forward, m_back);
        m_clientWatcher->setEvents(m_established ? clientEvents : clientEvents & ~EV_READ);
        m_serverWatcher->setEvents(eventsFor(m_back, m_forward));
    }

    TcpRelay &m_relay;
    RelayZonePair m_pair;
    Direction m_forward;
    Direction m_back;
    bool m_established = false;
    std::unique_ptr<IoWatcher> m_clientWatcher;
    std::unique_ptr<IoWatcher> m_serverWatcher;
};

TcpRelay::TcpRelay(EventLoop &loop, DelayQueue &queue, LinkMatrix &links, const sockaddr_in &dialled)
    : m_loop(loop)
    , m_queue(queue)
    , m_links(links)
    , m_pair(relayZonePair(dialled))
    , m_real(realAddress(dialled))
    , m_listener(listenOn(dialled))
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
    if (m_links.direction(m_pair.from, m_pair.to).mode == LinkMode::Cut) {
        resetAndClose(client);
        return;
    }
    ++m_links.direction(m_pair.from, m_pair.to).connections;
    const int server = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int result = connect(server, reinterpret_cast<const sockaddr *>(&m_real), sizeof(m_real));
    if (result != 0 && errno != EINPROGRESS) {
        resetAndClose(server);
        resetAndClose(client);
        return;
    }
    disableNagle(client);
    disableNagle(server);
    const auto connection = std::make_shared<Connection>(*this, m_pair, client, server);
    m_connections.insert(connection);
    connection->start();
}

void TcpRelay::remove(const ConnectionPtr &connection)
{
    m_connections.erase(connection);
}

void TcpRelay::linksChanged()
{
    const bool cut = m_links.direction(m_pair.from, m_pair.to).mode == LinkMode::Cut
        || m_links.direction(m_pair.to, m_pair.from).mode == LinkMode::Cut;
    if (cut) {
        m_connections.clear();
    }
}

} // namespace jasminemast::standin
