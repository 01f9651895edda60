// Encodes and decodes the messages of the control task.
#include "jasminemast/spread/messages.h"

#include "jasminemast/support/result.h"
#include "wire.h"

#include <zstd.h>

namespace jasminemast
{

namespace
{

constexpr int CompressionLevel = 3;
constexpr std::uint8_t ProtocolVersion = 1;

enum SenderFlag : std::uint8_t {
    LeavingFlag = 1,
    ReaderFlag = 2,
    ServiceReachableFlag = 4,
    AcceptedHeadFlag = 8, ///< the accepted head follows, since it differs from the applied one
};

template<class Archive>
void serializeSender(Archive &archive, Sender &sender)
{
    wire::name(archive, sender.host);
    archive(sender.incarnation, sender.refutation, sender.applied);
    const Head appliedHead {sender.applied.number, sender.applied.ticketDigest};
    std::uint8_t flags = 0;
    flags |= sender.leaving ? LeavingFlag : 0;
    flags |= sender.reader ? ReaderFlag : 0;
    flags |= sender.serviceReachable ? ServiceReachableFlag : 0;
    flags |= sender.accepted != appliedHead ? AcceptedHeadFlag : 0;
    archive(flags);
    if constexpr (Archive::is_loading::value) {
        sender.leaving = (flags & LeavingFlag) != 0;
        sender.reader = (flags & ReaderFlag) != 0;
        sender.serviceReachable = (flags & ServiceReachableFlag) != 0;
        sender.accepted = appliedHead;
    }
    if ((flags & AcceptedHeadFlag) != 0) {
        archive(sender.accepted);
    }
}

template<class Archive>
void serializeUpdate(Archive &archive, MembershipUpdate &update)
{
    wire::name(archive, update.host);
    auto liveness = static_cast<std::uint8_t>(update.liveness);
    archive(update.incarnation, update.refutation, liveness);
    if (liveness > static_cast<std::uint8_t>(Liveness::Dead)) {
        throw std::out_of_range("unknown liveness");
    }
    update.liveness = static_cast<Liveness>(liveness);
}

template<class Archive>
void serializeSummary(Archive &archive, ZoneSummary &summary)
{
    wire::name(archive, summary.zone);
    archive(summary.liveHosts, summary.reportingHosts, summary.divergentHosts);
    archive(summary.lowest, summary.highest, summary.stateDigestPrefix);
    wire::list(archive, summary.laggards, ZoneSummary::MaxLaggards, [](auto &inner, Laggard &laggard) {
        wire::name(inner, laggard.host);
        inner(laggard.number);
    });
    wire::list(archive, summary.dead, ZoneSummary::MaxDead, [](auto &inner, HostId &host) { wire::name(inner, host); });
    auto ageMs = static_cast<std::uint32_t>(summary.age.count());
    archive(ageMs);
    summary.age = Milliseconds(ageMs);
}

template<class Archive>
void serializeFields(Archive &archive, Ping &ping)
{
    archive(ping.sequence);
    wire::name(archive, ping.onBehalfOf);
}

template<class Archive>
void serializeFields(Archive &archive, PingRequest &request)
{
    archive(request.sequence);
    wire::name(archive, request.target);
}

template<class Archive>
void serializeFields(Archive &archive, Ack &ack)
{
    archive(ack.sequence);
    wire::name(archive, ack.onBehalfOf);
}

template<class Archive>
void serializeFields(Archive &, Announce &)
{
}

template<class Archive>
void serializeFields(Archive &, Report &)
{
}

/// Sets \p body to its alternative with index \p index.
template<std::size_t Index = 0>
void selectBody(ControlBody &body, std::size_t index)
{
    if constexpr (Index < std::variant_size_v<ControlBody>) {
        if (index == Index) {
            body.emplace<Index>();
            return;
        }
        selectBody<Index + 1>(body, index);
    } else {
        throw std::out_of_range("unknown kind of message");
    }
}

template<class Archive>
void serializeFields(Archive &archive, ControlMessage &message)
{
    serializeSender(archive, message.sender);
    wire::list(archive, message.updates, ControlMessage::MaxUpdates,
               [](auto &inner, MembershipUpdate &update) { serializeUpdate(inner, update); });
    wire::list(archive, message.summaries, ControlMessage::MaxSummaries,
               [](auto &inner, ZoneSummary &summary) { serializeSummary(inner, summary); });
    auto kind = static_cast<std::uint8_t>(message.body.index());
    archive(kind);
    if constexpr (Archive::is_loading::value) {
        selectBody(message.body, kind);
    }
    std::visit([&archive](auto &body) { serializeFields(archive, body); }, message.body);
}

template<class Archive>
void serializeFields(Archive &archive, PullRequest &request)
{
    archive(request.id, request.after, request.fetch);
    serializeSender(archive, request.sender);
}

template<class Archive>
void serializeFields(Archive &archive, PullReply &reply)
{
    auto result = static_cast<std::uint8_t>(reply.result);
    archive(reply.id, result);
    if (result > static_cast<std::uint8_t>(PullResult::Behind)) {
        throw std::out_of_range("unknown result of a pull");
    }
    reply.result = static_cast<PullResult>(result);
    serializeSender(archive, reply.sender);
    wire::list(archive, reply.tickets, PullReply::MaxTickets, [](auto &inner, TicketBody &ticket) {
        inner(ticket.number);
        wire::text(inner, ticket.bytes, TicketLimits::MaxBytes);
    });
    wire::text(archive, reply.snapshot, PullReply::MaxUncompressedBytes);
}

template<class Message>
std::string encode(const Message &message)
{
    std::string bytes;
    EncodeArchive archive(bytes);
    archive(ProtocolVersion);
    Message copy = message;
    serializeFields(archive, copy);
    return bytes;
}

template<class Message>
Message decode(std::string_view bytes, ResultCode code)
{
    // The archive throws on a short read, and the bounded fields throw on an excessive length.
    try {
        DecodeArchive archive(bytes);
        std::uint8_t version = 0;
        archive(version);
        if (version != ProtocolVersion) {
            throw ResultError(code, "protocol version " + std::to_string(version));
        }
        Message message;
        serializeFields(archive, message);
        if (archive.remaining() != 0) {
            throw ResultError(code, "bytes after the end of the message");
        }
        return message;
    } catch (const ResultError &) {
        throw;
    } catch (const std::exception &error) {
        throw ResultError(code, error.what());
    }
}

std::string compress(const std::string &uncompressed)
{
    std::string compressed(ZSTD_compressBound(uncompressed.size()), '\0');
    const auto size = ZSTD_compress(compressed.data(), compressed.size(), uncompressed.data(), uncompressed.size(),
                                    CompressionLevel);
    if (ZSTD_isError(size) != 0U) {
        throw ResultError(ResultCode::InternalError, ZSTD_getErrorName(size));
    }
    compressed.resize(size);
    return compressed;
}

std::string decompress(std::string_view compressed)
{
    const auto uncompressedSize = ZSTD_getFrameContentSize(compressed.data(), compressed.size());
    if (uncompressedSize == ZSTD_CONTENTSIZE_ERROR || uncompressedSize == ZSTD_CONTENTSIZE_UNKNOWN) {
        throw ResultError(ResultCode::FrameMalformed, "not a compressed frame of known size");
    }
    if (uncompressedSize > PullReply::MaxUncompressedBytes) {
        throw ResultError(ResultCode::FrameTooLarge, "decompresses to " + std::to_string(uncompressedSize) + " bytes");
    }
    std::string uncompressed(uncompressedSize, '\0');
    const auto size = ZSTD_decompress(uncompressed.data(), uncompressed.size(), compressed.data(), compressed.size());
    if (ZSTD_isError(size) != 0U || size != uncompressedSize) {
        throw ResultError(ResultCode::FrameMalformed, "damaged compressed frame");
    }
    return uncompressed;
}

} // namespace

std::string encodeControlMessage(const ControlMessage &message)
{
    return encode(message);
}

ControlMessage decodeControlMessage(std::string_view bytes)
{
    return decode<ControlMessage>(bytes, ResultCode::DatagramMalformed);
}

std::string encodePullRequest(const PullRequest &request)
{
    return encode(request);
}

PullRequest decodePullRequest(std::string_view bytes)
{
    return decode<PullRequest>(bytes, ResultCode::FrameMalformed);
}

std::string encodePullReply(const PullReply &reply)
{
    return compress(encode(reply));
}

PullReply decodePullReply(std::string_view bytes)
{
    return decode<PullReply>(decompress(bytes), ResultCode::FrameMalformed);
}

} // namespace jasminemast
