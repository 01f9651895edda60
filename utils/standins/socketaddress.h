// IPv4 socket addresses written as "127.0.0.10:8500", and listening sockets on them.
#pragma once

#include <netinet/in.h>
#include <string>
#include <string_view>

namespace jasminemast::standin
{

/// Parses "a.b.c.d:port".
/// \throws std::invalid_argument for any other text.
sockaddr_in parseSocketAddress(std::string_view text);

/// The text form that parseSocketAddress() reads.
std::string formatSocketAddress(const sockaddr_in &address);

/// Opens a non-blocking TCP socket that listens on \p address; the caller closes it.
/// \throws std::system_error when the address can't be bound.
int listenOn(const sockaddr_in &address);

} // namespace jasminemast::standin
