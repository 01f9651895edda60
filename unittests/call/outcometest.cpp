// The state machine of one call: which failure leads to another attempt, and which outcome is told, as a table.
#include "jasminemast/call/outcome.h"

#include <gtest/gtest.h>

using namespace jasminemast;

namespace
{

struct Case
{
    const char *name;
    CallEvent event; ///< what ends the first attempt
    bool retriesIdempotent;
    bool retriesOther;
    Outcome otherwise; ///< outcome when there is no other attempt
};

const Case Cases[] = {
    {"notSent", callevent::NotSent {1}, true, true, Outcome::NotRun},
    {"refused", callevent::Refused {1, ResultCode::SlotsFull}, true, true, Outcome::NotRun},
    {"leaving", callevent::Refused {1, ResultCode::TargetLeaving}, true, true, Outcome::NotRun},
    {"lost", callevent::Lost {1, ResultCode::OutcomeUnknown}, true, false, Outcome::Unknown},
    {"peerDead", callevent::PeerDead {1}, true, false, Outcome::Unknown},
    {"fencedNotRun", callevent::FenceReplied {1, FenceStatus::NotRun}, true, true, Outcome::NotRun},
    {"fencedUnknown", callevent::FenceReplied {1, FenceStatus::Unknown}, true, false, Outcome::Unknown},
    {"deadline", callevent::DeadlinePassed {}, false, false, Outcome::Unknown},
    {"callerLeft", callevent::CallerLeft {}, false, false, Outcome::Unknown},
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

bool choosesAgain(const CallActions &actions)
{
    return actions.size() == 1 && std::holds_alternative<callaction::Choose>(actions.front());
}

class OutcomeTest : public testing::TestWithParam<Case>
{
};

} // namespace

TEST_P(OutcomeTest, retriesOnlyWhatCannotRunTwice)
{
    for (const bool repeatable : {false, true}) {
        RetryBudget budget {RetryLimits {}};
        CallMachine machine = waitingMachine(repeatable, budget);
        const CallActions actions = machine.step(GetParam().event, budget, Start);
        const bool retries = repeatable ? GetParam().retriesIdempotent : GetParam().retriesOther;
        EXPECT_EQ(choosesAgain(actions), retries);
        if (!retries) {
            ASSERT_NE(finishIn(actions), nullptr);
            EXPECT_EQ(finishIn(actions)->outcome, GetParam().otherwise);
        }
    }
}

TEST_P(OutcomeTest, tellsTheOutcomeWhenTheBudgetIsSpent)
{
    RetryLimits limits;
    limits.maxAttempts = 1;
    RetryBudget budget {limits};
    CallMachine machine = waitingMachine(true, budget);
    const CallActions actions = machine.step(GetParam().event, budget, Start);
    ASSERT_NE(finishIn(actions), nullptr);
    EXPECT_EQ(finishIn(actions)->outcome, GetParam().otherwise);
    EXPECT_TRUE(machine.step(GetParam().event, budget, Start).empty()) << "a call ends once";
}

INSTANTIATE_TEST_SUITE_P(All, OutcomeTest, testing::ValuesIn(Cases),
                         [](const auto &testCase) { return std::string(testCase.param.name); });

TEST(CallMachineTest, lostLinkIsFencedUnlessIdempotent)
{
    RetryBudget budget {RetryLimits {}};
    CallMachine machine = waitingMachine(false, budget);
    const CallActions actions = machine.step(callevent::LinkLost {1}, budget, Start);
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_TRUE(std::holds_alternative<callaction::SendFence>(actions.front()));
    EXPECT_TRUE(machine.step(callevent::FenceReplied {1, FenceStatus::Running}, budget, Start).empty());
    machine.step(callevent::AnswerBegan {1}, budget, Start);
    const CallActions end = machine.step(callevent::AnswerEnded {1}, budget, Start);
    EXPECT_EQ(finishIn(end)->outcome, Outcome::Answered);

    CallMachine idempotent = waitingMachine(true, budget);
    EXPECT_TRUE(choosesAgain(idempotent.step(callevent::LinkLost {1}, budget, Start)));
}

TEST(CallMachineTest, cutAnswerIsNeverWholeAndNeverRepeated)
{
    for (const CallEvent &cut : {CallEvent(callevent::LinkLost {1}), CallEvent(callevent::PeerDead {1}),
                                 CallEvent(callevent::Lost {1, ResultCode::OutcomeUnknown})}) {
        RetryBudget budget {RetryLimits {}};
        CallMachine machine = waitingMachine(true, budget);
        machine.step(callevent::AnswerBegan {1}, budget, Start);
        const CallActions actions = machine.step(cut, budget, Start);
        ASSERT_NE(finishIn(actions), nullptr);
        EXPECT_EQ(finishIn(actions)->outcome, Outcome::Unknown);
        EXPECT_EQ(finishIn(actions)->code, ResultCode::AnswerCut);
    }
}

TEST(CallMachineTest, eventsOfAnEarlierAttemptAreIgnored)
{
    RetryBudget budget {RetryLimits {}};
    CallMachine machine = waitingMachine(false, budget);
    machine.step(callevent::Refused {1, ResultCode::SlotsFull}, budget, Start);
    machine.step(callevent::EndpointChosen {}, budget, Start);
    EXPECT_TRUE(machine.step(callevent::Refused {1, ResultCode::SlotsFull}, budget, Start).empty());
    EXPECT_TRUE(machine.step(callevent::AnswerBegan {1}, budget, Start).empty());
    EXPECT_TRUE(machine.step(callevent::AnswerEnded {1}, budget, Start).empty());
    EXPECT_FALSE(machine.finished());
}

TEST(CallMachineTest, idempotentCallThatMayHaveRunIsNeverCalledNotRun)
{
    RetryBudget budget {RetryLimits {}};
    CallMachine machine = waitingMachine(true, budget);
    machine.step(callevent::Lost {1, ResultCode::OutcomeUnknown}, budget, Start);
    const CallActions actions = machine.step(callevent::NoneUsable {ResultCode::NoEndpoint}, budget, Start);
    EXPECT_EQ(finishIn(actions)->outcome, Outcome::Unknown);
}

TEST(CallMachineTest, nothingIsSentAfterTheDeadline)
{
    RetryBudget budget {RetryLimits {}};
    CallMachine machine(true, Deadline);
    machine.start();
    const CallActions actions = machine.step(callevent::EndpointChosen {}, budget, Deadline);
    ASSERT_NE(finishIn(actions), nullptr) << "as after a pause";
    EXPECT_EQ(finishIn(actions)->outcome, Outcome::NotRun);
}

TEST(CallMachineTest, failedAnswerIsTriedElsewhereOnlyWhenIdempotentAndWithinTheBudget)
{
    RetryBudget budget {RetryLimits {}};
    CallMachine idempotent = waitingMachine(true, budget);
    const CallActions actions = idempotent.step(callevent::AnswerFailed {1}, budget, Start);
    ASSERT_EQ(actions.size(), 2U);
    EXPECT_TRUE(std::holds_alternative<callaction::SendCancel>(actions[0]));
    EXPECT_TRUE(std::holds_alternative<callaction::Choose>(actions[1]));

    CallMachine once = waitingMachine(false, budget);
    EXPECT_TRUE(once.step(callevent::AnswerFailed {1}, budget, Start).empty()) << "the answer is passed on";
    EXPECT_EQ(finishIn(once.step(callevent::AnswerEnded {1}, budget, Start))->outcome, Outcome::Answered);

    RetryLimits spent;
    spent.maxTokens = 0;
    RetryBudget none {spent};
    CallMachine unpaid = waitingMachine(true, none);
    EXPECT_TRUE(unpaid.step(callevent::AnswerFailed {1}, none, Start).empty()) << "the answer is passed on";
    EXPECT_EQ(finishIn(unpaid.step(callevent::AnswerEnded {1}, none, Start))->outcome, Outcome::Answered);
}

TEST(CallMachineTest, routeBoundsTheTargetsThatGetACall)
{
    RetryBudget budget {RetryLimits {}};
    CallMachine machine(true, Deadline, 2);
    machine.start();
    machine.step(callevent::EndpointChosen {}, budget, Start);
    EXPECT_TRUE(choosesAgain(machine.step(callevent::Lost {1, ResultCode::OutcomeUnknown}, budget, Start)));
    machine.step(callevent::EndpointChosen {}, budget, Start);
    const CallActions actions = machine.step(callevent::Lost {2, ResultCode::OutcomeUnknown}, budget, Start);
    ASSERT_NE(finishIn(actions), nullptr);
    EXPECT_EQ(finishIn(actions)->stop, ResultCode::RetryAttemptsSpent);
}

TEST(CallMachineTest, refusalsByNodesCountNeitherAsAttemptNorAgainstTheBudgetWhileFree)
{
    RetryLimits limits;
    limits.maxTokens = 0;
    limits.freeRefusals = 3;
    RetryBudget budget {limits};
    CallMachine machine(false, Deadline, 1);
    machine.start();
    for (std::uint32_t attempt = 1; attempt <= 3; ++attempt) {
        machine.step(callevent::EndpointChosen {}, budget, Start);
        EXPECT_TRUE(choosesAgain(machine.step(callevent::Refused {attempt, ResultCode::SlotsFull}, budget, Start)));
    }
    machine.step(callevent::EndpointChosen {}, budget, Start);
    const CallActions actions = machine.step(callevent::Refused {4, ResultCode::SlotsFull}, budget, Start);
    ASSERT_NE(finishIn(actions), nullptr);
    EXPECT_EQ(finishIn(actions)->outcome, Outcome::NotRun);
}
