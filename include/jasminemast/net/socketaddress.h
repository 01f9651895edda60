// IPv4 socket addresses.
#pragma once

#include <netinet/in.h>

#include <compare>
#include <cstdint>
#include <string>

namespace jasminemast
{

/// An IPv4 address in dotted form, and a port.
struct SocketAddress
{
    std::string ip;
    std::uint16_t port = 0;

    auto operator<=>(const SocketAddress &) const = default;

    [[nodiscard]] std::string toString() const
    {
        return ip + ":" + std::to_string(port);
    }
};

/// Converts to the form that system calls use.
/// \throws ResultError with AddressInvalid if the IP address is invalid.
sockaddr_in toSystemAddress(const SocketAddress &address);

} // namespace jasminemast
