// State machine of one call on its entry node: attempts, the fence after a lost link, and the final outcome.
#pragma once

#include "jasminemast/call/attempt.h"
#include "jasminemast/call/retry.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace jasminemast
{

/// Events of a call. Events of an attempt carry its number; those of earlier attempts are ignored.
namespace callevent
{
/// An endpoint was selected for the next attempt.
struct EndpointChosen
{
};
/// No endpoint can be selected.
struct NoUsableEndpoint
{
    ResultCode code;
};
/// The attempt never left this node.
struct NotSent
{
    std::uint32_t attempt;
};
/// The target's node replied that the attempt was not run.
struct Refused
{
    std::uint32_t attempt;
    ResultCode code;
};
/// The target's node replied that the response was lost.
struct ResponseLost
{
    std::uint32_t attempt;
    ResultCode code;
};
/// The response is about to be passed on to the caller.
struct ResponseStarted
{
    std::uint32_t attempt;
};
/// The response reports a failure of the target; the call may be retried, or the response passed on.
struct ResponseFailed
{
    std::uint32_t attempt;
};
/// The response is complete.
struct ResponseCompleted
{
    std::uint32_t attempt;
};
/// The link that carried the attempt, or its fence, was lost.
struct LinkLost
{
    std::uint32_t attempt;
};
/// A new link to the target's node is up.
struct LinkRestored
{
    std::uint32_t attempt;
};
/// The process that received the attempt no longer exists.
struct PeerGone
{
    std::uint32_t attempt;
};
/// The reply to the fence.
struct FenceReplied
{
    std::uint32_t attempt;
    FenceStatus status;
};
struct DeadlinePassed
{
};
/// This node exits. DeadlinePassed follows if the target's node does not reply in time.
struct ExitStarted
{
};
struct CallerDisconnected
{
};
/// The rest of the request will not arrive from the caller.
struct RequestBroken
{
    ResultCode code;
};
/// The target of the attempt has taken bytes of the request that this node no longer holds.
struct RequestConsumed
{
    std::uint32_t attempt;
};
} // namespace callevent

using CallEvent
    = std::variant<callevent::EndpointChosen, callevent::NoUsableEndpoint, callevent::NotSent, callevent::Refused,
                   callevent::ResponseLost, callevent::ResponseStarted, callevent::ResponseFailed,
                   callevent::ResponseCompleted, callevent::LinkLost, callevent::LinkRestored, callevent::PeerGone,
                   callevent::FenceReplied, callevent::DeadlinePassed, callevent::ExitStarted,
                   callevent::CallerDisconnected, callevent::RequestBroken, callevent::RequestConsumed>;

/// What is to be done for a call.
namespace callaction
{
/// Select an endpoint, preferably one on which no attempt of the call failed; reply with EndpointChosen or
/// NoUsableEndpoint.
struct ChooseEndpoint
{
    std::optional<ResultCode> reason; ///< how the previous attempt ended; unset for the first
};
struct SendOpen
{
    std::uint32_t attempt;
};
/// Send a fence as soon as a link is up that is newer than the one that carried the attempt.
struct SendFence
{
    std::uint32_t attempt;
};
struct SendCancel
{
    std::uint32_t attempt;
};
/// Cancel the attempt; report Refused if the target's node replies that it was not run.
struct SendWithdraw
{
    std::uint32_t attempt;
};
/// The call is over. Nothing follows.
struct Finish
{
    Outcome outcome;
    ResultCode code; ///< Ok when answered
    std::optional<ResultCode> retryRefusal; ///< why another attempt was not allowed after a failed one
};
} // namespace callaction

using CallAction = std::variant<callaction::ChooseEndpoint, callaction::SendOpen, callaction::SendFence,
                                callaction::SendCancel, callaction::SendWithdraw, callaction::Finish>;
using CallActions = std::vector<CallAction>;

/// State machine of one call.
///
/// Invariants: at most one attempt is unresolved at a time; a call that may not be repeated starts another attempt only
/// after NotSent, Refused, or a fence reply NotRun; after RequestConsumed no attempt starts; Finish is emitted exactly
/// once and is the last action.
class CallMachine
{
public:
    /// \p maxAttempts: maximum number of targets that may receive the call; 0: the limit of the retry budget.
    CallMachine(bool repeatable, TimePoint startDeadline, std::uint32_t maxAttempts = 0);

    /// The first action of a new call.
    CallActions start();
    CallActions step(const CallEvent &event, RetryBudget &budget, TimePoint now);

    [[nodiscard]] bool finished() const
    {
        return m_phase == Phase::Finished;
    }
    /// True while only the reply to SendWithdraw is awaited.
    [[nodiscard]] bool isWithdrawing() const
    {
        return m_phase == Phase::Withdrawing;
    }
    [[nodiscard]] std::uint32_t attempt() const
    {
        return m_attempt;
    }
    /// Makes the start deadline \p latest if it is later.
    void limitStartDeadline(TimePoint latest)
    {
        m_startDeadline = std::min(m_startDeadline, latest);
    }

private:
    enum class Phase : std::uint8_t {
        ChoosingEndpoint, ///< no attempt is open
        Waiting, ///< for the reply to the attempt
        Fencing, ///< the link of the attempt was lost; waiting for the reply to the fence
        Responding, ///< the response is being passed on
        Withdrawing, ///< the attempt was cancelled; waiting for the reply that it was not run
        Finished,
    };

    CallActions on(const callevent::EndpointChosen &event, RetryBudget &budget, TimePoint now);
    CallActions on(const callevent::NoUsableEndpoint &event, RetryBudget &budget, TimePoint now);
    CallActions on(const callevent::NotSent &event, RetryBudget &budget, TimePoint now);
    CallActions on(const callevent::Refused &event, RetryBudget &budget, TimePoint now);
    CallActions on(const callevent::ResponseLost &event, RetryBudget &budget, TimePoint now);
    CallActions on(const callevent::ResponseStarted &event, RetryBudget &budget, TimePoint now);
    CallActions on(const callevent::ResponseFailed &event, RetryBudget &budget, TimePoint now);
    CallActions on(const callevent::ResponseCompleted &event, RetryBudget &budget, TimePoint now);
    CallActions on(const callevent::LinkLost &event, RetryBudget &budget, TimePoint now);
    CallActions on(const callevent::LinkRestored &event, RetryBudget &budget, TimePoint now);
    CallActions on(const callevent::PeerGone &event, RetryBudget &budget, TimePoint now);
    CallActions on(const callevent::FenceReplied &event, RetryBudget &budget, TimePoint now);
    CallActions on(const callevent::DeadlinePassed &event, RetryBudget &budget, TimePoint now);
    CallActions on(const callevent::ExitStarted &event, RetryBudget &budget, TimePoint now);
    CallActions on(const callevent::CallerDisconnected &event, RetryBudget &budget, TimePoint now);
    CallActions on(const callevent::RequestBroken &event, RetryBudget &budget, TimePoint now);
    CallActions on(const callevent::RequestConsumed &event, RetryBudget &budget, TimePoint now);

    [[nodiscard]] bool awaits(std::uint32_t attempt) const;
    [[nodiscard]] RetryBudget::Request retryRequest(bool safeToRepeat, ResultCode code) const;
    /// Chooses another endpoint if the retry budget permits it, otherwise finishes the call.
    CallActions retryOrFinish(bool notRun, ResultCode code, RetryBudget &budget, TimePoint now);
    /// NotRun unless an earlier attempt may have run.
    [[nodiscard]] Outcome outcomeWithoutResponse() const;
    /// Cancels the open attempt, if any, and ends the call.
    CallActions abandon(ResultCode code);
    CallActions finish(Outcome outcome, ResultCode code, std::optional<ResultCode> retryRefusal = std::nullopt);

    bool m_repeatable;
    TimePoint m_startDeadline; ///< no attempt starts later
    std::uint32_t m_maxAttempts; ///< 0: the limit of the retry budget
    std::uint32_t m_refusals = 0; ///< attempts that ended before anything was sent to the target
    Phase m_phase = Phase::ChoosingEndpoint;
    bool m_isRequestHeld = true; ///< the request can be sent to another target
    bool m_mayHaveRun = false; ///< the target of an earlier attempt may have run the request
    std::uint32_t m_attempt = 0; ///< number of the latest attempt; 0 before the first
};

} // namespace jasminemast
