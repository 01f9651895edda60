// Parses and formats addresses, and opens listening sockets.
#include "socketaddress.h"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <charconv>
#include <stdexcept>
#include <sys/socket.h>
#include <system_error>
#include <unistd.h>

namespace jasminemast::standin
{

sockaddr_in parseSocketAddress(std::string_view text)
{
    const std::size_t colon = text.find(':');
    if (colon == std::string_view::npos) {
        throw std::invalid_argument("expected address:port, got " + std::string(text));
    }
    const std::string host(text.substr(0, colon));
    const std::string_view portText = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, error] = std::from_chars(portText.data(), portText.data() + portText.size(), port);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    const bool wholePort = error == std::errc() && end == portText.data() + portText.size();
    if (!wholePort || inet_pton(AF_INET, host.c_str(), &address.sin_addr) != 1) {
        throw std::invalid_argument("expected address:port, got " + std::string(text));
    }
    return address;
}

std::string formatSocketAddress(const sockaddr_in &address)
{
    std::array<char, INET_ADDRSTRLEN> text {};
    inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
    return std::string(text.data()) + ":" + std::to_string(ntohs(address.sin_port));
}

int listenOn(const sockaddr_in &address)
{
    constexpr int Backlog = 4096;
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
        throw std::system_error(errno, std::generic_category(), "socket");
    }
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const auto *generic = reinterpret_cast<const sockaddr *>(&address);
    if (bind(descriptor, generic, sizeof(address)) != 0 || listen(descriptor, Backlog) != 0) {
        const int error = errno;
        close(descriptor);
        throw std::system_error(error, std::generic_category(), "listen on " + formatSocketAddress(address));
    }
    return descriptor;
}

} // namespace jasminemast::standin
