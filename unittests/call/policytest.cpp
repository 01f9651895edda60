// Retry budget, admission, choice, draining and the pause guard on a test clock.
#include "jasminemast/call/admission.h"
#include "jasminemast/call/drain.h"
#include "jasminemast/call/endpointselector.h"
#include "jasminemast/call/pausedetector.h"
#include "jasminemast/call/retry.h"
#include "jasminemast/call/target.h"

#include <gtest/gtest.h>

using namespace jasminemast;
using namespace std::chrono_literals;

namespace
{

const TimePoint Start {1h};

AttemptId attempt(std::uint64_t sequence)
{
    return {CallId {HostId("h"), Incarnation(1), sequence}, 1};
}

std::vector<Candidate> sixEndpoints()
{
    std::vector<Candidate> candidates;
    for (const char *name : {"a1", "a2", "b1", "b2", "c1", "c2"}) {
        const std::string text(name);
        candidates.push_back({EndpointId(text), HostId(text), ZoneId(text.substr(0, 1)),
                              RegionId(text[0] == 'c' ? "far" : "near"), 12, false});
    }
    return candidates;
}

std::map<char, int> picksByZone(EndpointSelector &choice, int count, TimePoint now)
{
    Random random(5);
    std::map<char, int> picks;
    for (int i = 0; i < count; ++i) {
        if (const auto picked = choice.pick({}, now, random)) {
            ++picks[picked->value()[0]];
        }
    }
    return picks;
}

ResultCode refusalIn(const AdmissionActions &actions)
{
    if (actions.empty() || !std::holds_alternative<AdmissionRefuse>(actions.back())) {
        return ResultCode::Ok;
    }
    return std::get<AdmissionRefuse>(actions.back()).code;
}

} // namespace

TEST(RetryBudgetTest, retriesAreAShareOfCalls)
{
    RetryBudget budget {RetryLimits {}};
    int granted = 0;
    for (int call = 0; call < 1'000; ++call) {
        budget.depositShare();
        granted += budget.refuse({ResultCode::SlotsFull, true, 1, Start + 1s}, Start) ? 0 : 1;
    }
    EXPECT_GE(granted, 100);
    EXPECT_LE(granted, 111);
}

TEST(RetryBudgetTest, stopsAreNamed)
{
    RetryBudget budget {RetryLimits {}};
    EXPECT_EQ(budget.refuse({ResultCode::OutcomeUnknown, false, 1, Start + 1s}, Start), ResultCode::RetryNotIdempotent);
    EXPECT_EQ(budget.refuse({ResultCode::OutcomeUnknown, true, 4, Start + 1s}, Start), ResultCode::RetryAttemptsSpent);
    EXPECT_EQ(budget.refuse({ResultCode::OutcomeUnknown, true, 1, Start}, Start), ResultCode::RetryDeadlineNear);
    EXPECT_EQ(budget.refuse({ResultCode::TargetLeaving, true, 1, Start + 1s}, Start), std::nullopt);
}

TEST(AdmissionTest, slotsAreExactAndTheQueueIsBounded)
{
    Admission admission({2, 1.0, 10ms});
    for (std::uint64_t i = 1; i <= 4; ++i) {
        EXPECT_EQ(refusalIn(admission.offer(attempt(i), Start + 1s, Start)), ResultCode::Ok);
    }
    EXPECT_EQ(admission.running(), 2U);
    EXPECT_EQ(admission.waiting(), 2U);
    EXPECT_EQ(refusalIn(admission.offer(attempt(5), Start + 1s, Start)), ResultCode::SlotsFull);
    const AdmissionActions next = admission.release(attempt(1), 10ms, Start);
    ASSERT_EQ(next.size(), 1U);
    EXPECT_EQ(std::get<AdmissionStart>(next.front()).attempt, attempt(3));
    EXPECT_EQ(admission.running(), 2U);
}

