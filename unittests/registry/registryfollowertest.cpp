// Tracking of a registry that fails, loses its change history, or repeats and reorders changes.
#include "jasminemast/registry/registryfollower.h"

#include <gtest/gtest.h>

using namespace jasminemast;
using namespace std::chrono_literals;

namespace
{

const TimePoint Start {std::chrono::hours(1)};

RegisteredTarget target(const std::string &id, std::uint64_t sequence, std::uint64_t revision, bool draining = false)
{
    RegisteredTarget result;
    result.id = EndpointId(id);
    result.service = ServiceId("s");
    result.address = {"10.0.0.1", 80};
    result.slots = 4;
    result.draining = draining;
    result.startedAt = 1'000;
    result.sequence = sequence;
    result.revision = Revision(revision);
    return result;
}

PublishedConfiguration configuration(std::uint64_t number)
{
    PublishedConfiguration result;
    result.number = TicketNumber(number);
    return result;
}

RegistryResponse response(std::uint64_t revision, std::vector<RegistryRecord> records = {},
                          const std::string &next = "")
{
    RegistryResponse result;
    result.revision = Revision(revision);
    result.records = std::move(records);
    result.next = next;
    return result;
}

RegistryResponse failure(ResultCode code)
{
    RegistryResponse result;
    result.code = code;
    return result;
}

/// A follower that has read one listing with the targets a and b.
RegistryFollower makeListedFollower()
{
    RegistryFollower follower;
    follower.onResponse(response(10, {configuration(3), target("a", 1, 8), target("b", 1, 9)}), Start);
    return follower;
}

/// All calls of \p follower fail from \p from to \p until. Returns when the last of them started.
TimePoint failCalls(RegistryFollower &follower, TimePoint from, TimePoint until)
{
    TimePoint last = from;
    for (TimePoint now = from; now < until;) {
        const RegistryAction action = follower.next(now);
        if (const auto *wait = std::get_if<registryaction::Wait>(&action)) {
            now = wait->until;
            continue;
        }
        last = now;
        follower.onCallStarted(now);
        follower.onResponse(failure(ResultCode::RegistryUnreachable), now);
    }
    return last;
}

template<class Action>
bool isNext(const RegistryFollower &follower, TimePoint now)
{
    return std::holds_alternative<Action>(follower.next(now));
}

} // namespace

TEST(RegistryFollowerTest, ListsAllPagesThenWatchesFromFirstPage)
{
    RegistryFollower follower;
    ASSERT_TRUE(isNext<registryaction::List>(follower, Start));
    follower.onResponse(response(10, {configuration(3), target("a", 1, 8)}, "a"), Start);
    EXPECT_FALSE(follower.isListed());
    const RegistryAction page = follower.next(Start);
    EXPECT_EQ(std::get<registryaction::List>(page).after, "a");
    follower.onResponse(response(12, {target("b", 1, 12)}), Start);
    EXPECT_TRUE(follower.isListed());
    EXPECT_EQ(follower.targets().size(), 2U);
    const RegistryAction watch = follower.next(Start);
    EXPECT_EQ(std::get<registryaction::Watch>(watch).revision, Revision(10)) << "changes between pages are not missed";
}

TEST(RegistryFollowerTest, RepeatedRemovalDoesNotRemoveReregisteredTarget)
{
    // Between two pages a target was removed at 11 and registered again at 12; the second page showed the latter.
    RegistryFollower follower;
    follower.onResponse(response(10, {configuration(3)}, "0"), Start);
    follower.onResponse(response(12, {target("a", 5, 12)}), Start);
    follower.onResponse(response(12, {TargetRemoved {EndpointId("a"), Revision(11)}, target("a", 5, 12)}), Start);
    EXPECT_TRUE(follower.targets().contains(EndpointId("a")));
}

TEST(RegistryFollowerTest, OlderConfigurationNeverReplacesNewerOne)
{
    RegistryFollower follower = makeListedFollower();
    follower.onResponse(response(11, {configuration(2)}), Start);
    EXPECT_EQ(follower.configuration()->number, TicketNumber(3));
    follower.refresh(Start);
    follower.onResponse(response(9, {configuration(1)}), Start);
    EXPECT_EQ(follower.configuration()->number, TicketNumber(3));
}

TEST(RegistryFollowerTest, OlderReportNeverReplacesNewerOne)
{
    RegistryFollower follower = makeListedFollower();
    follower.onResponse(response(11, {target("a", 7, 11, true)}), Start);
    follower.onResponse(response(12, {target("a", 6, 12, false)}), Start);
    EXPECT_TRUE(follower.targets().at(EndpointId("a")).target.draining);
    follower.onResponse(response(13, {TargetRemoved {EndpointId("a"), Revision(13)}}), Start);
    follower.onResponse(response(14, {target("a", 6, 14, false)}), Start);
    EXPECT_FALSE(follower.targets().contains(EndpointId("a"))) << "a late report does not add a removed target again";
}

