// Carries TCP connections between zones: each byte waits its delay, and a faulty direction passes none.
#pragma once

#include "delayqueue.h"
#include "linkmatrix.h"

#include <memory>
#include <netinet/in.h>
#include <set>
#include <string>

namespace jasminemast::standin
{

/// Listens on one dialled address and relays its connections to the real one.
class TcpRelay
{
public:
    TcpRelay(EventLoop &loop, DelayQueue &queue, LinkMatrix &links, const sockaddr_in &dialled);
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
    RelayZonePair m_pair;
    sockaddr_in m_real;
    int m_listener;
    std::unique_ptr<IoWatcher> m_watcher;
    std::set<ConnectionPtr> m_connections;
};

} // namespace jasminemast::standin
