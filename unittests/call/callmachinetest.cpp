// The state machine of one call: which failures lead to another attempt, and which outcome is reported.
#include "jasminemast/call/callmachine.h"

#include <gtest/gtest.h>

using namespace jasminemast;

namespace
{

struct Case
{
    const char *name;
    CallEvent event; ///< what ends the first attempt
    bool retriesIdempotent;
    bool retriesNonIdempotent;
    Outcome outcomeWithoutRetry;
};

const Case Cases[] = {
    {"NotSent", callevent::NotSent {1}, true, true, Outcome::NotRun},
    {"Refused", callevent::Refused {1, ResultCode::SlotsFull}, true, true, Outcome::NotRun},
    {"Leaving", callevent::Refused {1, ResultCode::TargetLeaving}, true, true, Outcome::NotRun},
    {"ResponseLost", callevent::ResponseLost {1, ResultCode::OutcomeUnknown}, true, false, Outcome::Unknown},
    {"PeerGone", callevent::PeerGone {1}, true, false, Outcome::Unknown},
    {"FencedNotRun", callevent::FenceReplied {1, FenceStatus::NotRun}, true, true, Outcome::NotRun},
    {"FencedUnknown", callevent::FenceReplied {1, FenceStatus::Unknown}, true, false, Outcome::Unknown},
    {"Deadline", callevent::DeadlinePassed {}, false, false, Outcome::Unknown},
    {"CallerDisconnected", callevent::CallerDisconnected {}, false, false, Outcome::Unknown},
};

const TimePoint Start {std::chrono::hours(1)};
const TimePoint Deadline = Start + std::chrono::seconds(1);

CallMachine waitingMachine(bool repeatable, RetryBudget &budget)
{
    CallMachine machine(repeatable, Deadline);
    machine.start();
    machine.step(callevent::EndpointChosen {}, budget, Start);
    return machine;
}

const callaction::Finish *finishIn(const CallActions &actions)
{
    return actions.empty() ? nullptr : std::get_if<callaction::Finish>(&actions.back());
}

bool choosesAnotherEndpoint(const CallActions &actions)
{
    return actions.size() == 1 && std::holds_alternative<callaction::ChooseEndpoint>(actions.front());
}

class CallMachineOutcomeTest : public testing::TestWithParam<Case>
{
};

} // namespace

TEST_P(CallMachineOutcomeTest, RetriesOnlyIdempotentCallsAndThoseNotRun)
{
    for (const bool repeatable : {false, true}) {
        RetryBudget budget {RetryLimits {}};
        CallMachine machine = waitingMachine(repeatable, budget);
        const CallActions actions = machine.step(GetParam().event, budget, Start);
        const bool retries = repeatable ? GetParam().retriesIdempotent : GetParam().retriesNonIdempotent;
        EXPECT_EQ(choosesAnotherEndpoint(actions), retries);
        if (!retries) {
            ASSERT_NE(finishIn(actions), nullptr);
            EXPECT_EQ(finishIn(actions)->outcome, GetParam().outcomeWithoutRetry);
        }
    }
}

TEST_P(CallMachineOutcomeTest, ReportsTheOutcomeWhenNoAttemptIsLeft)
{
    RetryLimits limits;
    limits.maxAttempts = 1;
    RetryBudget budget {limits};
    CallMachine machine = waitingMachine(true, budget);
    const CallActions actions = machine.step(GetParam().event, budget, Start);
    ASSERT_NE(finishIn(actions), nullptr);
    EXPECT_EQ(finishIn(actions)->outcome, GetParam().outcomeWithoutRetry);
    EXPECT_TRUE(machine.step(GetParam().event, budget, Start).empty()) << "a call finishes once";
}

INSTANTIATE_TEST_SUITE_P(All, CallMachineOutcomeTest, testing::ValuesIn(Cases),
                         [](const auto &testCase) { return std::string(testCase.param.name); });

TEST(CallMachineTest, FencesAfterALostLinkUnlessIdempotent)
{
    RetryBudget budget {RetryLimits {}};
    CallMachine machine = waitingMachine(false, budget);
    const CallActions actions = machine.step(callevent::LinkLost {1}, budget, Start);
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_TRUE(std::holds_alternative<callaction::SendFence>(actions.front()));
    EXPECT_TRUE(machine.step(callevent::FenceReplied {1, FenceStatus::Running}, budget, Start).empty());
    machine.step(callevent::ResponseStarted {1}, budget, Start);
    const CallActions completed = machine.step(callevent::ResponseCompleted {1}, budget, Start);
    EXPECT_EQ(finishIn(completed)->outcome, Outcome::Answered);

    CallMachine idempotent = waitingMachine(true, budget);
    EXPECT_TRUE(choosesAnotherEndpoint(idempotent.step(callevent::LinkLost {1}, budget, Start)));
}

