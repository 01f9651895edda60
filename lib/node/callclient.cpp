// Frames and streams of attempts to other nodes.
#include "jasminemast/node/callclient.h"

#include "jasminemast/net/httpmessage.h"
#include "jasminemast/net/linkreference.h"

namespace jasminemast
{

/// One attempt on another node. Retains its link while it exists.
struct CallClient::Stream : LinkReference
{
    Stream(std::shared_ptr<Link> on, std::shared_ptr<ResponseSink> to)
        : LinkReference(std::move(on))
        , sink(std::move(to))
    {
    }

    std::shared_ptr<ResponseSink> sink;
    BulkPriority priority; ///< of the next piece of the request body
    bool isLengthKnown = true;
};

/// Handle of an attempt on another node.
class RemoteHandle final : public AttemptHandle
{
public:
    RemoteHandle(CallClient &client, CallClient::Key key)
        : m_client(client)
        , m_key(key)
    {
    }

    void cancel(ResultCode /*reason*/) override
    {
        m_client.cancel(m_key);
    }

    void withdraw() override
    {
        m_client.withdraw(m_key);
    }

    void credit(std::size_t bytes) override
    {
        m_client.credit(m_key, bytes);
    }

    void sendBody(std::string_view bytes) override
    {
        m_client.sendBody(m_key, bytes);
    }