TEST(AdmissionTest, refusesWhatCannotStartInTime)
{
    Admission admission({1, 4.0, 100ms});
    admission.offer(attempt(1), Start + 1s, Start);
    EXPECT_EQ(refusalIn(admission.offer(attempt(2), Start + 50ms, Start)), ResultCode::StartTooLate);
    EXPECT_EQ(refusalIn(admission.offer(attempt(3), Start + 500ms, Start)), ResultCode::Ok);
}

TEST(AdmissionTest, waitingWorkAgesDuringAPause)
{
    Admission admission({1, 4.0, 10ms});
    admission.offer(attempt(1), Start + 10s, Start);
    admission.offer(attempt(2), Start + 1s, Start);
    admission.offer(attempt(3), Start + 10s, Start);
    const AdmissionActions actions = admission.release(attempt(1), 10ms, Start + 5s);
    ASSERT_EQ(actions.size(), 2U);
    EXPECT_EQ(std::get<AdmissionRefuse>(actions[0]).attempt, attempt(2));
    EXPECT_EQ(std::get<AdmissionStart>(actions[1]).attempt, attempt(3));
}

TEST(ChoiceTest, staysInItsZoneWhileThereIsCapacity)
{
    EndpointSelector choice(ZoneId("a"), RegionId("near"), {});
    choice.setCandidates(sixEndpoints(), Start);
    EXPECT_EQ(picksByZone(choice, 100, Start), (std::map<char, int> {{'a', 100}}));
}

TEST(ChoiceTest, spillsToItsRegionFirstAndReturnsLater)
{
    EndpointSelector choice(ZoneId("a"), RegionId("near"), {});
    choice.setCandidates(sixEndpoints(), Start);
    const auto reportOwnZone = [&](double load) {
        choice.reported(EndpointId("a1"), load, Start);
        choice.reported(EndpointId("a2"), load, Start);
    };
    reportOwnZone(1.0);
    const auto spilled = picksByZone(choice, 100, Start);
    EXPECT_GT(spilled.at('b'), 0);
    EXPECT_EQ(spilled.count('c'), 0U);
    reportOwnZone((EndpointSelectorLimits {}.zoneSpillAt + EndpointSelectorLimits {}.zoneReturnAt) / 2);
    EXPECT_GT(picksByZone(choice, 100, Start)['b'], 0) << "hysteresis";
    reportOwnZone(EndpointSelectorLimits {}.zoneReturnAt - 0.05);
    EXPECT_EQ(picksByZone(choice, 100, Start).count('b'), 0U);
}

TEST(ChoiceTest, leavingEndpointsGetNothingUntilTheAnnouncementAges)
{
    EndpointSelector choice(ZoneId("a"), RegionId("near"), {});
    choice.setCandidates(sixEndpoints(), Start);
    choice.setLeaving(EndpointId("a1"), true, Start);
    Random random(1);
    for (int i = 0; i < 100; ++i) {
        EXPECT_EQ(choice.pick({}, Start + 4s, random), EndpointId("a2"));
    }
    std::set<EndpointId> later;
    for (int i = 0; i < 100; ++i) {
        later.insert(*choice.pick({}, Start + 6s, random));
    }
    EXPECT_EQ(later.count(EndpointId("a1")), 1U);
}

TEST(ChoiceTest, neverEjectsMoreThanTheShare)
{
    EndpointSelector choice(ZoneId("a"), RegionId("near"), {});
    choice.setCandidates(sixEndpoints(), Start);
    for (const Candidate &candidate : sixEndpoints()) {
        for (int i = 0; i < 20; ++i) {
            choice.began(candidate.id);
            choice.ended(candidate.id, AttemptResult::Failure, Start);
        }
    }
    EXPECT_EQ(choice.ejectedCount(Start), 2U);
    Random random(1);
    EXPECT_TRUE(choice.pick({}, Start, random));
}

