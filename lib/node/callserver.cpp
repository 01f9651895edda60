// Frames and streams of attempts from other nodes.
#include "jasminemast/node/callserver.h"

#include "jasminemast/call/requestupload.h"
#include "jasminemast/net/linkreference.h"
#include "jasminemast/support/events.h"

#include <algorithm>

namespace jasminemast
{

namespace
{

void logDroppedResponses(const Link &link, ResultCode code, std::size_t bytes)
{
    if (bytes == 0) {
        return;
    }
    logEvent(
        Event::ResponsesDropped,
        {{"peer", link.peer().host.value()}, {"code", std::to_string(number(code))}, {"bytes", std::to_string(bytes)}});
}

} // namespace

/// One attempt from another node. Retains its link while it exists.
struct CallServer::Stream : LinkReference
{
    using LinkReference::LinkReference;

    OpenMessage open;
    ArrivalTime arrival; ///< of the message
    std::string body; ///< of a request that is collected
    MemoryReservation memory; ///< for the body while it is collected
    std::uint64_t received = 0; ///< bytes of the body
    std::uint64_t consumed = 0; ///< of an upload, by the target
    bool isUpload = false;
    bool isBodyComplete = false;
    std::unique_ptr<AttemptHandle> attempt; ///< null until the request body is complete, except for an upload
};

/// Sends a response back over the link of its attempt.
class CallServer::LinkSink final : public ResponseSink
{
public:
    /// Responses past their soft deadline are sent with lower priority.
    LinkSink(CallServer &server, std::shared_ptr<Link> link, std::uint64_t stream, TimePoint softDeadline)
        : m_server(server)
        , m_link(std::move(link))
        , m_stream(stream)
    {
        m_priority.softDeadline = softDeadline;
    }

    void refused(ResultCode code, const std::string &detail, const TargetReport &report) override
    {
        const RefusedMessage message {m_stream, static_cast<std::uint32_t>(number(code)), detail, report};
        m_link->send(static_cast<FrameType>(CallFrame::Refused), encodeMessage(message));
        m_server.erase({m_link.get(), m_stream});
    }

    void head(const HeadMessage &head) override
    {
        HeadMessage message = head;
        message.stream = m_stream;
        m_priority.remaining = head.length;
        m_link->send(static_cast<FrameType>(CallFrame::Head), encodeMessage(message));
    }

    void data(std::string_view bytes) override
    {
        while (!bytes.empty()) {
            const std::string_view piece = bytes.substr(0, CallProtocol::MaxPieceBytes);
            bytes.remove_prefix(piece.size());
            m_link->sendBulk(StreamId(m_stream), static_cast<FrameType>(CallFrame::Data),
                             encodeDataFrame(m_stream, piece), m_priority);
            m_priority.advance(piece.size());
        }
    }

    void end(ResultCode code, const std::string &detail) override
    {
        const EndMessage message {m_stream, static_cast<std::uint32_t>(number(code)), detail};
        m_link->sendBulk(StreamId(m_stream), static_cast<FrameType>(CallFrame::End), encodeMessage(message),
                         m_priority);
        m_server.erase({m_link.get(), m_stream});
    }

    void consumed(std::size_t bytes) override
    {
        const auto found = m_server.m_streams.find({m_link.get(), m_stream});
        if (found != m_server.m_streams.end()) {
            found->second->consumed += bytes;
            m_link->send(static_cast<FrameType>(CallFrame::Consumed), encodeMessage(ConsumedMessage {m_stream, bytes}));
        }
    }

