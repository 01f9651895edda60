// Sends requests for the registry's records to peers, and answers those of peers, over links.
#pragma once

#include "jasminemast/node/pulllinks.h"
#include "jasminemast/registry/syncserver.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace jasminemast
{

/// The exchange of records between the nodes of a fleet. One request of this node at a time.
class RegistryPeers
{
public:
    /// Called once for each request; without a reply when the peer could not be reached or did not reply in time.
    using Handler = std::function<void(std::optional<SyncReply>)>;
    /// Returns when the registry last confirmed the records of this node.
    using ConfirmedAtReader = std::function<TimePoint()>;

    /// \p follower outlives this object.
    RegistryPeers(Loop &loop, const Clock &clock, LinkPool &links, const RegistryFollower &follower,
                  ConfirmedAtReader readConfirmedAt);
    ~RegistryPeers();

    void request(const HostId &host, const SocketAddress &address, SyncRequest request, Milliseconds timeout,
                 Handler handler);
    /// Drops the request in progress; its handler is not called.
    void cancel();

    /// The records of the follower have changed; \p targets are the targets that did.
    void onChange(std::vector<EndpointId> targets);
    /// Tells peers to read elsewhere.
    void beginDrain();

    /// \throws ResultError with FrameMalformed, upon which the link is to be closed.
    void onFrame(const std::shared_ptr<Link> &link, ControlFrame type, std::string_view payload);
    void onLinkDown(const std::shared_ptr<Link> &link);

private:
    void finish(std::optional<SyncReply> reply);
    void send(const SyncServer::Replies &replies);
    void answerDue();
    void scheduleExpiry();

    const Clock &m_clock;
    LinkPool &m_links;
    ConfirmedAtReader m_readConfirmedAt;
    SyncServer m_server;
    std::map<const void *, std::weak_ptr<Link>> m_clientLinks; ///< links on which requests came
    std::shared_ptr<Link> m_link; ///< of the request in progress; null if there is none
    std::uint64_t m_lastId = 0; ///< of the last request
    Handler m_handler;
    Timer m_timeout;
    Timer m_expiryTimer;
};

} // namespace jasminemast
