// Each relay address has one receiving and one sending socket.
#include "udprelay.h"

#include "relayaddress.h"
#include "socketaddress.h"

#include <array>
#include <cerrno>
#include <sys/socket.h>
#include <system_error>
#include <unistd.h>

namespace jasminemast::standin
{

namespace
{

constexpr std::size_t MaxDatagramBytes = 65'536;
constexpr int SocketBufferBytes = 8 * 1024 * 1024;

int openSocket()
{
    const int descriptor = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
        throw std::system_error(errno, std::generic_category(), "socket");
    }
    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &SocketBufferBytes, sizeof(SocketBufferBytes));
    setsockopt(descriptor, SOL_SOCKET, SO_SNDBUF, &SocketBufferBytes, sizeof(SocketBufferBytes));
    return descriptor;
}

} // namespace

UdpRelay::UdpRelay(EventLoop &loop, DelayQueue &queue, LinkMatrix &links, const sockaddr_in &listenAddress)
    : m_queue(queue)
    , m_links(links)
    , m_zones(relayZonePair(listenAddress))
    , m_realAddress(realAddress(listenAddress))
    , m_receiver(openSocket())
    , m_sender(openSocket())
{
    if (bind(m_receiver, reinterpret_cast<const sockaddr *>(&listenAddress), sizeof(listenAddress)) != 0) {
        throw std::system_error(errno, std::generic_category(), "bind UDP " + formatSocketAddress(listenAddress));
    }
    m_watcher = std::make_unique<IoWatcher>(loop, m_receiver, EV_READ, [this](int) { receiveAll(); });
}

UdpRelay::~UdpRelay()
{
    m_watcher.reset();
    close(m_receiver);
    close(m_sender);
}

void UdpRelay::receiveAll()
{
    while (receiveOne()) { }
}

bool UdpRelay::receiveOne()
{
    std::array<char, MaxDatagramBytes> buffer;
    sockaddr_in source {};
    socklen_t length = sizeof(source);
    const ssize_t received
        = recvfrom(m_receiver, buffer.data(), buffer.size(), 0, reinterpret_cast<sockaddr *>(&source), &length);
    if (received < 0) {
        return false;
    }
    relay(std::string(buffer.data(), static_cast<std::size_t>(received)), source);
    return true;
}

bool UdpRelay::isSilenced(const FlowKey &key, const LinkDirection &link)
{
    const auto [flow, isNew] = m_flowEpochs.emplace(key, link.silenceEpoch);
    return flow->second < link.silenceEpoch;
}

void UdpRelay::relay(std::string data, const sockaddr_in &source)
{
    if (isSilenced({source.sin_addr.s_addr, source.sin_port}, m_links.direction(m_zones.from, m_zones.to))) {
        return;
    }
    const auto due = m_links.arrivalTime(m_zones.from, m_zones.to, data.size(), std::chrono::steady_clock::now());
    if (!due) {
        return;
    }
    m_queue.add(*due, [this, data = std::move(data)] {
        if (m_links.direction(m_zones.from, m_zones.to).mode != LinkMode::Ok) {
            return;
        }
        m_links.countDelivered(m_zones.from, m_zones.to, data.size(), LinkProtocol::Udp);
        sendto(m_sender, data.data(), data.size(), 0, reinterpret_cast<const sockaddr *>(&m_realAddress),
               sizeof(m_realAddress));
    });
}

} // namespace jasminemast::standin
