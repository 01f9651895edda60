// Relays TCP connections between zones: delays each byte, and delivers none in a faulty direction.
#pragma once

#include "delayqueue.h"
#include "linkmatrix.h"

#include <memory>
#include <netinet/in.h>
#include <set>
#include <string>

namespace jasminemast::standin
{

/// Listens on one relay address and forwards its connections to the real address.
class TcpRelay
{
public:
    TcpRelay(EventLoop &loop, DelayQueue &queue, LinkMatrix &links, const sockaddr_in &listenAddress);
    ~TcpRelay();
    TcpRelay(const TcpRelay &) = delete;
    TcpRelay &operator=(const TcpRelay &) = delete;

    /// Resets the connections whose links have been cut. Call after every change of the links.
    void linksChanged();

private:
    class Connection;
    using ConnectionPtr = std::shared_ptr<Connection>;

    void acceptAll();
    void open(int client);
    void remove(const ConnectionPtr &connection);

    EventLoop &m_loop;
    DelayQueue &m_queue;
    LinkMatrix &m_links;
    RelayZonePair m_zones;
    sockaddr_in m_realAddress;
    int m_listener;
    std::unique_ptr<IoWatcher> m_watcher;
    std::set<ConnectionPtr> m_connections;
};

} // namespace jasminemast::standin
