// One receiving and one sending socket a dialled address.
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

UdpRelay::UdpRelay(EventLoop &loop, DelayQueue &queue, LinkMatrix &links, const sockaddr_in &dialled)
    : m_queue(queue)
    , m_links(links)
    , m_pair(relayZonePair(dialled))
    , m_real(realAddress(dialled))
    , m_receiver(openSocket())
    , m_sender(openSocket())
{
    if (bind(m_receiver, reinterpret_cast<const sockaddr *>(&dialled), sizeof(dialled)) != 0) {
        throw std::system_error(errno, std::generic_category(), "bind UDP " + formatSocketAddress(dialled));
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
    const ssize_t got
        = recvfrom(m_receiver, buffer.data(), buffer.size(), 0, reinterpret_cast<sockaddr *>(&source), &length);
    if (got < 0) {
        return false;
    }
    relay(std::string(buffer.data(), static_cast<std::size_t>(got)), source);
    return true;
}

bool UdpRelay::isSilenced(const FlowKey &key, const LinkDirection &link)
{
    const auto [flow, isNew] = m_flowEpochs.emplace(key, link.silenceEpoch);
    return flow->second < link.silenceEpoch;
}

void UdpRelay::relay(std::string data, const sockaddr_in &source)
{
    if (isSilenced({source.sin_addr.s_addr, source.sin_port}, m_links.direction(m_pair.from, m_pair.to))) {
        return;
    }
    const auto due = m_links.arrival(m_pair.from, m_pair.to, data.size(), std::chrono::steady_clock::now());
    if (!due) {
        return;
    }
    m_queue.add(*due, [this, data = std::move(data)] {
        if (m_links.direction(m_pair.from, m_pair.to).mode != LinkMode::Ok) {
            return;
        }
        m_links.countDelivered(m_pair.from, m_pair.to, data.size(), LinkProtocol::Udp);
        sendto(m_sender, data.data(), data.size(), 0, reinterpret_cast<const sockaddr *>(&m_real), sizeof(m_real));
    });
}

} // namespace jasminemast::standin
