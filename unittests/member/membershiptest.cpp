// Failure detection in one zone: probes, refutation, pauses, and independence of the order of updates.
#include "jasminemast/member/membership.h"

#include "jasminemast/member/rendezvous.h"
#include "jasminemast/member/zonetable.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace jasminemast;

namespace
{

constexpr Incarnation FirstStart {1000};
const HostId Self("h0");
const HostId Peer("h1");
const HostId Helper("h2");

struct MembershipFixture
{
    Random random {7};
    ManualClock clock;
    Membership membership {Self, FirstStart, MembershipSettings(), random};

    MembershipFixture()
    {
        membership.setListedHosts({Self, Peer, Helper});
    }

    /// Advances the clock by \p span. Only hosts in \p responding acknowledge probes.
    std::vector<ProbeAction> run(Milliseconds span, const std::vector<HostId> &responding)
    {
        std::vector<ProbeAction> actions;
        for (Milliseconds passed {0}; passed < span; passed += Milliseconds(50)) {
            clock.advance(Milliseconds(50));
            for (const auto &action : membership.tick(clock.now())) {
                actions.push_back(action);
                const auto *probe = std::get_if<SendProbe>(&action);
                if (probe == nullptr
                    || std::find(responding.begin(), responding.end(), probe->to) == responding.end()) {
                    continue;
                }
                membership.messageReceived(probe->to, FirstStart, 0, clock.now());
                membership.ackReceived(probe->sequence, clock.now());
            }
        }
        return actions;
    }
};

} // namespace

