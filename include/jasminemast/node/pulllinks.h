// Sends pull requests and replies over links. Long replies are sent in parts; a lost link fails its requests.
#pragma once

#include "jasminemast/net/linkpool.h"
#include "jasminemast/spread/messages.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace jasminemast
{

/// Frame types of the control task.
enum class ControlFrame : std::uint8_t {
    Pull = 64, ///< PullRequest
    ReplyPart = 65, ///< 8 bytes id of the pull, then a piece of an encoded PullReply
    ReplyEnd = 66, ///< as ReplyPart, for the last piece
    Received = 67, ///< 8 bytes id: the requester has the complete reply
    SyncRequest = 68, ///< SyncRequest, between nodes with a registry
    SyncReply = 69, ///< SyncReply
};

inline bool isControlFrame(FrameType type)
{
    return type >= static_cast<FrameType>(ControlFrame::Pull)
        && type <= static_cast<FrameType>(ControlFrame::SyncReply);
}

/// The pull protocol of the control task, for all links of a node.
class PullLinks
{
public:
    struct Handlers
    {
        std::function<void(const HostId &from, PullRequest request)> onRequest;
        std::function<void(PullReply reply)> onReply;
        std::function<void(std::uint64_t id)> onFailed; ///< the link of a pull request was lost
        std::function<void(bool snapshot)> onSent; ///< a reply was received, timed out, or was lost with its link
    };

    PullLinks(LinkPool &links, const Clock &clock, Handlers handlers);
    ~PullLinks();
    PullLinks(const PullLinks &) = delete;
    PullLinks &operator=(const PullLinks &) = delete;

    void sendRequest(const HostId &to, const SocketAddress &address, const PullRequest &request);
    /// Replies over the link of the request; a push (id 0) connects to \p address.
    void sendReply(const HostId &to, const SocketAddress &address, const PullReply &reply);
    /// \throws ResultError with FrameMalformed or FrameTooLarge, upon which the link is to be closed.
    void onFrame(const std::shared_ptr<Link> &link, ControlFrame type, std::string_view payload);
    void onLinkDown(const std::shared_ptr<Link> &link);
    /// Discards transfers that have timed out.
    void expire();

private:
    struct Transfer;
    using Key = std::pair<Link *, std::uint64_t>;

    void onReplyPart(const std::shared_ptr<Link> &link, ControlFrame type, std::string_view payload);

    LinkPool &m_links;
    const Clock &m_clock;
    Handlers m_handlers;
    std::map<std::uint64_t, std::unique_ptr<Transfer>> m_requests; ///< pull requests without a reply, by id
    std::map<std::pair<HostId, std::uint64_t>, std::weak_ptr<Link>>
        m_requesterLinks; ///< link of each request without a reply
    std::map<Key, std::unique_ptr<Transfer>> m_replies; ///< replies that the requester has not confirmed
    std::map<Key, std::string> m_partialReplies; ///< parts received of incomplete replies
};

} // namespace jasminemast
