// Where the answer of one attempt goes, and how its asker steers it.
#pragma once

#include "jasminemast/call/messages.h"

#include <string_view>

namespace jasminemast
{

/// Receives one attempt's answer: either refused(), or head(), data()..., end(). After refused() or end() nothing
/// more comes. The sink of a fence gets fenced() first, and the rest only when the attempt runs or is done.
class AnswerSink
{
public:
    virtual ~AnswerSink() = default;
    /// The attempt was not run and never will be.
    /// \p load: running and waiting attempts of the endpoint over its slots.
    virtual void refused(ResultCode code, const std::string &detail, float load) = 0;
    virtual void head(const HeadMessage &head) = 0;
    virtual void data(std::string_view bytes) = 0;
    /// Ok: the answer is whole. Otherwise the answer, if any, is cut and the outcome unknown.
    virtual void end(ResultCode code, const std::string &detail) = 0;
    /// The reply to a fence.
    virtual void fenced(FenceStatus status) = 0;
};

/// An attempt under way, as its asker holds it.
class AttemptHandle
{
public:
    virtual ~AttemptHandle() = default;
    /// The answer is no longer wanted; the sink gets nothing more.
    virtual void cancel() = 0;
    /// \p bytes of answer body were taken.
    virtual void credit(std::size_t bytes) = 0;
};

} // namespace jasminemast
