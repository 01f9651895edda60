// Conversion of socket addresses for system calls.
#include "jasminemast/net/socketaddress.h"

#include "jasminemast/support/result.h"

#include <arpa/inet.h>

namespace jasminemast
{

sockaddr_in toSystemAddress(const SocketAddress &address)
{
    sockaddr_in system {};
    system.sin_family = AF_INET;
    system.sin_port = htons(address.port);
    // inet_pton() ignores what follows a zero byte.
    const bool hasZeroByte = address.ip.find('\0') != std::string::npos;
    if (hasZeroByte || inet_pton(AF_INET, address.ip.c_str(), &system.sin_addr) != 1) {
        throw ResultError(ResultCode::AddressInvalid, address.ip);
    }
    return system;
}

} // namespace jasminemast
