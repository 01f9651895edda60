// Interfaces between an attempt and its requester: the receiver of the response, and the handle that controls the
// attempt.
#pragma once

#include "jasminemast/call/messages.h"

#include <string_view>

namespace jasminemast
{

/// Receives the response to one attempt: either refused(), or head(), data()..., end(). refused() and end() are the
/// last calls. The sink of a fence gets fenced() first, and the other calls only if the attempt is running or done.
class ResponseSink
{
public:
    virtual ~ResponseSink() = default;
    /// The attempt was not run and never will be.
    virtual void refused(ResultCode code, const std::string &detail, const TargetReport &report) = 0;
    virtual void head(const HeadMessage &head) = 0;
    virtual void data(std::string_view bytes) = 0;
    /// Ok: the response is complete. Otherwise it is incomplete or missing, and the outcome is unknown.
    virtual void end(ResultCode code, const std::string &detail) = 0;
    /// Flow control: the target has taken \p bytes of an upload's body.
    virtual void consumed(std::size_t /*bytes*/)
    {
    }
    /// The reply to a fence.
    virtual void fenced(FenceStatus status) = 0;
};

/// The requester's handle of an attempt in progress.
class AttemptHandle
{
public:
    virtual ~AttemptHandle() = default;
    /// Cancels the attempt; the sink is not called again. \p reason is logged if the target runs the request.
    virtual void cancel(ResultCode reason) = 0;
    /// Cancels the attempt. The sink is called again only with refused(), if the request did not reach the target.
    virtual void withdraw() = 0;
    /// Flow control: \p bytes of the response body were consumed.
    virtual void credit(std::size_t bytes) = 0;
    /// The next bytes of an upload's body.
    virtual void sendBody(std::string_view bytes) = 0;
    /// The body of an upload is complete.
    virtual void endBody() = 0;
};

} // namespace jasminemast
