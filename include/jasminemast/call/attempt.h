// Attempts of calls and what is said about them: opening, fencing and the outcomes, without their wire form.
//
// Bodies and headers travel beside these; the core only decides.
#pragma once

#include "jasminemast/support/clock.h"
#include "jasminemast/support/ids.h"
#include "jasminemast/support/result.h"

#include <cstdint>
#include <optional>
#include <string>

namespace jasminemast
{

/// Counts the links that one process has established; a later link has a higher value.
using LinkGeneration = StrongId<struct LinkGenerationTag, std::uint64_t>;

/// One try of a call. Its first is number 1.
struct AttemptId
{
    CallId call;
    std::uint32_t number = 0;

    auto operator<=>(const AttemptId &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(call, number);
    }
};

/// What a caller can know about a call that is over.
enum class Outcome : std::uint8_t {
    Answered, ///< the whole answer of the target was passed on
    NotRun, ///< the target never received the request and never will
    Unknown, ///< the target may have run the request
};

/// Asks the node beside a target to run an attempt.
struct OpenRequest
{
    AttemptId attempt;
    EndpointId endpoint;
    Incarnation target; ///< process that the sender means to reach
    LinkGeneration generation; ///< link that carries this message
    Microseconds remaining {0}; ///< time left until the deadline when the message was sent
    bool repeatable = false;
    unsigned priority = 0; ///< of the route; 0 is the most urgent
    Microseconds softTimeout = Microseconds::max(); ///< time left in which an answer has its full worth to the caller
};

/// Asks what became of an attempt whose link was lost, and refuses the attempt for good if it never arrived.
///
/// Invariant kept by the sender: `generation` is above that of the link that carried the attempt, and nothing is sent
/// on an older link any more.
struct FenceRequest
{
    AttemptId attempt;
    Incarnation target; ///< process that the attempt was sent to
    LinkGeneration generation; ///< link that carries this message
};

/// The reply to a fence.
enum class FenceStatus : std::uint8_t {
    NotRun, ///< never handed to the target, and refused from now on
    Running, ///< its answer will follow on the link of the fence
    Done, ///< the kept answer follows
    Unknown, ///< may have run; the answer cannot be had
};

/// The answer of a target as kept for a later fence.
struct CachedResponse
{
    int status = 0; ///< HTTP status
    std::string headers; ///< as the sender encoded them
    std::string body;
};

/// True when \p code says that the target never received the request.
bool isNotRun(ResultCode code);

} // namespace jasminemast