TEST(ChoiceTest, ejectionEndsAndOneMoreFailureRenewsIt)
{
    EndpointSelector choice(ZoneId("a"), RegionId("near"), {});
    choice.setCandidates(sixEndpoints(), Start);
    const EndpointId id("a1");
    for (int i = 0; i < 4; ++i) {
        EXPECT_EQ(choice.ejectedCount(Start), 0U);
        choice.ended(id, AttemptResult::Failure, Start);
    }
    EXPECT_EQ(choice.ejectedCount(Start + 900ms), 1U);
    EXPECT_EQ(choice.ejectedCount(Start + 1s), 0U);
    choice.ended(id, AttemptResult::Failure, Start + 1s);
    EXPECT_EQ(choice.ejectedCount(Start + 2900ms), 1U);
}

TEST(ChoiceTest, endpointThatFailsEveryOtherTimeIsEjected)
{
    EndpointSelector choice(ZoneId("a"), RegionId("near"), {});
    choice.setCandidates(sixEndpoints(), Start);
    for (int i = 0; i < 20; ++i) {
        choice.ended(EndpointId("a1"), i % 2 == 0 ? AttemptResult::Success : AttemptResult::Failure, Start);
        choice.ended(EndpointId("a2"), i % 10 == 0 ? AttemptResult::Failure : AttemptResult::Success, Start);
    }
    EXPECT_EQ(choice.ejectedCount(Start), 1U);
}

TEST(ChoiceTest, restartedEndpointStartsSlowly)
{
    EndpointSelector choice(ZoneId("a"), RegionId("near"), {});
    choice.setCandidates(sixEndpoints(), Start);
    choice.setRestarted(HostId("a1"), Start);
    for (int i = 0; i < 6; ++i) {
        choice.began(EndpointId("a2"));
    }
    Random random(1);
    EXPECT_EQ(choice.pick({}, Start, random), EndpointId("a2")) << "cold and idle against warm and half full";
    EXPECT_EQ(choice.pick({}, Start + 5s, random), EndpointId("a1"));
}

TEST(ChoiceTest, retryAvoidsTheEndpointThatFailed)
{
    EndpointSelector choice(ZoneId("a"), RegionId("near"), {});
    choice.setCandidates(sixEndpoints(), Start);
    Random random(1);
    for (int i = 0; i < 50; ++i) {
        EXPECT_EQ(choice.pick({EndpointId("a1")}, Start, random), EndpointId("a2"));
    }
}

TEST(ChoiceTest, silentHostsGetNothingWhileOthersAnswer)
{
    EndpointSelector choice(ZoneId("a"), RegionId("near"), {});
    choice.setCandidates(sixEndpoints(), Start);
    choice.setSilent(HostId("a1"), true);
    EXPECT_EQ(picksByZone(choice, 100, Start), (std::map<char, int> {{'a', 100}}));
    choice.setSilent(HostId("a2"), true);
    EXPECT_EQ(picksByZone(choice, 100, Start).count('a'), 0U) << "the next zones take over";
    for (const Candidate &candidate : sixEndpoints()) {
        choice.setSilent(candidate.host, true);
    }
    EXPECT_EQ(picksByZone(choice, 100, Start).count('a'), 1U) << "all silent: the fault may be on this side";
    choice.setSilent(HostId("a1"), false);
    Random random(1);
    EXPECT_EQ(choice.pick({}, Start, random), EndpointId("a1"));
}

TEST(ChoiceTest, fullEndpointsAreLeftAloneUntilRoomIsLikely)
{
    EndpointSelector choice(ZoneId("a"), RegionId("near"), {});
    choice.setCandidates(sixEndpoints(), Start);
    Random random(1);
    for (const Candidate &candidate : sixEndpoints()) {
        choice.reported(candidate.id, 2.0, Start);
    }
    // Seen in callfaulttest: targets that take a millisecond were taken for full long after they had room again.
    EXPECT_TRUE(choice.pick({}, Start + 50ms, random)) << "a report alone refuses nobody";
    EXPECT_FALSE(choice.pick({}, Start + 50ms, random, EndpointSelector::Room::Needed))
        << "a call that was refused for load";
    choice.reported(EndpointId("c1"), 1.5, Start);
    EXPECT_EQ(choice.pick({}, Start + 50ms, random), EndpointId("c1"));
    EXPECT_TRUE(choice.pick({}, Start + 200ms, random, EndpointSelector::Room::Needed));
}

