// A UDP socket on the event loop.
#pragma once

#include "jasminemast/net/loop.h"
#include "jasminemast/net/socketaddress.h"

#include <functional>
#include <string_view>

namespace jasminemast
{

/// Sends and receives datagrams; losing one is normal.
class DatagramSocket
{
public:
    using Handler = std::function<void(std::string_view bytes)>;

    /// Binds to \p local.
    /// \throws ResultError with BindFailed.
    DatagramSocket(Loop &loop, const SocketAddress &local, Handler handler);

    /// Sends \p bytes to \p destination; false when the system did not take them or the
    /// address is not valid.
    bool send(const SocketAddress &destination, std::string_view bytes);

private:
    void receiveAll();

    Descriptor m_socket;
    Handler m_handler;
    IoWatcher m_watcher;
};

} // namespace jasminemast