    void endBody() override
    {
        m_client.endBody(m_key);
    }

private:
    CallClient &m_client;
    CallClient::Key m_key;
};

CallClient::CallClient(Loop &loop)
    : m_loop(loop)
{
}

CallClient::~CallClient() = default;

CallClient::Key CallClient::addStream(const std::shared_ptr<Link> &link, std::uint64_t stream,
                                      std::shared_ptr<ResponseSink> sink)
{
    const Key key(link.get(), stream);
    m_streams.emplace(key, std::make_unique<Stream>(link, std::move(sink)));
    return key;
}

std::unique_ptr<AttemptHandle> CallClient::open(const std::shared_ptr<Link> &link, OpenMessage open,
                                                const std::string &body, std::shared_ptr<ResponseSink> sink)
{
    open.stream = ++m_lastStream;
    open.bodyBytes = body.size();
    const Key key = addStream(link, open.stream, std::move(sink));
    m_streams.at(key)->priority.remaining = body.size();
    link->send(static_cast<FrameType>(CallFrame::Open), encodeMessage(open));
    sendBody(key, body);
    return std::make_unique<RemoteHandle>(*this, key);
}

std::unique_ptr<AttemptHandle> CallClient::openUpload(const std::shared_ptr<Link> &link, OpenMessage open,
                                                      std::string_view body, std::optional<std::uint64_t> length,
                                                      std::shared_ptr<ResponseSink> sink)
{
    open.stream = ++m_lastStream;
    open.bodyBytes = length.value_or(OpenMessage::UnknownBodyBytes);
    const Key key = addStream(link, open.stream, sink);
    Stream &stream = *m_streams.at(key);
    stream.priority.remaining = length;
    stream.isLengthKnown = length.has_value();
    const bool isSupported = link->peerSupports(LinkFeature::Uploads);
    if (!isSupported && !length) {
        m_streams.erase(key);
        m_loop.post([sink = std::move(sink)] { sink->refused(ResultCode::PeerUnreachable, "", TargetReport {}); });
        return std::make_unique<RemoteHandle>(*this, key);
    }
    if (!isSupported) {
        m_unreported.emplace(key, 0);
    }
    link->send(static_cast<FrameType>(isSupported ? CallFrame::OpenUpload : CallFrame::Open), encodeMessage(open));
    sendBody(key, body);
    return std::make_unique<RemoteHandle>(*this, key);
}

void CallClient::sendBody(const Key &key, std::string_view bytes)
{
    const auto found = m_streams.find(key);
    if (found == m_streams.end()) {
        return;
    }
    Stream &stream = *found->second;
    const auto unreported = m_unreported.find(key);
    if (unreported != m_unreported.end()) {
        unreported->second += bytes.size();
    }
    while (!bytes.empty()) {
        const std::string_view piece = bytes.substr(0, CallProtocol::MaxPieceBytes);
        bytes.remove_prefix(piece.size());
        stream.link->sendBulk(StreamId(key.second), static_cast<FrameType>(CallFrame::RequestBody),
                              encodeDataFrame(key.second, piece), stream.priority);
        stream.priority.advance(piece.size());
    }
}

void CallClient::endBody(const Key &key)
{
    const auto found = m_streams.find(key);
    if (found == m_streams.end() || found->second->isLengthKnown) {
        return;
    }
    // Behind the last piece.
    found->second->link->sendBulk(StreamId(key.second), static_cast<FrameType>(CallFrame::UploadEnd),
                                  encodeMessage(UploadEndMessage {key.second}), found->second->priority);
}

void CallClient::reportWritten()
{
    const auto uploads = m_unreported;
    for (const auto &[key, bytes] : uploads) {
        const auto found = m_streams.find(key);
        if (found == m_streams.end()) {
            m_unreported.erase(key);
            continue;
        }
        if (bytes == 0 || found->second->link->hasBulk(StreamId(key.second))) {
            continue;
        }
        m_unreported[key] = 0;
        const auto sink = found->second->sink;
        sink->consumed(bytes);
    }
}

std::unique_ptr<AttemptHandle> CallClient::fence(const std::shared_ptr<Link> &link, FenceMessage fence,
                                                 std::shared_ptr<ResponseSink> sink)
{
    fence.stream = ++m_lastStream;
    const Key key = addStream(link, fence.stream, std::move(sink));
    link->send(static_cast<FrameType>(CallFrame::Fence), encodeMessage(fence));
    return std::make_unique<RemoteHandle>(*this, key);
}

std::shared_ptr<ResponseSink> CallClient::sinkOf(const Key &key) const
{
    const auto found = m_streams.find(key);
    return found == m_streams.end() ? nullptr : found->second->sink;
}

void CallClient::onFrame(const std::shared_ptr<Link> &link, CallFrame type, std::string_view payload)
{
    if (type == CallFrame::Data) {
        const DataFrame frame = decodeDataFrame(payload);
        if (const auto sink = sinkOf({link.get(), frame.stream})) {
            sink->data(frame.bytes);
        }
        return;
    }
    if (type == CallFrame::Consumed) {
        const auto message = decodeMessage<ConsumedMessage>(payload, ResultCode::FrameMalformed);
        if (const auto sink = sinkOf({link.get(), message.stream})) {
            sink->consumed(message.bytes);
        }
        return;
    }
    if (type == CallFrame::Head) {
        const auto head = decodeMessage<HeadMessage>(payload, ResultCode::FrameMalformed);
        if (!isFinalStatus(head.status)) {
            throw ResultError(ResultCode::FrameMalformed, "status " + std::to_string(head.status));
        }
        if (const auto sink = sinkOf({link.get(), head.stream})) {
            sink->head(head);
        }
        return;
    }
    if (type == CallFrame::FenceReply) {
        const auto reply = decodeMessage<FenceReplyMessage>(payload, ResultCode::FrameMalformed);
        if (reply.status > static_cast<std::uint8_t>(FenceStatus::Unknown)) {
            throw ResultError(ResultCode::FrameMalformed, "unknown fence status");
        }
        if (const auto sink = sinkOf({link.get(), reply.stream})) {
            sink->fenced(static_cast<FenceStatus>(reply.status));
        }
        return;
    }
    onLastFrame(link, type, payload);
}

void CallClient::onLastFrame(const std::shared_ptr<Link> &link, CallFrame type, std::string_view payload)
{
    if (type == CallFrame::End) {
        const auto message = decodeMessage<EndMessage>(payload, ResultCode::FrameMalformed);
        const Key key(link.get(), message.stream);
        if (const auto sink = sinkOf(key)) {
            m_streams.erase(key);
            sink->end(resultFromNumber(static_cast<int>(message.code)).value_or(ResultCode::OutcomeUnknown),
                      message.detail);
        }
        return;
    }
    if (type == CallFrame::Refused) {
        const auto message = decodeMessage<RefusedMessage>(payload, ResultCode::FrameMalformed);
        const Key key(link.get(), message.stream);
        if (const auto sink = sinkOf(key)) {
            m_streams.erase(key);
            sink->refused(resultFromNumber(static_cast<int>(message.code)).value_or(ResultCode::OutcomeUnknown),
                          message.detail, message.report);
        }
        return;
    }
    throw ResultError(ResultCode::FrameMalformed, "unknown frame type");
}

void CallClient::onLinkDown(const std::shared_ptr<Link> &link)
{
    const auto first = m_streams.lower_bound({link.get(), 0});
    auto last = first;
    while (last != m_streams.end() && last->first.first == link.get()) {
        ++last;
    }
    m_streams.erase(first, last);
}

void CallClient::cancel(const Key &key)
{
    withdraw(key);
    m_streams.erase(key);
}

void CallClient::withdraw(const Key &key)
{
    const auto found = m_streams.find(key);
    if (found == m_streams.end()) {
        return;
    }
    const auto &link = found->second->link;
    link->dropBulk(StreamId(key.second));
    link->send(static_cast<FrameType>(CallFrame::Cancel), encodeMessage(CancelMessage {key.second}));
}

void CallClient::credit(const Key &key, std::size_t bytes)
{
    const auto found = m_streams.find(key);
    if (found == m_streams.end()) {
        return;
    }
    found->second->link->send(static_cast<FrameType>(CallFrame::Credit),
                              encodeMessage(CreditMessage {key.second, bytes}));
}

} // namespace jasminemast