TEST(RegistryFollowerTest, AcceptsReportOfRestartedTargetWithSameId)
{
    RegistryFollower follower = makeListedFollower();
    follower.onResponse(response(11, {target("a", 9, 11, true)}), Start);
    RegisteredTarget again = target("a", 1, 12);
    again.startedAt = 2'000;
    follower.onResponse(response(12, {again}), Start);
    EXPECT_FALSE(follower.targets().at(EndpointId("a")).target.draining);
}

TEST(RegistryFollowerTest, LostHistoryCausesNewListingThatRemovesMissingTargets)
{
    RegistryFollower follower = makeListedFollower();
    follower.onResponse(failure(ResultCode::RegistryHistoryGone), Start);
    ASSERT_TRUE(isNext<registryaction::List>(follower, Start));
    EXPECT_EQ(follower.targets().size(), 2U) << "nothing is removed before the listing";
    follower.onResponse(response(40, {configuration(5), target("b", 3, 30)}), Start);
    EXPECT_EQ(follower.configuration()->number, TicketNumber(5));
    EXPECT_FALSE(follower.targets().contains(EndpointId("a")));
}

TEST(RegistryFollowerTest, WatchEndsSoonEnoughToDetectSilentOne)
{
    // A watch of 20 s missed a configuration when the registry compacted its change history (seed 61561036).
    const RegistryFollower follower = makeListedFollower();
    const RegistryAction watch = follower.next(Start);
    constexpr Milliseconds StableWindow {3'000};
    EXPECT_LT(std::get<registryaction::Watch>(watch).wait, StableWindow);
}

TEST(RegistryFollowerTest, OutageRemovesNothingAndBacksOffCalls)
{
    RegistryFollower follower = makeListedFollower();
    TimePoint now = Start;
    int calls = 0;
    while (now < Start + 10s) {
        const RegistryAction action = follower.next(now);
        if (const auto *wait = std::get_if<registryaction::Wait>(&action)) {
            now = wait->until;
            continue;
        }
        ++calls;
        follower.onResponse(failure(ResultCode::RegistryUnreachable), now);
    }
    EXPECT_EQ(follower.targets().size(), 2U);
    EXPECT_TRUE(follower.isDown());
    EXPECT_LE(calls, 20);
    EXPECT_GE(calls, 10) << "the end of the outage is noticed within a second";
}

TEST(RegistryFollowerTest, TargetsRemovedDuringOutageCanRegisterAgain)
{
    RegistryFollower follower = makeListedFollower();
    const TimePoint back = Start + 5s;
    failCalls(follower, Start, back);
    follower.onResponse(
        response(13, {TargetRemoved {EndpointId("a"), Revision(12)}, TargetRemoved {EndpointId("b"), Revision(13)}}),
        back);
    EXPECT_EQ(follower.targets().size(), 2U);
    follower.onResponse(response(14, {target("a", 9, 14)}), back + 1s);
    follower.expire(back + 1900ms);
    EXPECT_EQ(follower.targets().size(), 2U);
    follower.expire(back + 2s);
    EXPECT_TRUE(follower.targets().contains(EndpointId("a")));
    EXPECT_FALSE(follower.targets().contains(EndpointId("b"))) << "not registered again within the grace period";
}

// A node that was cut off for a moment, or whose waiting watch was cut, took this for an outage of the registry and
// went on using a removed target for 2 s (review/2).
TEST(RegistryFollowerTest, TroubleTooShortForRecordsToExpireRetainsNothing)
{
    for (const Milliseconds trouble : {0ms, 600ms, 2'990ms}) {
        RegistryFollower follower = makeListedFollower();
        follower.onCallStarted(Start);
        follower.onResponse(failure(ResultCode::RegistryUnreachable), Start);
        follower.onResponse(response(12, {TargetRemoved {EndpointId("a"), Revision(12)}}), Start + trouble);
        EXPECT_FALSE(follower.targets().contains(EndpointId("a"))) << trouble.count();
    }
}

// A peer that has read the registry meanwhile shows that only this node was cut off.
TEST(RegistryFollowerTest, TroubleOfThisNodeAloneRetainsNothing)
{
    RegistryFollower follower = makeListedFollower();
    SyncContent content;
    content.revision = Revision(10);
    content.recordsDigest = follower.recordsDigest();
    for (TimePoint now = Start; now < Start + 8s; now += 1s) {
        failCalls(follower, now, now + 900ms);
        follower.applyContent(content, now, now + 900ms);
    }
    EXPECT_TRUE(follower.isDown()) << "its own calls still fail";
    follower.onResponse(response(12, {TargetRemoved {EndpointId("a"), Revision(12)}}), Start + 8s);
    EXPECT_FALSE(follower.targets().contains(EndpointId("a")));
}

// A reply with old records is no end of an outage: nothing is retained for its sake, and the calls stay as rare.
TEST(RegistryFollowerTest, OldRecordsOfAPeerAreNoEndOfAnOutage)
{
    RegistryFollower follower = makeListedFollower();
    SyncContent content;
    content.revision = Revision(10);
    content.recordsDigest = follower.recordsDigest();
    const TimePoint end = Start + 5s;
    failCalls(follower, Start, end);
    const TimePoint nextCallAt = follower.nextCallAt();
    follower.applyContent(content, Start - 100ms, end);
    EXPECT_TRUE(follower.isDown());
    EXPECT_EQ(follower.nextCallAt(), nextCallAt);
    follower.onResponse(response(12, {TargetRemoved {EndpointId("a"), Revision(12)}}), nextCallAt);
    EXPECT_TRUE(follower.targets().contains(EndpointId("a"))) << "the outage ended only now";
}

// A node that was cut off alone is bound again 3 s after the cut, which may have ended once its last call had begun.
TEST(RegistryFollowerTest, RetainsNothingBeyondTheTimeFromWhichTheNodeIsBoundAgain)
{
    const RegistryFollowerLimits limits;
    for (const Milliseconds callTime : {0ms, 800ms, 1'500ms}) {
        RegistryFollower follower = makeListedFollower();
        const TimePoint lastCall = failCalls(follower, Start, Start + 6s);
        const TimePoint back = lastCall + callTime;
        follower.onResponse(response(12, {TargetRemoved {EndpointId("a"), Revision(12)}}), back);
        ASSERT_TRUE(follower.targets().contains(EndpointId("a")));
        const TimePoint expiry = follower.nextExpiry();
        EXPECT_EQ(expiry, std::min(back + limits.reregistrationGrace, lastCall + limits.maxRemovalDelay));
        EXPECT_LT(expiry, lastCall + 3s);
        follower.expire(expiry);
        EXPECT_FALSE(follower.targets().contains(EndpointId("a")));
    }
}

// A peer that is behind still has the record; it must not register the target again.
TEST(RegistryFollowerTest, ReportAsOldAsTheRemovalDoesNotRegisterARetainedTarget)
{
    RegistryFollower follower = makeListedFollower();
    const std::uint64_t both = follower.recordsDigest();
    failCalls(follower, Start, Start + 5s);
    follower.onResponse(response(12, {TargetRemoved {EndpointId("a"), Revision(12)}}), Start + 5s);
    ASSERT_TRUE(follower.isRetained(EndpointId("a")));
    EXPECT_NE(follower.recordsDigest(), both) << "peers see the removal";
    SyncContent behind;
    behind.revision = Revision(10);
    behind.recordsDigest = both;
    behind.hasAllTargets = true;
    behind.targets = {target("a", 1, 8), target("b", 1, 9)};
    follower.applyContent(behind, Start, Start + 5s);
    EXPECT_TRUE(follower.isRetained(EndpointId("a")));
    follower.onResponse(response(14, {target("a", 2, 14)}), Start + 6s);
    EXPECT_FALSE(follower.isRetained(EndpointId("a")));
    follower.expire(Start + 10s);
    EXPECT_TRUE(follower.targets().contains(EndpointId("a")));
}

TEST(RegistryFollowerTest, DrainingTargetRemovedDuringOutageIsRemovedAtOnce)
{
    RegistryFollower follower = makeListedFollower();
    follower.onResponse(response(11, {target("a", 2, 11, true)}), Start);
    failCalls(follower, Start, Start + 5s);
    follower.onResponse(response(12, {TargetRemoved {EndpointId("a"), Revision(12)}}), Start + 5s);
    EXPECT_FALSE(follower.targets().contains(EndpointId("a")));
}

TEST(RegistryFollowerTest, InvalidRecordRemovesItsTargetAndIsReported)
{
    RegistryFollower follower = makeListedFollower();
    follower.onResponse(
        response(11, {InvalidRecord {ResultCode::RegistryRecordMalformed, "servers/a: state", EndpointId("a")}}),
        Start);
    EXPECT_FALSE(follower.targets().contains(EndpointId("a")));
    EXPECT_TRUE(follower.targets().contains(EndpointId("b"))) << "other targets stay";
    EXPECT_EQ(follower.takeInvalidRecords().size(), 1U);
    EXPECT_TRUE(follower.takeInvalidRecords().empty());
}

TEST(RegistryFollowerTest, CoalescesChangesInQuickSuccession)
{
    RegistryFollower follower = makeListedFollower();
    follower.onResponse(response(11, {target("a", 2, 11)}), Start);
    EXPECT_TRUE(isNext<registryaction::Wait>(follower, Start));
    EXPECT_TRUE(isNext<registryaction::Watch>(follower, Start + RegistryFollowerLimits {}.coalescingDelay));
}

// Twenty configurations in two seconds are megabytes of changes and came into force too late over a slow link; a
// listing contains only the newest.
TEST(RegistryFollowerTest, ListsAfterChangesThatAreLargerThanAListing)
{
    RegistryFollower follower = makeListedFollower();
    const TimePoint later = Start + RegistryFollowerLimits {}.coalescingDelay;
    RegistryResponse large = response(11, {configuration(4)});
    large.size = RegistryFollowerLimits {}.maxChangeBytes + 1;
    follower.onResponse(large, Start);
    EXPECT_FALSE(isNext<registryaction::List>(follower, Start)) << "another configuration may follow";
    ASSERT_TRUE(isNext<registryaction::List>(follower, later));
    follower.onResponse(response(15, {configuration(8), target("a", 1, 8), target("b", 1, 9)}), later);
    EXPECT_EQ(follower.configuration()->number, TicketNumber(8));
    const RegistryAction watch = follower.next(later);
    ASSERT_TRUE(std::holds_alternative<registryaction::Watch>(watch));
    EXPECT_EQ(std::get<registryaction::Watch>(watch).revision, Revision(15));
    EXPECT_EQ(follower.targets().size(), 2U);
    follower.onResponse(response(16, {configuration(9)}), later);
    EXPECT_TRUE(isNext<registryaction::Watch>(follower, later + RegistryFollowerLimits {}.coalescingDelay))
        << "small changes cost one call";
}

// A node that reads the registry only because its peers fail leaves it to the readers to notice the end of an outage.
TEST(RegistryFollowerTest, StandbyCallsAFailingRegistryLessOften)
{
    const auto countCalls = [](bool isStandby) {
        RegistryFollower follower = makeListedFollower();
        follower.setStandby(isStandby);
        int calls = 0;
        for (TimePoint now = Start; now < Start + 10s;) {
            const RegistryAction action = follower.next(now);
            if (const auto *wait = std::get_if<registryaction::Wait>(&action)) {
                now = wait->until;
                continue;
            }
            ++calls;
            follower.onResponse(failure(ResultCode::RegistryUnreachable), now);
        }
        return calls;
    };
    EXPECT_LE(countCalls(true) * 2, countCalls(false));
    EXPECT_GE(countCalls(true), 3);
}

TEST(RegistryFollowerTest, AddressBelongsToNewestTarget)
{
    // In an incident, calls for a crashed target went to its address and got status 421 from its successor there.
    RegistryFollower follower = makeListedFollower();
    RegisteredTarget other = target("b", 1, 9);
    other.address = {"10.0.0.2", 80};
    RegisteredTarget successor = target("c", 1, 12);
    successor.startedAt = 2'000;
    follower.onResponse(response(12, {other, successor}), Start);
    const std::vector<RegisteredTarget> activeTargets = follower.activeTargets();
    ASSERT_EQ(activeTargets.size(), 2U);
    EXPECT_EQ(activeTargets[0].id, EndpointId("c"));
    EXPECT_EQ(activeTargets[1].id, EndpointId("b"));
    follower.onResponse(response(13, {TargetRemoved {EndpointId("c"), Revision(13)}}), Start);
    EXPECT_EQ(follower.activeTargets()[0].id, EndpointId("a"));
}

TEST(RegistryFollowerTest, EntryOfUnknownServiceDoesNotHideTheTargetAtItsAddress)
{
    RegistryFollower follower;
    PublishedConfiguration published = configuration(3);
    published.services = {ServiceId("s")};
    RegisteredTarget odd = target("odd", 9, 12);
    odd.service = ServiceId("unknown");
    odd.startedAt = 2'000;
    follower.onResponse(response(12, {published, target("a", 1, 8), odd}), Start);
    ASSERT_EQ(follower.activeTargets().size(), 1U);
    EXPECT_EQ(follower.activeTargets()[0].id, EndpointId("a"));
    published.number = TicketNumber(4);
    published.services.emplace_back("unknown");
    follower.onResponse(response(13, {published}), Start);
    EXPECT_EQ(follower.activeTargets()[0].id, EndpointId("odd")) << "its service is known now";
}
