// Attempts of calls, the requests to open and to fence them, and their outcomes, independent of the wire format.
//
// The decision logic works on these types alone; request and response bodies and headers are handled by the node.
#pragma once

#include "jasminemast/support/clock.h"
#include "jasminemast/support/ids.h"
#include "jasminemast/support/result.h"

#include <cstdint>
#include <optional>
#include <string>

namespace jasminemast
{

/// Number of a link (the connection to another node) among all links that one process has established; a later link
/// has a higher number.
using LinkGeneration = StrongId<struct LinkGenerationTag, std::uint64_t>;

/// One attempt of a call. The first attempt has number 1.
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

/// Outcome of a finished call, as reported to the caller.
enum class Outcome : std::uint8_t {
    Answered, ///< the complete response of the target was passed on
    NotRun, ///< the target never received the request and never will
    Unknown, ///< the target may have run the request
};

/// Asks the target's node to run an attempt.
struct OpenRequest
{
    AttemptId attempt;
    EndpointId endpoint;
    Incarnation target; ///< process that the message is meant for
    LinkGeneration generation; ///< link that carries this message
    Microseconds remaining {0}; ///< time left until the start deadline when the message was sent, see CallSpec
    Microseconds responseTimeout {0}; ///< time left until the deadline; if less than `remaining`, that counts
    bool repeatable = false; ///< idempotent: may run more than once
    unsigned priority = 0; ///< of the route; 0 is the most urgent
    Microseconds softTimeout = Microseconds::max(); ///< time left until the soft deadline
};

/// Asks for the state of an attempt whose link was lost, and has the attempt refused permanently if it never arrived.
///
/// Invariant that the sender ensures: `generation` is higher than that of the link that carried the attempt, and
/// nothing is sent on an older link any more.
struct FenceRequest
{
    AttemptId attempt;
    Incarnation target; ///< process that the attempt was sent to
    LinkGeneration generation; ///< link that carries this message
};

/// The reply to a fence.
enum class FenceStatus : std::uint8_t {
    NotRun, ///< never sent to the target, and refused from now on
    Running, ///< the response will follow on the link of the fence
    Done, ///< the cached response follows
    Unknown, ///< may have run; the response is not available
};

/// The response of a target, cached to be sent again after a fence.
struct CachedResponse
{
    int status = 0; ///< HTTP status
    std::string headers; ///< encoded by the node that caches the response
    std::string body;
};

/// True when \p code says that the target never received the request.
bool isNotRun(ResultCode code);

} // namespace jasminemast
