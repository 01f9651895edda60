// Retry budget, admission, endpoint selection, draining and pause detection on a test clock.
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

std::map<char, int> picksByZone(EndpointSelector &selector, int count, TimePoint now)
{
    Random random(5);
    std::map<char, int> picks;
    for (int i = 0; i < count; ++i) {
        if (const auto picked = selector.pick({}, now, random)) {
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

TEST(RetryBudgetTest, GrantsRetriesAsAShareOfCalls)
{
    RetryBudget budget {RetryLimits {}};
    int granted = 0;
    for (int call = 0; call < 1'000; ++call) {
        budget.depositTokens();
        granted += budget.refuseOrTakeToken({ResultCode::SlotsFull, true, 1, Start + 1s}, Start) ? 0 : 1;
    }
    EXPECT_GE(granted, 100);
    EXPECT_LE(granted, 111);
}

TEST(RetryBudgetTest, ReturnsTheReasonForARefusal)
{
    RetryBudget budget {RetryLimits {}};
    EXPECT_EQ(budget.refuseOrTakeToken({ResultCode::OutcomeUnknown, false, 1, Start + 1s}, Start),
              ResultCode::RetryNotIdempotent);
    EXPECT_EQ(budget.refuseOrTakeToken({ResultCode::OutcomeUnknown, true, 4, Start + 1s}, Start),
              ResultCode::RetryAttemptsSpent);
    EXPECT_EQ(budget.refuseOrTakeToken({ResultCode::OutcomeUnknown, true, 1, Start}, Start),
              ResultCode::RetryDeadlineNear);
    EXPECT_EQ(budget.refuseOrTakeToken({ResultCode::TargetLeaving, true, 1, Start + 1s}, Start), std::nullopt);
}

TEST(AdmissionTest, NeverExceedsSlotsAndQueueLimit)
{
    Admission admission({2, 1.0, 10ms});
    for (std::uint64_t i = 1; i <= 4; ++i) {
        EXPECT_EQ(refusalIn(admission.submit(attempt(i), Start + 1s, Start)), ResultCode::Ok);
    }
    EXPECT_EQ(admission.running(), 2U);
    EXPECT_EQ(admission.queued(), 2U);
    EXPECT_EQ(refusalIn(admission.submit(attempt(5), Start + 1s, Start)), ResultCode::SlotsFull);
    const AdmissionActions next = admission.release(attempt(1), 10ms, Start);
    ASSERT_EQ(next.size(), 1U);
    EXPECT_EQ(std::get<AdmissionStart>(next.front()).attempt, attempt(3));
    EXPECT_EQ(admission.running(), 2U);
}

TEST(AdmissionTest, RefusesAttemptsThatCannotStartInTime)
{
    Admission admission({1, 4.0, 100ms});
    admission.submit(attempt(1), Start + 1s, Start);
    EXPECT_EQ(refusalIn(admission.submit(attempt(2), Start + 50ms, Start)), ResultCode::StartTooLate);
    EXPECT_EQ(refusalIn(admission.submit(attempt(3), Start + 500ms, Start)), ResultCode::Ok);
}

TEST(AdmissionTest, RefusesQueuedAttemptsThatExpiredDuringAPause)
{
    Admission admission({1, 4.0, 10ms});
    admission.submit(attempt(1), Start + 10s, Start);
    admission.submit(attempt(2), Start + 1s, Start);
    admission.submit(attempt(3), Start + 10s, Start);
    const AdmissionActions actions = admission.release(attempt(1), 10ms, Start + 5s);
    ASSERT_EQ(actions.size(), 2U);
    EXPECT_EQ(std::get<AdmissionRefuse>(actions[0]).attempt, attempt(2));
    EXPECT_EQ(std::get<AdmissionStart>(actions[1]).attempt, attempt(3));
}

TEST(EndpointSelectorTest, StaysInItsZoneWhileThereIsCapacity)
{
    EndpointSelector selector(ZoneId("a"), RegionId("near"), {});
    selector.setCandidates(sixEndpoints(), Start);
    EXPECT_EQ(picksByZone(selector, 100, Start), (std::map<char, int> {{'a', 100}}));
}

TEST(EndpointSelectorTest, SpillsToItsRegionFirstAndReturnsWithHysteresis)
{
    EndpointSelector selector(ZoneId("a"), RegionId("near"), {});
    selector.setCandidates(sixEndpoints(), Start);
    const auto recordZoneLoad = [&](double load) {
        selector.recordReport(EndpointId("a1"), {static_cast<float>(load)}, Start);
        selector.recordReport(EndpointId("a2"), {static_cast<float>(load)}, Start);
    };
    recordZoneLoad(1.0);
    const auto spilled = picksByZone(selector, 100, Start);
    EXPECT_GT(spilled.at('b'), 0);
    EXPECT_EQ(spilled.count('c'), 0U);
    recordZoneLoad((EndpointSelectorLimits {}.zoneSpillThreshold + EndpointSelectorLimits {}.zoneReturnThreshold) / 2);
    EXPECT_GT(picksByZone(selector, 100, Start)['b'], 0) << "between the return and the spill threshold";
    recordZoneLoad(EndpointSelectorLimits {}.zoneReturnThreshold - 0.05);
    EXPECT_EQ(picksByZone(selector, 100, Start).count('b'), 0U);
}

TEST(EndpointSelectorTest, ExcludesLeavingEndpointsUntilTheAnnouncementExpires)
{
    EndpointSelector selector(ZoneId("a"), RegionId("near"), {});
    selector.setCandidates(sixEndpoints(), Start);
    selector.setLeaving(EndpointId("a1"), true, Start);
    Random random(1);
    for (int i = 0; i < 100; ++i) {
        EXPECT_EQ(selector.pick({}, Start + 4s, random), EndpointId("a2"));
    }
    std::set<EndpointId> later;
    for (int i = 0; i < 100; ++i) {
        later.insert(*selector.pick({}, Start + 6s, random));
    }
    EXPECT_EQ(later.count(EndpointId("a1")), 1U);
}

TEST(EndpointSelectorTest, NeverEjectsMoreThanTheMaxShare)
{
    EndpointSelector selector(ZoneId("a"), RegionId("near"), {});
    selector.setCandidates(sixEndpoints(), Start);
    for (const Candidate &candidate : sixEndpoints()) {
        for (int i = 0; i < 20; ++i) {
            selector.recordStart(candidate.id);
            selector.recordEnd(candidate.id, AttemptResult::Failure, Start);
        }
    }
    EXPECT_EQ(selector.ejectedCount(Start), 2U);
    Random random(1);
    EXPECT_TRUE(selector.pick({}, Start, random));
}

TEST(EndpointSelectorTest, EjectionEndsAndOneMoreFailureRenewsIt)
{
    EndpointSelector selector(ZoneId("a"), RegionId("near"), {});
    selector.setCandidates(sixEndpoints(), Start);
    const EndpointId id("a1");
    for (int i = 0; i < 4; ++i) {
        EXPECT_EQ(selector.ejectedCount(Start), 0U);
        selector.recordEnd(id, AttemptResult::Failure, Start);
    }
    EXPECT_EQ(selector.ejectedCount(Start + 900ms), 1U);
    EXPECT_EQ(selector.ejectedCount(Start + 1s), 0U);
    selector.recordEnd(id, AttemptResult::Failure, Start + 1s);
    EXPECT_EQ(selector.ejectedCount(Start + 2900ms), 1U);
}

TEST(EndpointSelectorTest, EjectsEndpointThatFailsEveryOtherTime)
{
    EndpointSelector selector(ZoneId("a"), RegionId("near"), {});
    selector.setCandidates(sixEndpoints(), Start);
    for (int i = 0; i < 20; ++i) {
        selector.recordEnd(EndpointId("a1"), i % 2 == 0 ? AttemptResult::Success : AttemptResult::Failure, Start);
        selector.recordEnd(EndpointId("a2"), i % 10 == 0 ? AttemptResult::Failure : AttemptResult::Success, Start);
    }
    EXPECT_EQ(selector.ejectedCount(Start), 1U);
}

TEST(EndpointSelectorTest, RestartedEndpointStartsSlowly)
{
    EndpointSelector selector(ZoneId("a"), RegionId("near"), {});
    selector.setCandidates(sixEndpoints(), Start);
    selector.setRestarted(HostId("a1"), Start);
    for (int i = 0; i < 6; ++i) {
        selector.recordStart(EndpointId("a2"));
    }
    Random random(1);
    EXPECT_EQ(selector.pick({}, Start, random), EndpointId("a2"))
        << "a1 is warming up and idle, a2 is warmed up and has half its slots taken";
    EXPECT_EQ(selector.pick({}, Start + 5s, random), EndpointId("a1"));
}

TEST(EndpointSelectorTest, RetryAvoidsTheEndpointThatFailed)
{
    EndpointSelector selector(ZoneId("a"), RegionId("near"), {});
    selector.setCandidates(sixEndpoints(), Start);
    Random random(1);
    for (int i = 0; i < 50; ++i) {
        EXPECT_EQ(selector.pick({{EndpointId("a1")}, {}}, Start, random), EndpointId("a2"));
    }
}

TEST(EndpointSelectorTest, ExcludesSilentHostsWhileOthersAreReachable)
{
    EndpointSelector selector(ZoneId("a"), RegionId("near"), {});
    selector.setCandidates(sixEndpoints(), Start);
    selector.setSilent(HostId("a1"), true);
    EXPECT_EQ(picksByZone(selector, 100, Start), (std::map<char, int> {{'a', 100}}));
    selector.setSilent(HostId("a2"), true);
    EXPECT_EQ(picksByZone(selector, 100, Start).count('a'), 0U) << "the other zones take over";
    for (const Candidate &candidate : sixEndpoints()) {
        selector.setSilent(candidate.host, true);
    }
    EXPECT_EQ(picksByZone(selector, 100, Start).count('a'), 1U) << "all silent: the fault may be on this host";
    selector.setSilent(HostId("a1"), false);
    Random random(1);
    EXPECT_EQ(selector.pick({}, Start, random), EndpointId("a1"));
}

TEST(EndpointSelectorTest, ExcludesFullEndpointsUntilTheReportExpires)
{
    EndpointSelector selector(ZoneId("a"), RegionId("near"), {});
    selector.setCandidates(sixEndpoints(), Start);
    Random random(1);
    for (const Candidate &candidate : sixEndpoints()) {
        selector.recordReport(candidate.id, {static_cast<float>(2.0)}, Start);
    }
    // In callfaulttest, targets that need a millisecond per request were treated as full long after they had capacity
    // again.
    EXPECT_TRUE(selector.pick({}, Start + 50ms, random)) << "a report alone refuses no call";
    EXPECT_FALSE(selector.pick({}, Start + 50ms, random, EndpointSelector::FullEndpoints::Excluded))
        << "a call that was refused because of load";
    selector.recordReport(EndpointId("c1"), {static_cast<float>(1.5)}, Start);
    EXPECT_EQ(selector.pick({}, Start + 50ms, random), EndpointId("c1"));
    EXPECT_TRUE(selector.pick({}, Start + 200ms, random, EndpointSelector::FullEndpoints::Excluded));
}

TEST(DrainTest, OneHealthPageStartsDrainingAndThreeEndIt)
{
    Drain drain({});
    EXPECT_EQ(drain.onHealth(true, Start), DrainAction::AnnounceLeaving);
    EXPECT_EQ(drain.onHealth(false, Start), DrainAction::None);
    EXPECT_EQ(drain.onHealth(false, Start), DrainAction::None);
    EXPECT_TRUE(drain.leaving());
    EXPECT_EQ(drain.onHealth(false, Start), DrainAction::AnnounceReturn);
}

TEST(DrainTest, RepeatsTheAnnouncementAndNeverEndsAfterASignal)
{
    Drain drain({});
    drain.setReason(DrainReason::Signal, true, Start);
    EXPECT_EQ(drain.tick(Start + 900ms), DrainAction::None);
    EXPECT_EQ(drain.tick(Start + 1s), DrainAction::AnnounceLeaving);
    EXPECT_EQ(drain.setReason(DrainReason::Signal, false, Start + 2s), DrainAction::None);
    EXPECT_TRUE(drain.leaving());
}

TEST(PauseDetectorTest, InputAfterAPauseMayHaveArrivedDuringThePause)
{
    PauseDetector detector({}, Start);
    EXPECT_FALSE(detector.observe(Start + 100ms));
    EXPECT_EQ(detector.observe(Start + 3100ms), Duration(3s));
    const ArrivalTime soonAfter = detector.arrivalTime(Start + 3200ms);
    EXPECT_EQ(soonAfter.earliest, Start + 200ms);
    EXPECT_EQ(soonAfter.latest, Start + 3200ms);
    const ArrivalTime later = detector.arrivalTime(Start + 3400ms);
    EXPECT_EQ(later.earliest, Start + 3400ms);
    EXPECT_EQ(later.latest, Start + 3400ms);
}

namespace
{

OpenRequest openRequest(std::uint64_t sequence, Microseconds remaining)
{
    return {attempt(sequence), EndpointId("e"), Incarnation(1), LinkGeneration(1), remaining, remaining, false};
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

    /// Opens attempts 1 and 2: the first runs, the second is queued.
    void fillSlotAndQueue()
    {
        m_core.onOpen(openRequest(1, 1s), {Start, Start}, Start);
        m_core.onOpen(openRequest(2, 1s), {Start, Start}, Start);
    }

    ManualClock m_clock;
    Metrics m_metrics {m_clock};
    TargetCore m_core {Incarnation(1), {}, m_metrics};
};

class LeavingTargetTest : public TargetCoreTest, public testing::WithParamInterface<DrainReason>
{
};

TEST_P(LeavingTargetTest, RefusesNewAttemptsAndFinishesAcceptedOnes)
{
    fillSlotAndQueue();
    if (GetParam() == DrainReason::HealthPage) {
        m_core.onHealth(EndpointId("e"), true, Start);
    } else if (GetParam() == DrainReason::Ticket) {
        m_core.setEndpoints({{EndpointId("e"), 1, true}}, Start);
    } else {
        m_core.setLeaving(GetParam(), true, Start);
    }
    EXPECT_TRUE(refusesWith(m_core.onOpen(openRequest(3, 1s), {Start, Start}, Start), ResultCode::TargetLeaving));
    EXPECT_EQ(m_core.accepted(), 2U);
    const TargetActions next = m_core.onResponseReceived(attempt(1), nullptr, Start + 10ms);
    ASSERT_EQ(next.size(), 1U);
    EXPECT_TRUE(std::holds_alternative<targetaction::Start>(next.front())) << "the queued attempt still runs";
    m_core.onResponseReceived(attempt(2), nullptr, Start + 20ms);
    EXPECT_EQ(m_core.accepted(), 0U);
}

INSTANTIATE_TEST_SUITE_P(EveryReason, LeavingTargetTest,
                         testing::Values(DrainReason::Signal, DrainReason::HostList, DrainReason::HealthPage,
                                         DrainReason::Ticket, DrainReason::Evacuation));

// On a link of low bandwidth the transfer of a response may take a second; meanwhile its slot blocked queued attempts.
TEST_F(TargetCoreTest, ResponseInTransferHoldsNoSlot)
{
    fillSlotAndQueue();
    const TargetActions next = m_core.onResponseReady(attempt(1), Start + 10ms);
    ASSERT_EQ(next.size(), 1U);
    EXPECT_EQ(std::get<targetaction::Start>(next.front()).attempt, attempt(2));
    EXPECT_EQ(m_core.accepted(), 2U) << "the transfer is not complete";
    EXPECT_TRUE(m_core.onResponseReady(attempt(1), Start + 11ms).empty());
    m_core.onOpen(openRequest(3, 1s), {Start + 11ms, Start + 11ms}, Start + 11ms);
    EXPECT_TRUE(m_core.onResponseReady(attempt(2), Start + 12ms).empty()) << "as many transfers as slots";
    EXPECT_TRUE(m_core.onResponseReceived(attempt(1), nullptr, Start + 20ms).empty()) << "its slot was freed before";
    EXPECT_EQ(m_core.onResponseReceived(attempt(2), nullptr, Start + 21ms).size(), 1U);
    EXPECT_EQ(m_core.accepted(), 1U);
}

TEST_F(TargetCoreTest, TransferContinuesAfterItsEndpointWasRemoved)
{
    m_core.onOpen(openRequest(1, 1s), {Start, Start}, Start);
    m_core.onResponseReady(attempt(1), Start + 10ms);
    m_core.setEndpoints({}, Start + 11ms);
    EXPECT_TRUE(m_core.hasAttempt(attempt(1)));
    EXPECT_TRUE(m_core.onResponseReceived(attempt(1), nullptr, Start + 20ms).empty());
    EXPECT_EQ(m_core.accepted(), 0U);
}

TEST_F(TargetCoreTest, RemovedEndpointFinishesItsAttempts)
{
    fillSlotAndQueue();
    m_core.setEndpoints({}, Start);
    EXPECT_TRUE(refusesWith(m_core.onOpen(openRequest(3, 1s), {Start, Start}, Start), ResultCode::EndpointElsewhere));
    EXPECT_EQ(m_core.onResponseReceived(attempt(1), nullptr, Start + 10ms).size(), 1U);
    m_core.onResponseReceived(attempt(2), nullptr, Start + 20ms);
    EXPECT_EQ(m_core.accepted(), 0U);
}

// A target that reported that it drains gets no request some seconds later, although it may still be there.
TEST_F(TargetCoreTest, RefusesWhatStillWaitsSomeTimeAfterItsTargetLeft)
{
    for (const bool isRemoved : {false, true}) {
        TargetCore core {Incarnation(1), {}, m_metrics};
        core.setEndpoints({{EndpointId("e"), 1, false}}, Start);
        core.onOpen(openRequest(1, 8s), {Start, Start}, Start);
        core.onOpen(openRequest(2, 8s), {Start, Start}, Start);
        core.setEndpoints(
            isRemoved ? std::vector<LocalEndpoint>() : std::vector<LocalEndpoint> {{EndpointId("e"), 1, true}}, Start);
        core.setEndpoints(isRemoved ? std::vector<LocalEndpoint>()
                                    : std::vector<LocalEndpoint> {{EndpointId("e"), 1, true}},
                          Start + 900ms);
        EXPECT_TRUE(core.tick(Start + 900ms).empty());
        EXPECT_TRUE(refusesWith(core.tick(Start + 1s), ResultCode::TargetLeaving)) << isRemoved;
        EXPECT_EQ(core.accepted(), 1U) << "what runs goes on";
        EXPECT_TRUE(core.onResponseReceived(attempt(1), nullptr, Start + 2s).empty());
    }
}

// "Not run" would be wrong for an attempt that runs already.
TEST_F(TargetCoreTest, RefusalConcernsOnlyAnAttemptThatIsNotKnown)
{
    m_core.onOpen(openRequest(1, 1s), {Start, Start}, Start);
    EXPECT_TRUE(m_core.onOpen(openRequest(1, 1s), {Start, Start}, Start, ResultCode::MemoryShort).empty());
    EXPECT_TRUE(refusesWith(m_core.onOpen(openRequest(2, 1s), {Start, Start}, Start, ResultCode::MemoryShort),
                            ResultCode::MemoryShort));
    EXPECT_TRUE(refusesWith(m_core.onOpen(openRequest(2, 1s), {Start, Start}, Start), ResultCode::MemoryShort))
        << "refused for good";
    EXPECT_EQ(m_core.accepted(), 1U);
}

TEST_F(TargetCoreTest, TargetThatReturnsKeepsItsQueue)
{
    fillSlotAndQueue();
    m_core.setEndpoints({{EndpointId("e"), 1, true}}, Start);
    m_core.setEndpoints({{EndpointId("e"), 1, false}}, Start + 100ms);
    m_core.tick(Start + 1s - 300ms);
    EXPECT_EQ(m_core.accepted(), 2U);
}

TEST_F(TargetCoreTest, StartsNothingForACallerThatMayHaveStoppedWaiting)
{
    EXPECT_TRUE(refusesWith(m_core.onOpen(openRequest(1, 1s), {Start - 3s, Start}, Start), ResultCode::StartTooLate));
}

TEST_F(TargetCoreTest, RunsUntilTheCallerHasStoppedWaiting)
{
    const TargetActions started = m_core.onOpen(openRequest(1, 4s), {Start - 3s, Start}, Start);
    ASSERT_EQ(started.size(), 1U);
    EXPECT_EQ(std::get<targetaction::Start>(started.front()).startDeadline, Start + 1s);
    EXPECT_EQ(std::get<targetaction::Start>(started.front()).deadline, Start + 4s);
    EXPECT_TRUE(m_core.tick(Start + 3999ms).empty());
    EXPECT_FALSE(m_core.tick(Start + 4s).empty());
}

TEST_F(TargetCoreTest, AbortsRunningRequestAtTheDeadline)
{
    m_core.onOpen(openRequest(1, 1s), {Start, Start}, Start);
    const TargetActions actions = m_core.tick(Start + 1s);
    ASSERT_EQ(actions.size(), 2U);
    EXPECT_TRUE(std::holds_alternative<targetaction::Fail>(actions[0]));
    EXPECT_TRUE(std::holds_alternative<targetaction::Abort>(actions[1]));
    EXPECT_EQ(m_core.report(EndpointId("e"), Start + 1s).load, 0);
}

TEST_F(TargetCoreTest, FenceWithdrawsAQueuedAttempt)
{
    fillSlotAndQueue();
    const TargetActions actions = m_core.onFence({attempt(2), Incarnation(1), LinkGeneration(2)}, Start);
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_EQ(std::get<targetaction::ReplyToFence>(actions[0]).result.status, FenceStatus::NotRun);
    EXPECT_TRUE(m_core.onResponseReceived(attempt(1), nullptr, Start).empty()) << "the fenced attempt never starts";
}

TEST_F(TargetCoreTest, CanceledQueuedAttemptIsNotRun)
{
    fillSlotAndQueue();
    EXPECT_TRUE(refusesWith(m_core.onCancel(attempt(2), ResultCode::CallWithdrawn, Start), ResultCode::CallWithdrawn));
    EXPECT_TRUE(m_core.onResponseReceived(attempt(1), nullptr, Start).empty()) << "nothing is left to start";
}
