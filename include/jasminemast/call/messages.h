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
    Head = 19, ///< HeadMessage: status and headers of the answer
    Data = 20, ///< DataFrame: piece of an answer body
    End = 21, ///< EndMessage: the answer is over
    Credit = 22, ///< CreditMessage: the asking node took answer bytes
    Cancel = 23, ///< CancelMessage: the asking node no longer wants the answer
    Fence = 24, ///< FenceMessage: what became of an attempt whose link was lost
    FenceReply = 25, ///< FenceReplyMessage; Head, Data and End follow when the attempt runs or is done
    Announce = 26, ///< AnnounceMessage: an endpoint takes no new calls, or takes them again
};

using HeaderFields = std::vector<std::pair<std::string, std::string>>;

/// Asks the node beside a target to run one attempt of a call.
struct OpenMessage
{
    std::uint64_t stream = 0; ///< names the attempt on this link; chosen by the asking node
    AttemptId attempt;
    Incarnation peer; ///< process that the asking node means to reach
    LinkGeneration generation; ///< of this link, as the asking node counts
    std::uint32_t remainingMs = 0; ///< time left until the deadline, when sent
    TicketNumber ticket; ///< configuration that the asking node routed by
    EndpointId endpoint;
    bool repeatable = false;
    std::uint32_t priority = 0; ///< of the route; 0 is the most urgent
    std::int32_t softTimeoutMs
        = INT32_MAX; ///< time left in which an answer has its full worth; negative: it comes late
    std::string method;
    std::string target; ///< path and query
    HeaderFields headers;
    std::uint64_t bodyBytes = 0; ///< length of the request body that follows in RequestBody frames

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(stream, attempt, peer, generation, remainingMs, ticket, endpoint, repeatable, priority, softTimeoutMs);
        archive(method, target, headers, bodyBytes);
    }
};

/// The attempt was not run and never will be.
struct RefusedMessage
{
    std::uint64_t stream = 0;
    std::uint32_t code = 0; ///< number of a ResultCode
    std::string detail;
    float load = 0; ///< running and waiting attempts over the target's slots

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(stream, code, detail, load);
    }
};

/// Start of the answer.
struct HeadMessage
{
    std::uint64_t stream = 0;
    std::uint32_t status = 0;
    HeaderFields headers;
    std::optional<std::uint64_t> length; ///< body length, when known
    TicketNumber ticket; ///< configuration of the answering node
    float load = 0; ///< running and waiting attempts over the target's slots

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(stream, status, headers, length, ticket, load);
    }
};

/// End of the answer: whole when the code is Ok; otherwise the answer is cut and the outcome unknown.
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

/// Allows that many more bytes of answer body.
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

struct CancelMessage
{
    std::uint64_t stream = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(stream);
    }
};

/// Asks what became of an attempt, and has it refused for good if it never arrived.
struct FenceMessage
{
    std::uint64_t stream = 0; ///< names the attempt on this link from now on
    AttemptId attempt;
    Incarnation peer; ///< process that the attempt was sent to
    LinkGeneration generation; ///< of this link, as the asking node counts

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

/// Tells whether an endpoint beside the sending node takes new calls.
struct AnnounceMessage
{
    EndpointId endpoint;
    bool leaving = false;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(endpoint, leaving);
    }
};

/// A piece of body: the stream number and then the bare bytes.
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
    static constexpr std::size_t DataFrameBytes = 16 << 10; ///< largest piece of body in one frame
};

} // namespace jasminemast