TEST(DrainTest, oneHealthPageLeavesAndThreeReturn)
{
    Drain drain({});
    EXPECT_EQ(drain.onHealth(true, Start), DrainAction::AnnounceLeaving);
    EXPECT_EQ(drain.onHealth(false, Start), DrainAction::None);
    EXPECT_EQ(drain.onHealth(false, Start), DrainAction::None);
    EXPECT_TRUE(drain.leaving());
    EXPECT_EQ(drain.onHealth(false, Start), DrainAction::AnnounceBack);
}

TEST(DrainTest, announcementIsRepeatedAndASignalIsFinal)
{
    Drain drain({});
    drain.set(DrainReason::Signal, true, Start);
    EXPECT_EQ(drain.tick(Start + 900ms), DrainAction::None);
    EXPECT_EQ(drain.tick(Start + 1s), DrainAction::AnnounceLeaving);
    EXPECT_EQ(drain.set(DrainReason::Signal, false, Start + 2s), DrainAction::None);
    EXPECT_TRUE(drain.leaving());
}

TEST(PauseGuardTest, inputAfterAGapIsOld)
{
    PauseDetector guard({}, Start);
    EXPECT_FALSE(guard.observe(Start + 100ms));
    EXPECT_EQ(guard.observe(Start + 3100ms), Duration(3s));
    EXPECT_EQ(guard.inputAge(Start + 3200ms), Duration(3s));
    EXPECT_EQ(guard.inputAge(Start + 3400ms), Duration::zero());
}

namespace
{

OpenRequest openRequest(std::uint64_t sequence, Microseconds remaining)
{
    return {attempt(sequence), EndpointId("e"), Incarnation(1), LinkGeneration(1), remaining, false};
}

bool refusesWith(const TargetActions &actions, ResultCode code)
{
    const auto *refusal = actions.empty() ? nullptr : std::get_if<targetaction::Refuse>(&actions.front());
    return refusal != nullptr && refusal->code == code;
}

} // namespace

/// One endpoint of one slot.
class TargetCoreTest : public testing::Test
{
protected:
    TargetCoreTest()
    {
        m_core.setEndpoints({{EndpointId("e"), 1, false}}, Start);
    }

    /// Offers calls 1 and 2: the first runs, the second waits.
    void fill()
    {
        m_core.onOpen(openRequest(1, 1s), {}, Start);
        m_core.onOpen(openRequest(2, 1s), {}, Start);
    }

    ManualClock m_clock;
    Metrics m_metrics {m_clock};
    TargetCore m_core {Incarnation(1), {}, m_metrics};
};

class LeavingTargetTest : public TargetCoreTest, public testing::WithParamInterface<DrainReason>
{
};

TEST_P(LeavingTargetTest, takesNothingNewAndCutsNothing)
{
    fill();
    if (GetParam() == DrainReason::HealthPage) {
        m_core.onHealth(EndpointId("e"), true, Start);
    } else if (GetParam() == DrainReason::Ticket) {
        m_core.setEndpoints({{EndpointId("e"), 1, true}}, Start);
    } else {
        m_core.setLeaving(GetParam(), true, Start);
    }
    EXPECT_TRUE(refusesWith(m_core.onOpen(openRequest(3, 1s), {}, Start), ResultCode::TargetLeaving));
    EXPECT_EQ(m_core.accepted(), 2U);
    const TargetActions next = m_core.onResponseReceived(attempt(1), nullptr, Start + 10ms);
    ASSERT_EQ(next.size(), 1U);
    EXPECT_TRUE(std::holds_alternative<targetaction::Start>(next.front())) << "the waiting one still runs";
    m_core.onResponseReceived(attempt(2), nullptr, Start + 20ms);
    EXPECT_EQ(m_core.accepted(), 0U);
}

INSTANTIATE_TEST_SUITE_P(EveryReason, LeavingTargetTest,
                         testing::Values(DrainReason::Signal, DrainReason::HostList, DrainReason::HealthPage,
                                         DrainReason::Ticket));

