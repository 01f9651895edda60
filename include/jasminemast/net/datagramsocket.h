// A UDP socket on the event loop.
#pragma once

#include "jasminemast/net/loop.h"
#include "jasminemast/net/socketaddress.h"

#include <functional>
#include <string_view>

namespace jasminemast
{

/// Sends and receives datagrams, which may be lost.
class DatagramSocket
{
public:
    using Handler = std::function<void(std::string_view bytes)>;

    /// Binds to \p localAddress.
    /// \throws ResultError with BindFailed.
    DatagramSocket(Loop &loop, const SocketAddress &localAddress, Handler handler);

    /// Sends \p bytes to \p destination; false if the system call fails or the address is invalid.
    bool send(const SocketAddress &destination, std::string_view bytes);

private:
    void receiveAll();

    Descriptor m_socket;
    Handler m_handler;
    IoWatcher m_watcher;
};

} // namespace jasminemast
