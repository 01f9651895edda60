// Frames of pull requests and replies.
#include "jasminemast/node/pulllinks.h"

#include "jasminemast/net/linkreference.h"
#include "jasminemast/support/archive.h"
#include "jasminemast/support/result.h"

#include <vector>

namespace jasminemast
{

namespace
{

constexpr std::size_t PartBytes = 256U << 10U;
constexpr std::size_t MaxReplyBytes = 20U << 20U;
constexpr std::size_t IdBytes = sizeof(std::uint64_t);
constexpr std::uint64_t ControlStreamBit = 1ULL << 63U; ///< distinguishes the streams of pulls from those of calls
constexpr Milliseconds TransferTimeout {10'000}; ///< of a pull request or a reply

FrameType frameType(ControlFrame type)
{
    return static_cast<FrameType>(type);
}

std::uint64_t readId(std::string_view payload)
{
    if (payload.size() < IdBytes) {
        throw ResultError(ResultCode::FrameMalformed, "frame without pull id");
    }
    return decodeMessage<std::uint64_t>(payload.substr(0, IdBytes), ResultCode::FrameMalformed);
}

} // namespace

/// A pull request or a reply in progress. Retains its link while it exists.
struct PullLinks::Transfer : LinkReference
{
    Transfer(std::shared_ptr<Link> on, TimePoint until, bool isSnapshot)
        : LinkReference(std::move(on))
        , deadline(until)
        , snapshot(isSnapshot)
    {
    }

    TimePoint deadline;
    bool snapshot = false;
};

PullLinks::PullLinks(LinkPool &links, const Clock &clock, Handlers handlers)
    : m_links(links)
    , m_clock(clock)
    , m_handlers(std::move(handlers))
{
}

PullLinks::~PullLinks() = default;

void PullLinks::sendRequest(const HostId &to, const SocketAddress &address, const PullRequest &request)
{
    const auto link = m_links.connect(to, address);
    m_requests[request.id] = std::make_unique<Transfer>(link, m_clock.now() + TransferTimeout, false);
    link->send(frameType(ControlFrame::Pull), encodePullRequest(request));
}

void PullLinks::sendReply(const HostId &to, const SocketAddress &address, const PullReply &reply)
{
    std::shared_ptr<Link> link;
    const auto requester = m_requesterLinks.find({to, reply.id});
    if (requester != m_requesterLinks.end()) {
        link = requester->second.lock();
        m_requesterLinks.erase(requester);
    }
    const bool served = reply.id != 0 && reply.result == PullResult::Served;
    const bool snapshot = !reply.snapshot.empty();
    if (reply.id == 0) {
        link = m_links.connect(to, address);
    }
    if (!link || link->isClosed()) {
        if (served) {
            m_handlers.onSent(snapshot);
        }
        return;
    }
    if (served) {
        m_replies[{link.get(), reply.id}] = std::make_unique<Transfer>(link, m_clock.now() + TransferTimeout, snapshot);
    }
    const std::string bytes = encodePullReply(reply);
    const std::string id = encodeMessage(reply.id);
    const StreamId stream(ControlStreamBit | reply.id);
    std::string_view rest = bytes;
    while (rest.size() > PartBytes) {
        link->sendBulk(stream, frameType(ControlFrame::ReplyPart), id + std::string(rest.substr(0, PartBytes)));
        rest.remove_prefix(PartBytes);
    }
    link->sendBulk(stream, frameType(ControlFrame::ReplyEnd), id + std::string(rest));
}

void PullLinks::onFrame(const std::shared_ptr<Link> &link, ControlFrame type, std::string_view payload)
{
    switch (type) {
    case ControlFrame::Pull: {
        auto request = decodePullRequest(payload);
        m_requesterLinks[{link->peer().host, request.id}] = link;
        m_handlers.onRequest(link->peer().host, std::move(request));
        return;
    }
    case ControlFrame::ReplyPart:
    case ControlFrame::ReplyEnd:
        onReplyPart(link, type, payload);
        return;
    case ControlFrame::Received: {
        const auto reply = m_replies.find({link.get(), readId(payload)});
        if (reply != m_replies.end()) {
            const bool snapshot = reply->second->snapshot;
            m_replies.erase(reply);
            m_handlers.onSent(snapshot);
        }
        return;
    }
    case ControlFrame::SyncRequest:
    case ControlFrame::SyncReply:
        throw ResultError(ResultCode::FrameMalformed, "records of a registry are not exchanged without one");
    }
}

void PullLinks::onReplyPart(const std::shared_ptr<Link> &link, ControlFrame type, std::string_view payload)
{
    const auto id = readId(payload);
    auto &buffer = m_partialReplies[{link.get(), id}];
    buffer.append(payload.substr(IdBytes));
    if (buffer.size() > MaxReplyBytes) {
        throw ResultError(ResultCode::FrameTooLarge, "reply to a pull request is too large");
    }
    if (type == ControlFrame::ReplyPart) {
        return;
    }
    const auto bytes = std::move(buffer);
    m_partialReplies.erase({link.get(), id});
    auto reply = decodePullReply(bytes);
    if (reply.id != 0) {
        link->send(frameType(ControlFrame::Received), encodeMessage(reply.id));
    }
    m_requests.erase(reply.id);
    m_handlers.onReply(std::move(reply));
}

void PullLinks::onLinkDown(const std::shared_ptr<Link> &link)
{
    std::erase_if(m_partialReplies, [&link](const auto &entry) { return entry.first.first == link.get(); });
    std::vector<std::uint64_t> failed;
    for (const auto &[id, request] : m_requests) {
        if (request->link == link) {
            failed.push_back(id);
        }
    }
    std::vector<bool> lost;
    for (const auto &[key, reply] : m_replies) {
        if (key.first == link.get()) {
            lost.push_back(reply->snapshot);
        }
    }
    std::erase_if(m_replies, [&link](const auto &entry) { return entry.first.first == link.get(); });
    for (const auto id : failed) {
        m_requests.erase(id);
        m_handlers.onFailed(id);
    }
    for (const bool snapshot : lost) {
        m_handlers.onSent(snapshot);
    }
}

void PullLinks::expire()
{
    const auto now = m_clock.now();
    std::erase_if(m_requests, [now](const auto &entry) { return now >= entry.second->deadline; });
    std::erase_if(m_requesterLinks, [](const auto &entry) { return entry.second.expired(); });
    std::vector<bool> timedOut;
    for (const auto &[key, reply] : m_replies) {
        if (now >= reply->deadline) {
            timedOut.push_back(reply->snapshot);
        }
    }
    std::erase_if(m_replies, [now](const auto &entry) { return now >= entry.second->deadline; });
    for (const bool snapshot : timedOut) {
        m_handlers.onSent(snapshot);
    }
}

} // namespace jasminemast