// Behind a narrow link an answer may take a second to leave; its slot was kept from the calls behind it for as long.
TEST_F(TargetCoreTest, answerOnItsWayHoldsNoSlot)
{
    fill();
    const TargetActions next = m_core.onResponseReady(attempt(1), Start + 10ms);
    ASSERT_EQ(next.size(), 1U);
    EXPECT_EQ(std::get<targetaction::Start>(next.front()).attempt, attempt(2));
    EXPECT_EQ(m_core.accepted(), 2U) << "its transfer is not over";
    EXPECT_TRUE(m_core.onResponseReady(attempt(1), Start + 11ms).empty());
    m_core.onOpen(openRequest(3, 1s), {}, Start + 11ms);
    EXPECT_TRUE(m_core.onResponseReady(attempt(2), Start + 12ms).empty()) << "as many transfers as slots";
    EXPECT_TRUE(m_core.onResponseReceived(attempt(1), nullptr, Start + 20ms).empty()) << "its slot was freed before";
    EXPECT_EQ(m_core.onResponseReceived(attempt(2), nullptr, Start + 21ms).size(), 1U);
    EXPECT_EQ(m_core.accepted(), 1U);
}

TEST_F(TargetCoreTest, transferGoesOnAfterItsEndpointWasRemoved)
{
    m_core.onOpen(openRequest(1, 1s), {}, Start);
    m_core.onResponseReady(attempt(1), Start + 10ms);
    m_core.setEndpoints({}, Start + 11ms);
    EXPECT_TRUE(m_core.hasAttempt(attempt(1)));
    EXPECT_TRUE(m_core.onResponseReceived(attempt(1), nullptr, Start + 20ms).empty());
    EXPECT_EQ(m_core.accepted(), 0U);
}

TEST_F(TargetCoreTest, endpointRemovedByATicketFinishesItsWork)
{
    fill();
    m_core.setEndpoints({}, Start);
    EXPECT_TRUE(refusesWith(m_core.onOpen(openRequest(3, 1s), {}, Start), ResultCode::EndpointElsewhere));
    EXPECT_EQ(m_core.onResponseReceived(attempt(1), nullptr, Start + 10ms).size(), 1U);
    m_core.onResponseReceived(attempt(2), nullptr, Start + 20ms);
    EXPECT_EQ(m_core.accepted(), 0U);
}

TEST_F(TargetCoreTest, inputReadAfterAPauseIsAged)
{
    EXPECT_TRUE(refusesWith(m_core.onOpen(openRequest(1, 1s), 3s, Start), ResultCode::StartTooLate));
}

TEST_F(TargetCoreTest, deadlineEndsARunningRequest)
{
    m_core.onOpen(openRequest(1, 1s), {}, Start);
    const TargetActions actions = m_core.tick(Start + 1s);
    ASSERT_EQ(actions.size(), 2U);
    EXPECT_TRUE(std::holds_alternative<targetaction::Fail>(actions[0]));
    EXPECT_TRUE(std::holds_alternative<targetaction::Abort>(actions[1]));
    EXPECT_EQ(m_core.load(EndpointId("e")), 0);
}

TEST_F(TargetCoreTest, fenceWithdrawsAWaitingCall)
{
    fill();
    const TargetActions actions = m_core.onFence({attempt(2), Incarnation(1), LinkGeneration(2)}, Start);
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_EQ(std::get<targetaction::ReplyToFence>(actions[0]).answer.status, FenceStatus::NotRun);
    EXPECT_TRUE(m_core.onResponseReceived(attempt(1), nullptr, Start).empty()) << "the fenced one never starts";
}

TEST_F(TargetCoreTest, cancelledWaitingCallIsNotRun)
{
    fill();
    EXPECT_TRUE(refusesWith(m_core.onCancel(attempt(2), Start), ResultCode::CallWithdrawn));
    EXPECT_TRUE(m_core.onResponseReceived(attempt(1), nullptr, Start).empty()) << "nothing is left to start";
}
