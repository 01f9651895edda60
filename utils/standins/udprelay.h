// Relays datagrams between zones, each relay in one direction: a receiver replies to the address in its host list.
#pragma once

#include "delayqueue.h"
#include "linkmatrix.h"

#include <map>
#include <memory>
#include <netinet/in.h>
#include <string>
#include <utility>

namespace jasminemast::standin
{

/// Receives on one relay address and sends to the real address.
class UdpRelay
{
public:
    UdpRelay(EventLoop &loop, DelayQueue &queue, LinkMatrix &links, const sockaddr_in &listenAddress);
    ~UdpRelay();
    UdpRelay(const UdpRelay &) = delete;
    UdpRelay &operator=(const UdpRelay &) = delete;

private:
    /// Sender address and port, which identify a flow together with the relay address, as in a stateful middlebox.
    using FlowKey = std::pair<std::uint32_t, std::uint16_t>;

    void receiveAll();
    bool receiveOne();
    void relay(std::string data, const sockaddr_in &source);
    [[nodiscard]] bool isSilenced(const FlowKey &key, const LinkDirection &link);

    DelayQueue &m_queue;
    LinkMatrix &m_links;
    RelayZonePair m_zones;
    sockaddr_in m_realAddress;
    int m_receiver;
    int m_sender;
    std::unique_ptr<IoWatcher> m_watcher;
    std::map<FlowKey, std::uint64_t> m_flowEpochs; ///< the link's silenceEpoch at a flow's first datagram
};

} // namespace jasminemast::standin
