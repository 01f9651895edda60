// Transitions of the state machine of one call.
#include "jasminemast/call/outcome.h"

#include <cassert>

namespace jasminemast
{

CallMachine::CallMachine(bool repeatable, TimePoint deadline, std::uint32_t attemptsAllowed)
    : m_repeatable(repeatable)
    , m_deadline(deadline)
    , m_attemptsAllowed(attemptsAllowed)
{
}

CallActions CallMachine::start()
{
    return {callaction::Choose {std::nullopt}};
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

Outcome CallMachine::unanswered() const
{
    return m_mayHaveRun ? Outcome::Unknown : Outcome::NotRun;
}

CallActions CallMachine::abandon(ResultCode code)
{
    if (m_phase == Phase::Choosing) {
        return finish(unanswered(), code);
    }
    CallActions actions {callaction::SendCancel {m_attempt}};
    const CallActions end = finish(Outcome::Unknown, code);
    actions.insert(actions.end(), end.begin(), end.end());
    return actions;
}

CallActions CallMachine::finish(Outcome outcome, ResultCode code, std::optional<ResultCode> stop)
{
    m_phase = Phase::Finished;
    return {callaction::Finish {outcome, code, stop}};
}

RetryBudget::Request CallMachine::retryRequest(bool mayRepeat, ResultCode code) const
{
    return {code, mayRepeat, m_attempt, m_deadline, m_refusals, m_attemptsAllowed};
}

CallActions CallMachine::retryOrFinish(bool notRun, ResultCode code, RetryBudget &budget, TimePoint now)
{
    m_refusals += RetryBudget::isNodeRefusal(code) ? 1 : 0;
    m_mayHaveRun = m_mayHaveRun || !notRun;
    const std::optional<ResultCode> stop = budget.refuse(retryRequest(notRun || m_repeatable, code), now);
    if (stop) {
        return finish(unanswered(), code, stop);
    }
    m_phase = Phase::Choosing;
    return {callaction::Choose {code}};
}

CallActions CallMachine::on(const callevent::EndpointChosen & /*event*/, RetryBudget &budget, TimePoint now)
{
    if (m_phase != Phase::Choosing) {
        return {};
    }
    if (now >= m_deadline) {
        return finish(unanswered(), ResultCode::DeadlineExceeded);
    }
    if (m_attempt == 0) {
        budget.depositShare();
    }
    ++m_attempt;
    m_phase = Phase::Waiting;
    return {callaction::SendOpen {m_attempt}};
}

CallActions CallMachine::on(const callevent::NoneUsable &event, RetryBudget & /*budget*/, TimePoint /*now*/)
{
    if (m_phase != Phase::Choosing) {
        return {};
    }
    return finish(unanswered(), event.code);
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
    assert(isNotRun(event.code) && "a refusal must say that the request was not run");
    if (!awaits(event.attempt)) {
        return {};
    }
    return retryOrFinish(true, event.code, budget, now);
}

CallActions CallMachine::on(const callevent::Lost &event, RetryBudget &budget, TimePoint now)
{
    if (event.attempt == m_attempt && m_phase == Phase::Answering) {
        return finish(Outcome::Unknown, ResultCode::AnswerCut);
    }
    if (!awaits(event.attempt)) {
        return {};
    }
    return retryOrFinish(false, event.code, budget, now);
}

CallActions CallMachine::on(const callevent::AnswerBegan &event, RetryBudget & /*budget*/, TimePoint /*now*/)
{
    if (awaits(event.attempt)) {
        m_phase = Phase::Answering;
    }
    return {};
}

CallActions CallMachine::on(const callevent::AnswerFailed &event, RetryBudget &budget, TimePoint now)
{
    if (!awaits(event.attempt)) {
        return {};
    }
    if (!m_repeatable || budget.refuse(retryRequest(true, ResultCode::AnswerFailed), now)) {
        m_phase = Phase::Answering;
        return {};
    }
    m_mayHaveRun = true;
    m_phase = Phase::Choosing;
    return {callaction::SendCancel {m_attempt}, callaction::Choose {ResultCode::AnswerFailed}};
}

CallActions CallMachine::on(const callevent::AnswerEnded &event, RetryBudget & /*budget*/, TimePoint /*now*/)
{
    if (event.attempt != m_attempt || m_phase != Phase::Answering) {
        return {};
    }
    return finish(Outcome::Answered, ResultCode::Ok);
}

CallActions CallMachine::on(const callevent::LinkLost &event, RetryBudget &budget, TimePoint now)
{
    if (event.attempt != m_attempt) {
        return {};
    }
    if (m_phase == Phase::Answering) {
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

CallActions CallMachine::on(const callevent::LinkBack &event, RetryBudget & /*budget*/, TimePoint /*now*/)
{
    if (event.attempt != m_attempt || m_phase != Phase::Fencing) {
        return {};
    }
    return {callaction::SendFence {m_attempt}};
}

CallActions CallMachine::on(const callevent::PeerDead &event, RetryBudget &budget, TimePoint now)
{
    if (event.attempt == m_attempt && m_phase == Phase::Answering) {
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

CallActions CallMachine::on(const callevent::CallerLeft & /*event*/, RetryBudget & /*budget*/, TimePoint /*now*/)
{
    return abandon(ResultCode::CallerGone);
}

} // namespace jasminemast
