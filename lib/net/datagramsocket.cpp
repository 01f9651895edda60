// Receiving and sending of UDP datagrams.
#include "jasminemast/net/datagramsocket.h"

#include "jasminemast/support/result.h"

#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <cstring>

namespace jasminemast
{

namespace
{

constexpr std::size_t MaxDatagramBytes = 65'536;
constexpr int MaxDatagramsPerWakeup = 256;
constexpr int ReceiveBufferBytes = 1 << 20;

Descriptor bindDatagram(const SocketAddress &localAddress)
{
    Descriptor socket(::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    const sockaddr_in system = toSystemAddress(localAddress);
    if (!socket.isOpen() || ::bind(socket.get(), reinterpret_cast<const sockaddr *>(&system), sizeof(system)) != 0) {
        throw ResultError(ResultCode::BindFailed, "UDP " + localAddress.toString() + ": " + std::strerror(errno));
    }
    ::setsockopt(socket.get(), SOL_SOCKET, SO_RCVBUF, &ReceiveBufferBytes, sizeof(ReceiveBufferBytes));
    return socket;
}

} // namespace

DatagramSocket::DatagramSocket(Loop &loop, const SocketAddress &localAddress, Handler handler)
    : m_socket(bindDatagram(localAddress))
    , m_handler(std::move(handler))
    , m_watcher(loop, [this](int) { receiveAll(); })
{
    m_watcher.start(m_socket.get(), EV_READ);
}

bool DatagramSocket::send(const SocketAddress &destination, std::string_view bytes)
{
    sockaddr_in system {};
    try {
        system = toSystemAddress(destination);
    } catch (const ResultError &) {
        return false;
    }
    const ssize_t sent = ::sendto(m_socket.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL,
                                  reinterpret_cast<const sockaddr *>(&system), sizeof(system));
    return sent == static_cast<ssize_t>(bytes.size());
}

void DatagramSocket::receiveAll()
{
    std::array<char, MaxDatagramBytes> buffer {};
    for (int i = 0; i < MaxDatagramsPerWakeup; ++i) {
        const ssize_t size = ::recv(m_socket.get(), buffer.data(), buffer.size(), 0);
        if (size < 0 && (errno == EINTR || errno == ECONNREFUSED)) {
            continue;
        }
        if (size < 0) {
            return;
        }
        m_handler(std::string_view(buffer.data(), static_cast<std::size_t>(size)));
    }
}

} // namespace jasminemast
