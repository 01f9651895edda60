// The life of one call on its entry node: attempts, the fence after a lost link, and the one outcome at the end.
#pragma once

#include "jasminemast/call/attempt.h"
#include "jasminemast/call/retry.h"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace jasminemast
{

/// What happens to a call. Events of an attempt carry its number; those of an earlier attempt are ignored.
namespace callevent
{
/// An endpoint was chosen for the next attempt and its node has a link.
struct EndpointChosen
{
};
/// No endpoint is left to choose.
struct NoneUsable
{
    ResultCode code;
};
/// The attempt never left this node.
struct NotSent
{
    std::uint32_t attempt;
};
/// The node beside the target says that the attempt was not run.
struct Refused
{
    std::uint32_t attempt;
    ResultCode code;
};
/// The node beside the target lost the answer.
struct Lost
{
    std::uint32_t attempt;
    ResultCode code;
};
/// Status and headers of the answer arrived.
struct AnswerBegan
{
    std::uint32_t attempt;
};
/// The target answered with a failure of its own, which may be tried elsewhere or passed on.
struct AnswerFailed
{
    std::uint32_t attempt;
};
/// The answer is whole.
struct AnswerEnded
{
    std::uint32_t attempt;
};
/// The link that carried the attempt, or its fence, was lost.
struct LinkLost
{
    std::uint32_t attempt;
};
/// A new link to the attempt's node is up.
struct LinkBack
{
    std::uint32_t attempt;
};
/// The process that had the attempt is gone for good.
struct PeerDead
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
struct CallerLeft
{
};
} // namespace callevent

using CallEvent = std::variant<callevent::EndpointChosen, callevent::NoneUsable, callevent::NotSent, callevent::Refused,
                               callevent::Lost, callevent::AnswerBegan, callevent::AnswerFailed, callevent::AnswerEnded,
                               callevent::LinkLost, callevent::LinkBack, callevent::PeerDead, callevent::FenceReplied,
                               callevent::DeadlinePassed, callevent::CallerLeft>;

/// What is to be done for a call.
namespace callaction
{
/// Choose an endpoint, other than those that just failed where possible; reply with EndpointChosen or NoneUsable.
struct Choose
{
    std::optional<ResultCode> reason; ///< how the attempt before ended; unset for the first
};
struct SendOpen
{
    std::uint32_t attempt;
};
/// Send a fence as soon as a link newer than the attempt's is up.
struct SendFence
{
    std::uint32_t attempt;
};
struct SendCancel
{
    std::uint32_t attempt;
};
/// The call is over. Nothing follows.
struct Finish
{
    Outcome outcome;
    ResultCode code; ///< Ok when answered
    std::optional<ResultCode> stop; ///< what forbade another attempt after a failed one
};
} // namespace callaction

using CallAction = std::variant<callaction::Choose, callaction::SendOpen, callaction::SendFence, callaction::SendCancel,
                                callaction::Finish>;
using CallActions = std::vector<CallAction>;

/// State machine of one call.
///
/// Invariants: at most one attempt is unresolved at a time; a call that may not be repeated starts another attempt only
/// after NotSent, Refused, or a fence that said NotRun; Finish is emitted exactly once and is the last action.
class CallMachine
{
public:
    /// \p attemptsAllowed: most targets that may get the call; 0: as the retry budget says.
    CallMachine(bool repeatable, TimePoint deadline, std::uint32_t attemptsAllowed = 0);

    /// The first action of a new call.
    CallActions start();
    CallActions step(const CallEvent &event, RetryBudget &budget, TimePoint now);

    [[nodiscard]] bool finished() const
    {
        return m_phase == Phase::Finished;
    }
    [[nodiscard]] std::uint32_t attempt() const
    {
        return m_attempt;
    }
    [[nodiscard]] TimePoint deadline() const
    {
        return m_deadline;
    }

private:
    enum class Phase : std::uint8_t {
        Choosing, ///< no attempt is open
        Waiting, ///< the attempt was sent
        Fencing, ///< the attempt's link was lost; its fate is being asked for
        Answering, ///< the answer is being passed on
        Finished,
    };

    CallActions on(const callevent::EndpointChosen &event, RetryBudget &budget, TimePoint now);
    CallActions on(const callevent::NoneUsable &event, RetryBudget &budget, TimePoint now);
    CallActions on(const callevent::NotSent &event, RetryBudget &budget, TimePoint now);
    CallActions on(const callevent::Refused &event, RetryBudget &budget, TimePoint now);
    CallActions on(const callevent::Lost &event, RetryBudget &budget, TimePoint now);
    CallActions on(const callevent::AnswerBegan &event, RetryBudget &budget, TimePoint now);
    CallActions on(const callevent::AnswerFailed &event, RetryBudget &budget, TimePoint now);
    CallActions on(const callevent::AnswerEnded &event, RetryBudget &budget, TimePoint now);
    CallActions on(const callevent::LinkLost &event, RetryBudget &budget, TimePoint now);
    CallActions on(const callevent::LinkBack &event, RetryBudget &budget, TimePoint now);
    CallActions on(const callevent::PeerDead &event, RetryBudget &budget, TimePoint now);
    CallActions on(const callevent::FenceReplied &event, RetryBudget &budget, TimePoint now);
    CallActions on(const callevent::DeadlinePassed &event, RetryBudget &budget, TimePoint now);
    CallActions on(const callevent::CallerLeft &event, RetryBudget &budget, TimePoint now);

    [[nodiscard]] bool awaits(std::uint32_t attempt) const;
    [[nodiscard]] RetryBudget::Request retryRequest(bool mayRepeat, ResultCode code) const;
    CallActions retryOrFinish(bool notRun, ResultCode code, RetryBudget &budget, TimePoint now);
    [[nodiscard]] Outcome unanswered() const;
    CallActions abandon(ResultCode code);
    CallActions finish(Outcome outcome, ResultCode code, std::optional<ResultCode> stop = std::nullopt);

    bool m_repeatable;
    TimePoint m_deadline;
    std::uint32_t m_attemptsAllowed; ///< 0: as the retry budget says
    std::uint32_t m_refusals = 0; ///< attempts that ended before the target saw them
    Phase m_phase = Phase::Choosing;
    bool m_mayHaveRun = false; ///< an earlier attempt of an idempotent call ended without a known fate
    std::uint32_t m_attempt = 0; ///< number of the latest attempt; 0 before the first
};

} // namespace jasminemast