TEST(CallMachineTest, TruncatedResponseEndsAsUnknownWithoutRetry)
{
    for (const CallEvent &cut : {CallEvent(callevent::LinkLost {1}), CallEvent(callevent::PeerGone {1}),
                                 CallEvent(callevent::ResponseLost {1, ResultCode::OutcomeUnknown})}) {
        RetryBudget budget {RetryLimits {}};
        CallMachine machine = waitingMachine(true, budget);
        machine.step(callevent::ResponseStarted {1}, budget, Start);
        const CallActions actions = machine.step(cut, budget, Start);
        ASSERT_NE(finishIn(actions), nullptr);
        EXPECT_EQ(finishIn(actions)->outcome, Outcome::Unknown);
        EXPECT_EQ(finishIn(actions)->code, ResultCode::AnswerCut);
    }
}

TEST(CallMachineTest, RequestThatIsNotHeldAnyLongerIsNotSentAgain)
{
    const std::vector<std::pair<CallEvent, Outcome>> ends = {
        {callevent::Refused {1, ResultCode::TargetShed}, Outcome::NotRun},
        {callevent::ResponseLost {1, ResultCode::OutcomeUnknown}, Outcome::Unknown},
        {callevent::LinkLost {1}, Outcome::Unknown},
    };
    for (const auto &[event, outcome] : ends) {
        RetryBudget budget {RetryLimits {}};
        CallMachine machine = waitingMachine(true, budget);
        EXPECT_TRUE(machine.step(callevent::RequestConsumed {1}, budget, Start).empty());
        const CallActions actions = machine.step(event, budget, Start);
        ASSERT_NE(finishIn(actions), nullptr);
        EXPECT_EQ(finishIn(actions)->outcome, outcome);
        EXPECT_EQ(finishIn(actions)->retryRefusal, ResultCode::RetryRequestGone);
    }
}

TEST(CallMachineTest, FailureOfTheTargetIsPassedOnIfTheRequestIsNotHeldAnyLonger)
{
    RetryBudget budget {RetryLimits {}};
    CallMachine machine = waitingMachine(true, budget);
    machine.step(callevent::RequestConsumed {1}, budget, Start);
    EXPECT_TRUE(machine.step(callevent::ResponseFailed {1}, budget, Start).empty());
    EXPECT_FALSE(machine.finished());
}

TEST(CallMachineTest, ConsumptionByAnEarlierAttemptForbidsNothing)
{
    RetryBudget budget {RetryLimits {}};
    CallMachine machine = waitingMachine(true, budget);
    machine.step(callevent::Refused {1, ResultCode::SlotsFull}, budget, Start);
    machine.step(callevent::EndpointChosen {}, budget, Start);
    machine.step(callevent::RequestConsumed {1}, budget, Start);
    EXPECT_TRUE(choosesAnotherEndpoint(machine.step(callevent::Refused {2, ResultCode::SlotsFull}, budget, Start)));
}

TEST(CallMachineTest, BrokenRequestCancelsItsAttempt)
{
    RetryBudget budget {RetryLimits {}};
    CallMachine machine = waitingMachine(true, budget);
    const CallActions actions = machine.step(callevent::RequestBroken {ResultCode::RequestTooSlow}, budget, Start);
    ASSERT_EQ(actions.size(), 2U);
    EXPECT_TRUE(std::holds_alternative<callaction::SendCancel>(actions.front()));
    EXPECT_EQ(finishIn(actions)->outcome, Outcome::Unknown);
    EXPECT_EQ(finishIn(actions)->code, ResultCode::RequestTooSlow);
}

TEST(CallMachineTest, IgnoresEventsOfEarlierAttempts)
{
    RetryBudget budget {RetryLimits {}};
    CallMachine machine = waitingMachine(false, budget);
    machine.step(callevent::Refused {1, ResultCode::SlotsFull}, budget, Start);
    machine.step(callevent::EndpointChosen {}, budget, Start);
    EXPECT_TRUE(machine.step(callevent::Refused {1, ResultCode::SlotsFull}, budget, Start).empty());
    EXPECT_TRUE(machine.step(callevent::ResponseStarted {1}, budget, Start).empty());
    EXPECT_TRUE(machine.step(callevent::ResponseCompleted {1}, budget, Start).empty());
    EXPECT_FALSE(machine.finished());
}