TEST(Membership, RespondingHostStaysAlive)
{
    MembershipFixture fixture;
    fixture.run(Milliseconds(60'000), {Peer, Helper});
    EXPECT_EQ(fixture.membership.liveness(Peer), Liveness::Alive);
    EXPECT_TRUE(fixture.membership.deadPeers().empty());
}

TEST(Membership, ProbesSilentHostIndirectlyThenDeclaresItDead)
{
    MembershipFixture fixture;
    const auto actions = fixture.run(Milliseconds(10'000), {Helper});
    EXPECT_EQ(fixture.membership.liveness(Peer), Liveness::Dead);
    EXPECT_EQ(fixture.membership.liveness(Helper), Liveness::Alive);
    const bool indirect = std::any_of(actions.begin(), actions.end(), [](const ProbeAction &action) {
        const auto *request = std::get_if<SendIndirectProbe>(&action);
        return request != nullptr && request->via == Helper && request->target == Peer;
    });
    EXPECT_TRUE(indirect);
}

TEST(Membership, RestartedHostIsAliveAgain)
{
    MembershipFixture fixture;
    fixture.run(Milliseconds(10'000), {Helper});
    ASSERT_EQ(fixture.membership.liveness(Peer), Liveness::Dead);
    fixture.membership.messageReceived(Peer, Incarnation(FirstStart.value() + 1), 0, fixture.clock.now());
    EXPECT_EQ(fixture.membership.liveness(Peer), Liveness::Alive);
}

TEST(Membership, RefutesSuspicionAgainstItself)
{
    MembershipFixture fixture;
    fixture.membership.applyUpdate(MembershipUpdate {Self, FirstStart, 0, Liveness::Suspect}, fixture.clock.now());
    EXPECT_EQ(fixture.membership.refutation(), 1U);
    const auto updates = fixture.membership.takeUpdates(8);
    ASSERT_EQ(updates.size(), 1U);
    EXPECT_EQ(updates.front(), (MembershipUpdate {Self, FirstStart, 1, Liveness::Alive}));
}

TEST(Membership, RefutationClearsSuspicion)
{
    MembershipFixture fixture;
    fixture.membership.messageReceived(Peer, FirstStart, 0, fixture.clock.now());
    fixture.membership.applyUpdate(MembershipUpdate {Peer, FirstStart, 0, Liveness::Suspect}, fixture.clock.now());
    ASSERT_EQ(fixture.membership.liveness(Peer), Liveness::Suspect);
    fixture.membership.messageReceived(Peer, FirstStart, 1, fixture.clock.now());
    EXPECT_EQ(fixture.membership.liveness(Peer), Liveness::Alive);
}

TEST(Membership, DoesNotRefuteUpdatesAboutEarlierProcess)
{
    MembershipFixture fixture;
    fixture.membership.applyUpdate(MembershipUpdate {Self, Incarnation(1), 5, Liveness::Dead}, fixture.clock.now());
    EXPECT_EQ(fixture.membership.refutation(), 0U);
}

TEST(Membership, RestartsSuspicionTimeoutAfterPause)
{
    MembershipFixture fixture;
    fixture.membership.messageReceived(Peer, FirstStart, 0, fixture.clock.now());
    fixture.membership.applyUpdate(MembershipUpdate {Peer, FirstStart, 0, Liveness::Suspect}, fixture.clock.now());
    fixture.clock.advance(std::chrono::minutes(5));
    fixture.membership.resumeAfterPause(fixture.clock.now());
    fixture.membership.tick(fixture.clock.now());
    EXPECT_EQ(fixture.membership.liveness(Peer), Liveness::Suspect);
}

TEST(Membership, KeepsRespondingHostThatIsNoLongerListed)
{
    MembershipFixture fixture;
    fixture.membership.messageReceived(Peer, FirstStart, 0, fixture.clock.now());
    fixture.membership.setListedHosts({Self});
    EXPECT_EQ(fixture.membership.liveness(Peer), Liveness::Alive);
    EXPECT_EQ(fixture.membership.liveness(Helper), std::nullopt) << "sent no message and is no longer listed";
}

RC_GTEST_PROP(Membership, OrderOfUpdatesDoesNotMatter, ())
{
    const auto codes = *rc::gen::container<std::vector<unsigned>>(rc::gen::inRange(0U, 27U));
    const auto updateOf = [](unsigned code) {
        return MembershipUpdate {Peer, Incarnation(code / 9 + 1), (code / 3) % 3, static_cast<Liveness>(code % 3)};
    };
    MembershipFixture forward;
    MembershipFixture backward;
    for (const auto code : codes) {
        forward.membership.applyUpdate(updateOf(code), forward.clock.now());
    }
    for (auto code = codes.rbegin(); code != codes.rend(); ++code) {
        backward.membership.applyUpdate(updateOf(*code), backward.clock.now());
    }
    RC_ASSERT(forward.membership.liveness(Peer) == backward.membership.liveness(Peer));
    RC_ASSERT(forward.membership.incarnation(Peer) == backward.membership.incarnation(Peer));
}

TEST(Rendezvous, RemovingOneHostKeepsOrderOfOthers)
{
    std::vector<HostId> hosts;
    for (int i = 0; i < 40; ++i) {
        hosts.emplace_back("h" + std::to_string(i));
    }
    auto order = rendezvousOrder("reader/z1", hosts);
    ASSERT_EQ(order.size(), hosts.size());
    EXPECT_EQ(rendezvousRank("reader/z1", hosts, order[5]), 5U);
    std::erase(hosts, order.front());
    order.erase(order.begin());
    EXPECT_EQ(rendezvousOrder("reader/z1", hosts), order);
    EXPECT_NE(rendezvousOrder("reader/z2", hosts), order);
}

TEST(ZoneTable, SummaryOfSilentZoneExpires)
{
    ManualClock clock;
    ZoneTable zoneTable(Milliseconds(10'000));
    ZoneSummary summary;
    summary.zone = ZoneId("z1");
    summary.highest = TicketNumber(9);
    summary.age = Milliseconds(500);
    zoneTable.update(summary, clock.now());
    clock.advance(Milliseconds(9'000));
    ASSERT_TRUE(zoneTable.fresh(ZoneId("z1"), clock.now()));
    EXPECT_EQ(zoneTable.fresh(ZoneId("z1"), clock.now())->age, Milliseconds(9'500));
    clock.advance(Milliseconds(1'000));
    EXPECT_FALSE(zoneTable.fresh(ZoneId("z1"), clock.now()));
    EXPECT_TRUE(zoneTable.last(ZoneId("z1"), clock.now()));
    EXPECT_TRUE(zoneTable.takeFresh(8, clock.now()).empty());
}

TEST(ZoneTable, IgnoresOlderSummary)
{
    ManualClock clock;
    ZoneTable zoneTable(Milliseconds(10'000));
    ZoneSummary summary;
    summary.zone = ZoneId("z1");
    summary.highest = TicketNumber(9);
    zoneTable.update(summary, clock.now());
    summary.highest = TicketNumber(8);
    summary.age = Milliseconds(1);
    zoneTable.update(summary, clock.now());
    EXPECT_EQ(zoneTable.last(ZoneId("z1"), clock.now())->highest, TicketNumber(9));
}
