// Frames of the exchange of records between nodes.
#include "jasminemast/node/registrypeers.h"

#include "jasminemast/support/archive.h"

#include <algorithm>
#include <utility>

namespace jasminemast
{

namespace
{

/// Larger replies are sent as bulk, so that heads of responses need not wait for them.
constexpr std::size_t MaxUrgentBytes = 4U << 10U;
/// Streams of replies; attempts have small numbers.
constexpr std::uint64_t ReplyStreamBit = 1ULL << 63U;
constexpr std::size_t MaxReplyBytes = LinkLimits::MaxFrameBytes - 1024;

} // namespace

RegistryPeers::RegistryPeers(Loop &loop, const Clock &clock, LinkPool &links, const RegistryFollower &follower,
                             ConfirmedAtReader readConfirmedAt)
    : m_clock(clock)
    , m_links(links)
    , m_readConfirmedAt(std::move(readConfirmedAt))
    , m_server(follower)
    , m_timeout(loop, [this] { finish(std::nullopt); })
    , m_expiryTimer(loop, [this] { answerDue(); })
{
}

RegistryPeers::~RegistryPeers() = default;

void RegistryPeers::request(const HostId &host, const SocketAddress &address, SyncRequest request, Milliseconds timeout,
                            Handler handler)
{
    request.id = ++m_lastId;
    m_handler = std::move(handler);
    m_link = m_links.connect(host, address);
    m_link->send(static_cast<FrameType>(ControlFrame::SyncRequest), encodeMessage(request));
    m_timeout.start(timeout);
}

void RegistryPeers::cancel()
{
    m_timeout.stop();
    m_link = nullptr;
    m_handler = nullptr;
}

void RegistryPeers::finish(std::optional<SyncReply> reply)
{
    const Handler handler = std::exchange(m_handler, nullptr);
    cancel();
    if (handler) {
        handler(std::move(reply));
    }
}

void RegistryPeers::onChange(std::vector<EndpointId> targets)
{
    send(m_server.onChange(std::move(targets), m_readConfirmedAt(), m_clock.now()));
    scheduleExpiry();
}

void RegistryPeers::beginDrain()
{
    send(m_server.beginDrain(m_clock.now()));
}

void RegistryPeers::onFrame(const std::shared_ptr<Link> &link, ControlFrame type, std::string_view payload)
{
    if (type == ControlFrame::SyncRequest) {
        const auto request = decodeMessage<SyncRequest>(payload, ResultCode::FrameMalformed);
        m_clientLinks[link.get()] = link;
        send(m_server.onRequest({link.get(), request.id}, request, m_readConfirmedAt(), m_clock.now()));
        scheduleExpiry();
        return;
    }
    if (type != ControlFrame::SyncReply) {
        throw ResultError(ResultCode::FrameMalformed, "control frame that is not used with a registry");
    }
    auto reply = decodeMessage<SyncReply>(payload, ResultCode::FrameMalformed);
    // Replies to requests that were given up are ignored.
    if (link == m_link && reply.id == m_lastId) {
        finish(std::move(reply));
    }
}

void RegistryPeers::onLinkDown(const std::shared_ptr<Link> &link)
{
    m_clientLinks.erase(link.get());
    m_server.onLinkDown(link.get());
    if (link == m_link) {
        finish(std::nullopt);
    }
}

void RegistryPeers::send(const SyncServer::Replies &replies)
{
    for (const auto &[client, reply] : replies) {
        const auto found = m_clientLinks.find(client.first);
        const auto link = found == m_clientLinks.end() ? nullptr : found->second.lock();
        if (link == nullptr) {
            continue;
        }
        SyncReply sent = reply;
        if (sent.content.size() > MaxReplyBytes) {
            // Only the registry, which sends pages, can serve so many records.
            sent.status = SyncStatus::NotListed;
            sent.content.clear();
        }
        const std::string payload = encodeMessage(sent);
        const auto type = static_cast<FrameType>(ControlFrame::SyncReply);
        if (payload.size() <= MaxUrgentBytes) {
            link->send(type, payload);
        } else {
            // Goes before the bodies of calls.
            link->sendBulk(StreamId(reply.id | ReplyStreamBit), type, payload, BulkPriority {1});
        }
    }
}

void RegistryPeers::answerDue()
{
    send(m_server.expire(m_readConfirmedAt(), m_clock.now()));
    scheduleExpiry();
}

void RegistryPeers::scheduleExpiry()
{
    const TimePoint next = m_server.nextExpiry();
    if (next != TimePoint::max()) {
        m_expiryTimer.start(std::max(Duration(0), next - m_clock.now()));
    }
}

} // namespace jasminemast
