// Messages about calls that nodes send each other over links.
#pragma once

#include "jasminemast/call/attempt.h"
#include "jasminemast/support/archive.h"
#include "jasminemast/support/ids.h"
#include "jasminemast/support/result.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace jasminemast
{

/// Frame types of the call protocol; control traffic has the types from 64 on.
enum class CallFrame : std::uint8_t {
    Open = 16, ///< OpenMessage: start of an attempt
    RequestBody = 17, ///< DataFrame: piece of a request body
    Refused = 18, ///< RefusedMessage: the attempt was not run
    Head = 19, ///< HeadMessage: status and headers of the response
    Data = 20, ///< DataFrame: piece of a response body
    End = 21, ///< EndMessage: end of the response
    Credit = 22, ///< CreditMessage: the requester consumed response bytes
    Cancel = 23, ///< CancelMessage: the requester no longer needs the response
    Fence = 24, ///< FenceMessage: asks for the state of an attempt whose link was lost
    FenceReply = 25, ///< FenceReplyMessage; Head, Data and End follow when the attempt runs or is done
    Announce = 26, ///< AnnounceMessage: an endpoint takes no new calls, or takes them again; or the sender exits
    OpenUpload = 27, ///< OpenMessage: start of an attempt that may run before all of its request body has arrived
    UploadEnd = 28, ///< UploadEndMessage: end of a request body of unknown length
    Consumed = 29, ///< ConsumedMessage: the target has taken bytes of the request body
};

using HeaderFields = std::vector<std::pair<std::string, std::string>>;

/// What the node beside a target knows about it, sent with every reply.
struct TargetReport
{
    float load = 0; ///< running and queued attempts divided by the slots that the target can use
    float pace = 1; ///< how long work takes there at this moment, relative to what is usual
    float failureShare = 0; ///< of the latest attempts, those that the target turned away or answered with a failure

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(load, pace, failureShare);
    }
};

/// Asks the target's node to run one attempt of a call.
struct OpenMessage
{
    std::uint64_t stream = 0; ///< identifies the attempt on this link; assigned by the requester
    AttemptId attempt;
    Incarnation peer; ///< process that the message is meant for
    LinkGeneration generation; ///< of this link, as counted by the requester
    std::uint32_t remainingMs = 0; ///< as in OpenRequest
    std::uint32_t responseTimeoutMs = 0; ///< as in OpenRequest
    TicketNumber ticket; ///< configuration that the requester used for routing
    EndpointId endpoint;
    bool repeatable = false; ///< idempotent: may run more than once
    std::uint32_t priority = 0; ///< of the route; 0 is the most urgent
    std::int32_t softTimeoutMs = INT32_MAX; ///< time left until the soft deadline; negative: it has passed
    std::string method;
    std::string target; ///< path and query
    HeaderFields headers;
    /// Length of the request body that follows in RequestBody frames, or UnknownBodyBytes.
    std::uint64_t bodyBytes = 0;

    /// The body ends with UploadEnd; only in OpenUpload.
    static constexpr std::uint64_t UnknownBodyBytes = UINT64_MAX;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(stream, attempt, peer, generation, remainingMs, responseTimeoutMs, ticket, endpoint, repeatable,
                priority);
        archive(softTimeoutMs, method, target, headers, bodyBytes);
    }
};

/// The attempt was not run and never will be.
struct RefusedMessage
{
    std::uint64_t stream = 0;
    std::uint32_t code = 0; ///< number of a ResultCode
    std::string detail;
    TargetReport report {};

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(stream, code, detail, report);
    }
};

/// Start of the response.
struct HeadMessage
{
    std::uint64_t stream = 0;
    std::uint32_t status = 0;
    HeaderFields headers;
    std::optional<std::uint64_t> length; ///< body length, when known
    TicketNumber ticket; ///< configuration of the target's node
    TargetReport report {};

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(stream, status, headers, length, ticket, report);
    }
};

/// End of the response: complete when the code is Ok, otherwise truncated and the outcome is unknown.
struct EndMessage
{
    std::uint64_t stream = 0;
    std::uint32_t code = 0;
    std::string detail;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(stream, code, detail);
    }
};

/// Permits the sender of the response to send that many more bytes of its body.
struct CreditMessage
{
    std::uint64_t stream = 0;
    std::uint64_t bytes = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(stream, bytes);
    }
};

struct UploadEndMessage
{
    std::uint64_t stream = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(stream);
    }
};

/// Permits the sender of a request body to send that many more bytes.
struct ConsumedMessage
{
    std::uint64_t stream = 0;
    std::uint64_t bytes = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(stream, bytes);
    }
};

struct CancelMessage
{
    std::uint64_t stream = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(stream);
    }
};

/// Asks for the state of an attempt, and has it refused permanently if it never arrived.
struct FenceMessage
{
    std::uint64_t stream = 0; ///< identifies the attempt on this link from now on
    AttemptId attempt;
    Incarnation peer; ///< process that the attempt was sent to
    LinkGeneration generation; ///< of this link, as counted by the requester

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(stream, attempt, peer, generation);
    }
};

struct FenceReplyMessage
{
    std::uint64_t stream = 0;
    std::uint8_t status = 0; ///< a FenceStatus

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(stream, status);
    }
};

/// Says whether an endpoint on the sender's host takes new calls, or that the sender itself exits soon.
struct AnnounceMessage
{
    EndpointId endpoint; ///< empty: the sender itself; earlier versions ignore that
    bool leaving = false;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(endpoint, leaving);
    }
};

/// A piece of a body: the stream number followed by the raw bytes.
struct DataFrame
{
    std::uint64_t stream = 0;
    std::string_view bytes;
};

std::string encodeDataFrame(std::uint64_t stream, std::string_view bytes);

/// \throws ResultError with FrameMalformed. The result refers into \p payload.
DataFrame decodeDataFrame(std::string_view payload);

/// Bounds of the call protocol.
struct CallProtocol
{
    static constexpr std::size_t MaxPieceBytes = 16 << 10; ///< of a body in one frame
};

} // namespace jasminemast
