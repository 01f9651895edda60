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
    SourceFreshFlag = 4,
    AheadFlag = 8, ///< an accepted head beyond the applied number follows
};

template<class Archive>
void carrySender(Archive &archive, Sender &sender)
{
    wire::name(archive, sender.host);
    archive(sender.incarnation, sender.refutation, sender.applied);
    const Head appliedHead {sender.applied.number, sender.applied.ticketDigest};
    std::uint8_t flags = 0;
    flags |= sender.leaving ? LeavingFlag : 0;
    flags |= sender.reader ? ReaderFlag : 0;
    flags |= sender.sourceFresh ? SourceFreshFlag : 0;
    flags |= sender.accepted != appliedHead ? AheadFlag : 0;
    archive(flags);
    if constexpr (Archive::is_loading::value) {
        sender.leaving = (flags & LeavingFlag) != 0;
        sender.reader = (flags & ReaderFlag) != 0;
        sender.sourceFresh = (flags & SourceFreshFlag) != 0;
        sender.accepted = appliedHead;
    }
    if ((flags & AheadFlag) != 0) {
        archive(sender.accepted);
    }
}

template<class Archive>
void carryRumour(Archive &archive, MemberRumour &rumour)
{
    wire::name(archive, rumour.host);
    auto liveness = static_cast<std::uint8_t>(rumour.liveness);
    archive(rumour.incarnation, rumour.refutation, liveness);
    if (liveness > static_cast<std::uint8_t>(Liveness::Dead)) {
        throw std::out_of_range("unknown liveness");
    }
    rumour.liveness = static_cast<Liveness>(liveness);
}

template<class Archive>
void carrySummary(Archive &archive, ZoneSummary &summary)
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
void carry(Archive &archive, Ping &ping)
{
    archive(ping.sequence);
    wire::name(archive, ping.onBehalfOf);
}

template<class Archive>
void carry(Archive &archive, PingRequest &request)
{
    archive(request.sequence);
    wire::name(archive, request.target);
}

template<class Archive>
void carry(Archive &archive, Ack &ack)
{
    archive(ack.sequence);
    wire::name(archive, ack.onBehalfOf);
}

template<class Archive>
void carry(Archive &, Announce &)
{
}

template<class Archive>
void carry(Archive &, Report &)
{
}

/// Makes \p body hold its alternative number \p index.
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
void carry(Archive &archive, ControlMessage &message)
{
    carrySender(archive, message.sender);
    wire::list(archive, message.rumours, ControlMessage::MaxRumours,
               [](auto &inner, MemberRumour &rumour) { carryRumour(inner, rumour); });
    wire::list(archive, message.summaries, ControlMessage::MaxSummaries,
               [](auto &inner, ZoneSummary &summary) { carrySummary(inner, summary); });
    auto kind = static_cast<std::uint8_t>(message.body.index());
    archive(kind);
    if constexpr (Archive::is_loading::value) {
        selectBody(message.body, kind);
    }
    std::visit([&archive](auto &body) { carry(archive, body); }, message.body);
}

template<class Archive>
void carry(Archive &archive, PullRequest &request)
{
    archive(request.id, request.after, request.fetch);
    carrySender(archive, request.sender);
}

template<class Archive>
void carry(Archive &archive, PullReply &answer)
{
    auto result = static_cast<std::uint8_t>(answer.result);
    archive(answer.id, result);
    if (result > static_cast<std::uint8_t>(PullResult::Behind)) {
        throw std::out_of_range("unknown result of a pull");
    }
    answer.result = static_cast<PullResult>(result);
    carrySender(archive, answer.sender);
    wire::list(archive, answer.tickets, PullReply::MaxTickets, [](auto &inner, TicketBody &ticket) {
        inner(ticket.number);
        wire::text(inner, ticket.bytes, TicketLimits::MaxBytes);
    });
    wire::text(archive, answer.snapshot, PullReply::MaxUncompressedBytes);
}

template<class Message>
std::string encode(const Message &message)
{
    std::string bytes;
    EncodeArchive archive(bytes);
    archive(ProtocolVersion);
    Message copy = message;
    carry(archive, copy);
    return bytes;
}

template<class Message>
Message decode(std::string_view bytes, ResultCode code)
{
    // The archive reports a short read by exception; the bounded fields report a hostile length the same way.
    try {
        DecodeArchive archive(bytes);
        std::uint8_t version = 0;
        archive(version);
        if (version != ProtocolVersion) {
            throw ResultError(code, "protocol version " + std::to_string(version));
        }
        Message message;
        carry(archive, message);
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

std::string compress(const std::string &plain)
{
    std::string packed(ZSTD_compressBound(plain.size()), '\0');
    const auto size = ZSTD_compress(packed.data(), packed.size(), plain.data(), plain.size(), CompressionLevel);
    if (ZSTD_isError(size) != 0U) {
        throw ResultError(ResultCode::InternalError, ZSTD_getErrorName(size));
    }
    packed.resize(size);
    return packed;
}

std::string decompress(std::string_view packed)
{
    const auto plainSize = ZSTD_getFrameContentSize(packed.data(), packed.size());
    if (plainSize == ZSTD_CONTENTSIZE_ERROR || plainSize == ZSTD_CONTENTSIZE_UNKNOWN) {
        throw ResultError(ResultCode::FrameMalformed, "not a compressed frame of known size");
    }
    if (plainSize > PullReply::MaxUncompressedBytes) {
        throw ResultError(ResultCode::FrameTooLarge, "unpacks to " + std::to_string(plainSize) + " bytes");
    }
    std::string plain(plainSize, '\0');
    const auto size = ZSTD_decompress(plain.data(), plain.size(), packed.data(), packed.size());
    if (ZSTD_isError(size) != 0U || size != plainSize) {
        throw ResultError(ResultCode::FrameMalformed, "damaged compressed frame");
    }
    return plain;
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

std::string encodePullReply(const PullReply &answer)
{
    return compress(encode(answer));
}

PullReply decodePullReply(std::string_view bytes)
{
    return decode<PullReply>(decompress(bytes), ResultCode::FrameMalformed);
}

} // namespace jasminemast
