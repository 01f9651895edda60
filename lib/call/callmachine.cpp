// State transitions of one call.
#include "jasminemast/call/callmachine.h"

#include <cassert>

namespace jasminemast
{

CallMachine::CallMachine(bool repeatable, TimePoint startDeadline, std::uint32_t maxAttempts)
    : m_repeatable(repeatable)
    , m_startDeadline(startDeadline)
    , m_maxAttempts(maxAttempts)
{
}

CallActions CallMachine::start()
{
    return {callaction::ChooseEndpoint {std::nullopt}};
}

CallActions CallMachine::step(const CallEvent &event, RetryBudget &budget, TimePoint now)
{
    if (finished()) {
        return {};
    }
    return std::visit([&](const auto &concrete) { return on(concrete, budget, now); }, event);
}

bool CallMachine::awaits(std::uint32_t attempt) const
{
    return attempt == m_attempt && (m_phase == Phase::Waiting || m_phase == Phase::Fencing);
}

Outcome CallMachine::outcomeWithoutResponse() const
{
    return m_mayHaveRun ? Outcome::Unknown : Outcome::NotRun;
}

CallActions CallMachine::abandon(ResultCode code)
{
    if (m_phase == Phase::ChoosingEndpoint) {
        return finish(outcomeWithoutResponse(), code);
    }
    CallActions actions {callaction::SendCancel {m_attempt}};
    const CallActions end = finish(Outcome::Unknown, code);
    actions.insert(actions.end(), end.begin(), end.end());
    return actions;
}

CallActions CallMachine::finish(Outcome outcome, ResultCode code, std::optional<ResultCode> retryRefusal)
{
    m_phase = Phase::Finished;
    return {callaction::Finish {outcome, code, retryRefusal}};
}

RetryBudget::Request CallMachine::retryRequest(bool safeToRepeat, ResultCode code) const
{
    return {code, safeToRepeat, m_attempt, m_startDeadline, m_refusals, m_maxAttempts};
}

CallActions CallMachine::retryOrFinish(bool notRun, ResultCode code, RetryBudget &budget, TimePoint now)
{
    m_refusals += RetryBudget::isNodeRefusal(code) ? 1 : 0;
    m_mayHaveRun = m_mayHaveRun || !notRun;
    if (!m_isRequestHeld) {
        return finish(outcomeWithoutResponse(), code, ResultCode::RetryRequestGone);
    }
    const std::optional<ResultCode> retryRefusal
        = budget.refuseOrTakeToken(retryRequest(notRun || m_repeatable, code), now);
    if (retryRefusal) {
        return finish(outcomeWithoutResponse(), code, retryRefusal);
    }
    m_phase = Phase::ChoosingEndpoint;
    return {callaction::ChooseEndpoint {code}};
}

CallActions CallMachine::on(const callevent::EndpointChosen & /*event*/, RetryBudget &budget, TimePoint now)
{
    if (m_phase != Phase::ChoosingEndpoint) {
        return {};
    }
    if (now >= m_startDeadline) {
        return finish(outcomeWithoutResponse(), ResultCode::DeadlineExceeded);
    }
    if (m_attempt == 0) {
        budget.depositTokens();
    }
    ++m_attempt;
    m_phase = Phase::Waiting;
    return {callaction::SendOpen {m_attempt}};
}

CallActions CallMachine::on(const callevent::NoUsableEndpoint &event, RetryBudget & /*budget*/, TimePoint /*now*/)
{
    if (m_phase != Phase::ChoosingEndpoint) {
        return {};
    }
    return finish(outcomeWithoutResponse(), event.code);
}

CallActions CallMachine::on(const callevent::NotSent &event, RetryBudget &budget, TimePoint now)
{
    if (event.attempt != m_attempt || m_phase != Phase::Waiting) {
        return {};
    }
    return retryOrFinish(true, ResultCode::PeerUnreachable, budget, now);
}

CallActions CallMachine::on(const callevent::Refused &event, RetryBudget &budget, TimePoint now)
{
    assert(isNotRun(event.code) && "the code of a refusal must mean that the request was not run");
    if (event.attempt == m_attempt && m_phase == Phase::Withdrawing) {
        return finish(outcomeWithoutResponse(), event.code);
    }
    if (!awaits(event.attempt)) {
        return {};
    }
    return retryOrFinish(true, event.code, budget, now);
}

CallActions CallMachine::on(const callevent::ResponseLost &event, RetryBudget &budget, TimePoint now)
{
    if (event.attempt == m_attempt && m_phase == Phase::Responding) {
        return finish(Outcome::Unknown, ResultCode::AnswerCut);
    }
    if (!awaits(event.attempt)) {
        return {};
    }
    return retryOrFinish(false, event.code, budget, now);
}

CallActions CallMachine::on(const callevent::ResponseStarted &event, RetryBudget & /*budget*/, TimePoint /*now*/)
{
    if (awaits(event.attempt)) {
        m_phase = Phase::Responding;
    }
    return {};
}

CallActions CallMachine::on(const callevent::ResponseFailed &event, RetryBudget &budget, TimePoint now)
{
    if (!awaits(event.attempt)) {
        return {};
    }
    if (!m_repeatable || !m_isRequestHeld
        || budget.refuseOrTakeToken(retryRequest(true, ResultCode::AnswerFailed), now)) {
        m_phase = Phase::Responding;
        return {};
    }
    m_mayHaveRun = true;
    m_phase = Phase::ChoosingEndpoint;
    return {callaction::SendCancel {m_attempt}, callaction::ChooseEndpoint {ResultCode::AnswerFailed}};
}

CallActions CallMachine::on(const callevent::ResponseCompleted &event, RetryBudget & /*budget*/, TimePoint /*now*/)
{
    if (event.attempt != m_attempt || m_phase != Phase::Responding) {
        return {};
    }
    return finish(Outcome::Answered, ResultCode::Ok);
}

CallActions CallMachine::on(const callevent::LinkLost &event, RetryBudget &budget, TimePoint now)
{
    if (event.attempt != m_attempt) {
        return {};
    }
    if (m_phase == Phase::Responding) {
        return finish(Outcome::Unknown, ResultCode::AnswerCut);
    }
    if (!awaits(event.attempt)) {
        return {};
    }
    if (m_repeatable) {
        return retryOrFinish(false, ResultCode::OutcomeUnknown, budget, now);
    }
    m_phase = Phase::Fencing;
    return {callaction::SendFence {m_attempt}};
}

CallActions CallMachine::on(const callevent::LinkRestored &event, RetryBudget & /*budget*/, TimePoint /*now*/)
{
    if (event.attempt != m_attempt || m_phase != Phase::Fencing) {
        return {};
    }
    return {callaction::SendFence {m_attempt}};
}

CallActions CallMachine::on(const callevent::PeerGone &event, RetryBudget &budget, TimePoint now)
{
    if (event.attempt == m_attempt && m_phase == Phase::Responding) {
        return finish(Outcome::Unknown, ResultCode::AnswerCut);
    }
    if (!awaits(event.attempt)) {
        return {};
    }
    return retryOrFinish(false, ResultCode::OutcomeUnknown, budget, now);
}

CallActions CallMachine::on(const callevent::FenceReplied &event, RetryBudget &budget, TimePoint now)
{
    if (!awaits(event.attempt)) {
        return {};
    }
    switch (event.status) {
    case FenceStatus::NotRun:
        return retryOrFinish(true, ResultCode::AttemptFenced, budget, now);
    case FenceStatus::Running:
    case FenceStatus::Done:
        m_phase = Phase::Waiting;
        return {};
    case FenceStatus::Unknown:
        break;
    }
    return retryOrFinish(false, ResultCode::OutcomeUnknown, budget, now);
}

CallActions CallMachine::on(const callevent::DeadlinePassed & /*event*/, RetryBudget & /*budget*/, TimePoint /*now*/)
{
    return abandon(ResultCode::DeadlineExceeded);
}

CallActions CallMachine::on(const callevent::ExitStarted & /*event*/, RetryBudget & /*budget*/, TimePoint /*now*/)
{
    if (m_phase != Phase::Waiting) {
        return abandon(ResultCode::DeadlineExceeded);
    }
    m_phase = Phase::Withdrawing;
    return {callaction::SendWithdraw {m_attempt}};
}

CallActions CallMachine::on(const callevent::CallerDisconnected & /*event*/, RetryBudget & /*budget*/,
                            TimePoint /*now*/)
{
    return abandon(ResultCode::CallerGone);
}

CallActions CallMachine::on(const callevent::RequestBroken &event, RetryBudget & /*budget*/, TimePoint /*now*/)
{
    return abandon(event.code);
}

CallActions CallMachine::on(const callevent::RequestConsumed &event, RetryBudget & /*budget*/, TimePoint /*now*/)
{
    m_isRequestHeld = m_isRequestHeld && event.attempt != m_attempt;
    return {};
}

} // namespace jasminemast
