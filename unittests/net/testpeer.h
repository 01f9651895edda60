// Helpers of the network tests: addresses used by no other test process, running the loop until a condition holds, and
// a raw TCP peer.
#pragma once

#include "jasminemast/net/loop.h"
#include "jasminemast/net/socketaddress.h"

#include <gtest/gtest.h>

#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace jasminemast
{

/// An address in 127/8 that no other test process uses, with a port below the ephemeral range.
inline SocketAddress testAddress()
{
    static std::uint16_t port = 7100;
    const auto pid = static_cast<unsigned>(::getpid());
    return {"127.77." + std::to_string(pid / 200 % 200 + 1) + "." + std::to_string(pid % 200 + 1), ++port};
}

/// Runs the loop until \p done holds; false if it does not within a time far longer than
/// any test needs.
inline bool runUntil(Loop &loop, const std::function<bool()> &done)
{
    using std::chrono_literals::operator""ms;
    constexpr int MaxChecks = 10'000;
    int checks = 0;
    Timer timer(loop, [&] {
        if (done() || ++checks > MaxChecks) {
            loop.stop();
        }
    });
    timer.startRepeating(1ms);
    loop.run();
    return checks <= MaxChecks;
}

/// A raw TCP connection.
class TestPeer
{
public:
    explicit TestPeer(const SocketAddress &server)
        : m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
    {
        const sockaddr_in system = toSystemAddress(server);
        ::connect(m_socket.get(), reinterpret_cast<const sockaddr *>(&system), sizeof(system));
    }

    explicit TestPeer(Descriptor socket)
        : m_socket(std::move(socket))
    {
    }

    /// Writes what the socket accepts and returns the number of bytes.
    std::size_t write(std::string_view bytes)
    {
        const ssize_t size = ::send(m_socket.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
        return size < 0 ? 0 : static_cast<std::size_t>(size);
    }

    /// Returns everything received so far.
    const std::string &read()
    {
        char buffer[65'536];
        ssize_t size = 0;
        while ((size = ::recv(m_socket.get(), buffer, sizeof(buffer), 0)) > 0) {
            m_received.append(buffer, static_cast<std::size_t>(size));
        }
        m_wasReset = m_wasReset || (size < 0 && errno == ECONNRESET);
        m_isClosed = m_isClosed || size == 0 || (errno != EAGAIN && errno != ENOTCONN);
        return m_received;
    }

    bool received(std::string_view text)
    {
        return read().find(text) != std::string::npos;
    }

    /// True once the peer has closed or reset the connection.
    bool isClosed()
    {
        read();
        return m_isClosed;
    }

    /// True once the peer has reset the connection.
    bool wasReset()
    {
        read();
        return m_wasReset;
    }

    void close()
    {
        m_socket.close();
    }

    /// Closes the connection with a reset.
    void reset()
    {
        const linger immediately {1, 0};
        ::setsockopt(m_socket.get(), SOL_SOCKET, SO_LINGER, &immediately, sizeof(immediately));
        close();
    }

private:
    Descriptor m_socket;
    std::string m_received;
    bool m_isClosed = false;
    bool m_wasReset = false;
};

/// Accepts connections for TestPeer.
class TestListener
{
public:
    explicit TestListener(const SocketAddress &localAddress, int receiveBuffer = 0)
        : m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
    {
        if (receiveBuffer > 0) {
            ::setsockopt(m_socket.get(), SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
        }
        const sockaddr_in system = toSystemAddress(localAddress);
        if (::bind(m_socket.get(), reinterpret_cast<const sockaddr *>(&system), sizeof(system)) != 0
            || ::listen(m_socket.get(), 16) != 0) {
            throw std::runtime_error("cannot listen on " + localAddress.toString());
        }
    }

    /// Returns the next connection; the descriptor is not open if there is none.
    Descriptor accept()
    {
        return Descriptor(::accept4(m_socket.get(), nullptr, nullptr, SOCK_NONBLOCK));
    }

    /// Refuses further connections.
    void close()
    {
        m_socket.close();
    }

private:
    Descriptor m_socket;
};

/// Runs the loop until a peer has connected to \p listener.
inline TestPeer acceptPeer(Loop &loop, TestListener &listener)
{
    Descriptor socket;
    EXPECT_TRUE(runUntil(loop, [&] { return (socket = listener.accept()).isOpen(); }));
    return TestPeer(std::move(socket));
}

} // namespace jasminemast
