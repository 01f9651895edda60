// Carries datagrams between zones, one way each: receivers answer to the address in their own host list.
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

/// Receives on one dialled address and sends to the real one.
class UdpRelay
{
public:
    UdpRelay(EventLoop &loop, DelayQueue &queue, LinkMatrix &links, const sockaddr_in &dialled);
    ~UdpRelay();
    UdpRelay(const UdpRelay &) = delete;
    UdpRelay &operator=(const UdpRelay &) = delete;

private:
    /// Sender address and port: with the dialled address, what a middlebox keeps track of.
    using FlowKey = std::pair<std::uint32_t, std::uint16_t>;

    void receiveAll();
    bool receiveOne();
    void relay(std::string data, const sockaddr_in &source);
    [[nodiscard]] bool isSilenced(const FlowKey &key, const LinkDirection &link);

    DelayQueue &m_queue;
    LinkMatrix &m_links;
    RelayZonePair m_pair;
    sockaddr_in m_real;
    int m_receiver;
    int m_sender;
    std::unique_ptr<IoWatcher> m_watcher;
    std::map<FlowKey, std::uint64_t> m_flowEpochs; ///< silence epoch of the link when a flow was first seen
};

} // namespace jasminemast::standin