TEST(CallMachineTest, NeverReportsNotRunForIdempotentCallThatMayHaveRun)
{
    RetryBudget budget {RetryLimits {}};
    CallMachine machine = waitingMachine(true, budget);
    machine.step(callevent::ResponseLost {1, ResultCode::OutcomeUnknown}, budget, Start);
    const CallActions actions = machine.step(callevent::NoUsableEndpoint {ResultCode::NoEndpoint}, budget, Start);
    EXPECT_EQ(finishIn(actions)->outcome, Outcome::Unknown);
}

TEST(CallMachineTest, SendsNothingAfterTheDeadline)
{
    RetryBudget budget {RetryLimits {}};
    CallMachine machine(true, Deadline);
    machine.start();
    const CallActions actions = machine.step(callevent::EndpointChosen {}, budget, Deadline);
    ASSERT_NE(finishIn(actions), nullptr) << "the deadline passed while the process was paused";
    EXPECT_EQ(finishIn(actions)->outcome, Outcome::NotRun);
}

TEST(CallMachineTest, RetriesFailedResponseOnlyWhenIdempotentAndWithinTheBudget)
{
    RetryBudget budget {RetryLimits {}};
    CallMachine idempotent = waitingMachine(true, budget);
    const CallActions actions = idempotent.step(callevent::ResponseFailed {1}, budget, Start);
    ASSERT_EQ(actions.size(), 2U);
    EXPECT_TRUE(std::holds_alternative<callaction::SendCancel>(actions[0]));
    EXPECT_TRUE(std::holds_alternative<callaction::ChooseEndpoint>(actions[1]));

    CallMachine nonIdempotent = waitingMachine(false, budget);
    EXPECT_TRUE(nonIdempotent.step(callevent::ResponseFailed {1}, budget, Start).empty())
        << "the response is passed on";
    EXPECT_EQ(finishIn(nonIdempotent.step(callevent::ResponseCompleted {1}, budget, Start))->outcome,
              Outcome::Answered);

    RetryLimits noTokens;
    noTokens.maxTokens = 0;
    RetryBudget emptyBudget {noTokens};
    CallMachine idempotentWithoutBudget = waitingMachine(true, emptyBudget);
    EXPECT_TRUE(idempotentWithoutBudget.step(callevent::ResponseFailed {1}, emptyBudget, Start).empty())
        << "the response is passed on";
    EXPECT_EQ(finishIn(idempotentWithoutBudget.step(callevent::ResponseCompleted {1}, emptyBudget, Start))->outcome,
              Outcome::Answered);
}

TEST(CallMachineTest, RouteLimitsTheAttemptsOfACall)
{
    RetryBudget budget {RetryLimits {}};
    CallMachine machine(true, Deadline, 2);
    machine.start();
    machine.step(callevent::EndpointChosen {}, budget, Start);
    EXPECT_TRUE(
        choosesAnotherEndpoint(machine.step(callevent::ResponseLost {1, ResultCode::OutcomeUnknown}, budget, Start)));
    machine.step(callevent::EndpointChosen {}, budget, Start);
    const CallActions actions = machine.step(callevent::ResponseLost {2, ResultCode::OutcomeUnknown}, budget, Start);
    ASSERT_NE(finishIn(actions), nullptr);
    EXPECT_EQ(finishIn(actions)->retryRefusal, ResultCode::RetryAttemptsSpent);
}

TEST(CallMachineTest, FreeRefusalsCountNeitherAsAttemptsNorAgainstTheBudget)
{
    RetryLimits limits;
    limits.maxTokens = 0;
    limits.freeRefusals = 3;
    RetryBudget budget {limits};
    CallMachine machine(false, Deadline, 1);
    machine.start();
    for (std::uint32_t attempt = 1; attempt <= 3; ++attempt) {
        machine.step(callevent::EndpointChosen {}, budget, Start);
        EXPECT_TRUE(
            choosesAnotherEndpoint(machine.step(callevent::Refused {attempt, ResultCode::SlotsFull}, budget, Start)));
    }
    machine.step(callevent::EndpointChosen {}, budget, Start);
    const CallActions actions = machine.step(callevent::Refused {4, ResultCode::SlotsFull}, budget, Start);
    ASSERT_NE(finishIn(actions), nullptr);
    EXPECT_EQ(finishIn(actions)->outcome, Outcome::NotRun);
}
