// A caller's connection to a node, kept for several calls.
#pragma once

#include "jasminemast/net/loop.h"
#include "jasminemast/net/responseparser.h"
#include "jasminemast/net/socketaddress.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace jasminemast::fleet
{

/// Sends one request at a time on one connection, as long as the node keeps it open.
class KeptConnection
{
public:
    using EndHandler = std::function<void(unsigned status, const HttpHeaders &headers, const std::string &body)>;

    KeptConnection(Loop &loop, const SocketAddress &node);

    /// Sends \p request; \p onEnded is called once its response is complete. Only while the connection is idle.
    void send(std::string_view request, EndHandler onEnded);
    /// True if the node keeps the connection open for the next request, as far as is known.
    [[nodiscard]] bool isIdle() const
    {
        return m_isOpen && !m_onEnded;
    }
    /// True if the connection has ended before the response was complete.
    [[nodiscard]] bool isCut() const
    {
        return !m_isOpen && m_onEnded;
    }
    /// True if the node's kernel has reset the connection: the node had not read all that was sent. An orderly end, of
    /// a node that has read the whole request, leaves the sending side open. Only once the node has exited.
    [[nodiscard]] bool isReset() const;

private:
    void readAvailable();
    void parse();

    Descriptor m_socket;
    IoWatcher m_watcher;
    ResponseParser m_parser;
    EndHandler m_onEnded; ///< set while a request is open
    bool m_isOpen = true;
    std::string m_input;
    unsigned m_status = 0;
    HttpHeaders m_headers;
    std::string m_body;
};

} // namespace jasminemast::fleet
