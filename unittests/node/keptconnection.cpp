// Blocking connect and send, and reading on the test's loop.
#include "keptconnection.h"

#include "jasminemast/support/result.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <stdexcept>
#include <utility>

namespace jasminemast::fleet
{

namespace
{

constexpr std::size_t ReadBytes = 64 << 10;

} // namespace

KeptConnection::KeptConnection(Loop &loop, const SocketAddress &node)
    : m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    , m_watcher(loop, [this](int) { readAvailable(); })
    , m_parser({[this](unsigned status, const HttpHeaders &headers, std::optional<std::uint64_t>) {
                    m_status = status;
                    m_headers = headers;
                },
                [this](std::string_view bytes) {
                    m_body.append(bytes);
                }})
{
    const sockaddr_in system = toSystemAddress(node);
    if (::connect(m_socket.get(), reinterpret_cast<const sockaddr *>(&system), sizeof(system)) != 0) {
        throw std::runtime_error("cannot connect to " + node.toString());
    }
    m_watcher.start(m_socket.get(), EV_READ);
}

void KeptConnection::send(std::string_view request, EndHandler onEnded)
{
    m_onEnded = std::move(onEnded);
    m_body.clear();
    m_parser.begin(true);
    // If it fails, the end of the connection is still to be read.
    (void)::send(m_socket.get(), request.data(), request.size(), MSG_NOSIGNAL);
}

bool KeptConnection::isReset() const
{
    tcp_info info {};
    socklen_t size = sizeof(info);
    ::getsockopt(m_socket.get(), IPPROTO_TCP, TCP_INFO, &info, &size);
    return info.tcpi_state == TCP_CLOSE;
}

void KeptConnection::readAvailable()
{
    std::array<char, ReadBytes> buffer;
    const ssize_t size = ::recv(m_socket.get(), buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (size < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (size <= 0) {
        m_isOpen = false;
        m_watcher.stop();
        return;
    }
    m_input.append(buffer.data(), static_cast<std::size_t>(size));
    parse();
}

void KeptConnection::parse()
{
    while (m_onEnded && !m_input.empty()) {
        try {
            m_input.erase(0, m_parser.parse(m_input));
        } catch (const ResultError &) {
            m_isOpen = false;
            m_watcher.stop();
            return;
        }
        if (!m_parser.isComplete()) {
            return;
        }
        if (!m_parser.keepsConnection()) {
            m_isOpen = false;
            m_watcher.stop();
        }
        const auto onEnded = std::exchange(m_onEnded, nullptr);
        onEnded(m_status, m_headers, m_body);
    }
}

} // namespace jasminemast::fleet
