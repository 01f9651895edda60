// Carries pulls and their answers over links: frames, parts of long answers, and what is lost with a link.
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
    AnswerPart = 65, ///< 8 bytes id of the pull, then a piece of an encoded PullReply
    AnswerEnd = 66, ///< as AnswerPart; the last piece
    Taken = 67, ///< 8 bytes id: the asker has the whole answer
};

inline bool isControlFrame(FrameType type)
{
    return type >= static_cast<FrameType>(ControlFrame::Pull) && type <= static_cast<FrameType>(ControlFrame::Taken);
}

class PullLinks
{
public:
    struct Handlers
    {
        std::function<void(const HostId &from, PullRequest request)> onRequest;
        std::function<void(PullReply answer)> onAnswer;
        std::function<void(std::uint64_t id)> onFailed; ///< the link of a pull was lost
        std::function<void(bool snapshot)> onSent; ///< an answer was taken, or was lost with its link
    };

    PullLinks(LinkPool &links, const Clock &clock, Handlers handlers);
    ~PullLinks();
    PullLinks(const PullLinks &) = delete;
    PullLinks &operator=(const PullLinks &) = delete;

    void sendRequest(const HostId &to, const SocketAddress &address, const PullRequest &request);
    /// Answers over the link that the request came on; a push (id 0) dials \p address.
    void sendAnswer(const HostId &to, const SocketAddress &address, const PullReply &answer);
    /// \throws ResultError with FrameMalformed or FrameTooLarge, upon which the link is to be closed.
    void onFrame(const std::shared_ptr<Link> &link, ControlFrame type, std::string_view payload);
    void onLinkDown(const std::shared_ptr<Link> &link);
    /// Ends what has been under way for too long.
    void expire();

private:
    struct Held;
    using Key = std::pair<Link *, std::uint64_t>;

    void onPart(const std::shared_ptr<Link> &link, ControlFrame type, std::string_view payload);

    LinkPool &m_links;
    const Clock &m_clock;
    Handlers m_handlers;
    std::map<std::uint64_t, std::unique_ptr<Held>> m_requests; ///< pulls under way, by id
    std::map<std::pair<HostId, std::uint64_t>, std::weak_ptr<Link>> m_askers; ///< link of each pull to be answered
    std::map<Key, std::unique_ptr<Held>> m_answers; ///< answers not yet taken
    std::map<Key, std::string> m_parts; ///< answers that are not yet whole
};

} // namespace jasminemast