    void fenced(FenceStatus status) override
    {
        const FenceReplyMessage message {m_stream, static_cast<std::uint8_t>(status)};
        m_link->send(static_cast<FrameType>(CallFrame::FenceReply), encodeMessage(message));
        if (status != FenceStatus::Running && status != FenceStatus::Done) {
            m_server.erase({m_link.get(), m_stream});
        }
    }

private:
    CallServer &m_server;
    std::shared_ptr<Link> m_link;
    std::uint64_t m_stream;
    BulkPriority m_priority; ///< of the next piece of the response
};

CallServer::CallServer(TargetProxy &targetProxy, const Clock &clock, const PauseDetector &pauseDetector,
                       std::size_t maxRequestBytes, MemoryBudget &memory)
    : m_targetProxy(targetProxy)
    , m_clock(clock)
    , m_pauseDetector(pauseDetector)
    , m_maxRequestBytes(maxRequestBytes)
    , m_memory(memory)
{
}

CallServer::~CallServer() = default;

void CallServer::onFrame(const std::shared_ptr<Link> &link, CallFrame type, std::string_view payload)
{
    if (type == CallFrame::Open || type == CallFrame::OpenUpload) {
        onOpen(link, payload, type == CallFrame::OpenUpload);
        return;
    }
    if (type == CallFrame::UploadEnd) {
        onUploadEnd(link, payload);
        return;
    }
    if (type == CallFrame::RequestBody) {
        onRequestBody(link, payload);
        return;
    }
    if (type == CallFrame::Credit) {
        onCredit(link, payload);
        return;
    }
    if (type == CallFrame::Cancel) {
        onCancel(link, payload);
        return;
    }
    if (type == CallFrame::Fence) {
        onFence(link, payload);
        return;
    }
    throw ResultError(ResultCode::FrameMalformed, "unknown frame type");
}

void CallServer::onCredit(const std::shared_ptr<Link> &link, std::string_view payload)
{
    const auto message = decodeMessage<CreditMessage>(payload, ResultCode::FrameMalformed);
    const auto found = m_streams.find({link.get(), message.stream});
    if (found != m_streams.end() && found->second->attempt) {
        found->second->attempt->credit(message.bytes);
    }
}

void CallServer::onCancel(const std::shared_ptr<Link> &link, std::string_view payload)
{
    const auto message = decodeMessage<CancelMessage>(payload, ResultCode::FrameMalformed);
    const auto found = m_streams.find({link.get(), message.stream});
    if (found != m_streams.end()) {
        if (found->second->attempt) {
            found->second->attempt->cancel(ResultCode::CallWithdrawn);
        } else {
            // The request body is incomplete.
            refuse(link, message.stream, ResultCode::CallWithdrawn);
        }
        m_streams.erase(found);
    }
    // The stream of a finished response is gone while its frames may still be queued.
    logDroppedResponses(*link, ResultCode::CallWithdrawn, link->dropBulk(StreamId(message.stream)));
}

void CallServer::onFence(const std::shared_ptr<Link> &link, std::string_view payload)
{
    const auto fence = decodeMessage<FenceMessage>(payload, ResultCode::FrameMalformed);
    const Key key(link.get(), fence.stream);
    if (m_streams.contains(key)) {
        throw ResultError(ResultCode::FrameMalformed, "stream opened twice");
    }
    auto stream = std::make_unique<Stream>(link);
    stream->arrival = {m_clock.now(), m_clock.now()};
    stream->attempt
        = m_targetProxy.fence(fence, std::make_shared<LinkSink>(*this, link, fence.stream, TimePoint::max()));
    m_streams.emplace(key, std::move(stream));
}

void CallServer::refuse(const std::shared_ptr<Link> &link, std::uint64_t stream, ResultCode code)
{
    const RefusedMessage message {stream, static_cast<std::uint32_t>(number(code)), ""};
    link->send(static_cast<FrameType>(CallFrame::Refused), encodeMessage(message));
}

void CallServer::onOpen(const std::shared_ptr<Link> &link, std::string_view payload, bool isUpload)
{
    auto open = decodeMessage<OpenMessage>(payload, ResultCode::FrameMalformed);
    const bool isLengthKnown = !isUpload || open.bodyBytes != OpenMessage::UnknownBodyBytes;
    if (isLengthKnown && open.bodyBytes > m_maxRequestBytes) {
        throw ResultError(ResultCode::RequestTooLarge, std::to_string(open.bodyBytes) + " bytes");
    }
    const Key key(link.get(), open.stream);
    if (m_streams.contains(key)) {
        throw ResultError(ResultCode::FrameMalformed, "stream opened twice");
    }
    if (m_ticketObserver) {
        m_ticketObserver(link->peer().host, open.ticket);
    }
    auto stream = std::make_unique<Stream>(link);
    stream->open = std::move(open);
    stream->arrival = m_pauseDetector.arrivalTime(m_clock.now());
    stream->isUpload = isUpload;
    if (!isUpload && stream->open.bodyBytes > 0) {
        const auto addition = m_memory.add(MemoryUse::Requests, ByteCount(stream->open.bodyBytes), false);
        if (!addition.holder) {
            refuse(link, stream->open.stream, ResultCode::MemoryShort);
            return;
        }
        stream->memory = MemoryReservation(m_memory, *addition.holder);
    }
    Stream &opened = *stream;
    m_streams.emplace(key, std::move(stream));
    if (isUpload) {
        start(link, opened);
    } else {
        startIfComplete(link, opened);
    }
}

void CallServer::onRequestBody(const std::shared_ptr<Link> &link, std::string_view payload)
{
    const DataFrame frame = decodeDataFrame(payload);
    const Key key(link.get(), frame.stream);
    const auto found = m_streams.find(key);
    if (found == m_streams.end()) {
        return;
    }
    Stream &stream = *found->second;
    if (stream.isBodyComplete || stream.received + frame.bytes.size() > stream.open.bodyBytes) {
        throw ResultError(ResultCode::FrameMalformed, "request body longer than announced");
    }
    stream.received += frame.bytes.size();
    if (stream.isUpload) {
        passOn(key, stream, frame.bytes);
        return;
    }
    stream.body.append(frame.bytes);
    startIfComplete(link, stream);
}

void CallServer::passOn(const Key &key, Stream &stream, std::string_view bytes)
{
    if (stream.received - stream.consumed > UploadLimits::WindowBytes) {
        throw ResultError(ResultCode::FrameMalformed, "upload beyond its window");
    }
    if (stream.received > m_maxRequestBytes) {
        const auto handle = std::move(stream.attempt);
        const EndMessage end {key.second, static_cast<std::uint32_t>(number(ResultCode::RequestTooLarge)), ""};
        stream.link->sendBulk(StreamId(key.second), static_cast<FrameType>(CallFrame::End), encodeMessage(end));
        m_streams.erase(key);
        handle->cancel(ResultCode::RequestTooLarge);
        return;
    }
    stream.attempt->sendBody(bytes);
    if (stream.received == stream.open.bodyBytes) {
        stream.isBodyComplete = true;
        stream.attempt->endBody();
    }
}

void CallServer::onUploadEnd(const std::shared_ptr<Link> &link, std::string_view payload)
{
    const auto message = decodeMessage<UploadEndMessage>(payload, ResultCode::FrameMalformed);
    const auto found = m_streams.find({link.get(), message.stream});
    if (found == m_streams.end()) {
        return;
    }
    Stream &stream = *found->second;
    if (!stream.isUpload || stream.isBodyComplete) {
        throw ResultError(ResultCode::FrameMalformed, "unexpected end of an upload");
    }
    stream.isBodyComplete = true;
    stream.attempt->endBody();
}

void CallServer::startIfComplete(const std::shared_ptr<Link> &link, Stream &stream)
{
    if (stream.received == stream.open.bodyBytes) {
        stream.isBodyComplete = true;
        start(link, stream);
    }
}

void CallServer::start(const std::shared_ptr<Link> &link, Stream &stream)
{
    const OpenMessage open = stream.open;
    const TimePoint softDeadline = open.softTimeoutMs == INT32_MAX
        ? TimePoint::max()
        : stream.arrival.earliest + Milliseconds(open.softTimeoutMs);
    const auto sink = std::make_shared<LinkSink>(*this, link, open.stream, softDeadline);
    // The attempt counts its body itself.
    stream.memory.release();
    stream.attempt
        = m_targetProxy.open(open, AttemptBody {std::move(stream.body), !stream.isUpload}, sink, stream.arrival);
}

void CallServer::erase(const Key &key)
{
    m_streams.erase(key);
}

void CallServer::onLinkDown(const std::shared_ptr<Link> &link)
{
    if (!link->isOutgoing()) {
        logDroppedResponses(*link, ResultCode::LinkLost, link->lostBulkBytes());
    }
    auto position = m_streams.lower_bound({link.get(), 0});
    while (position != m_streams.end() && position->first.first == link.get()) {
        Stream &stream = *position->second;
        // The rest of an incomplete upload can't arrive any more.
        if (stream.attempt && (stream.open.repeatable || (stream.isUpload && !stream.isBodyComplete))) {
            stream.attempt->cancel(ResultCode::LinkLost);
        }
        position = m_streams.erase(position);
    }
}

} // namespace jasminemast
