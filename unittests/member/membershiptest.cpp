// Liveness of one zone: detection, refutation, pauses, and agreement whatever the order of rumours.
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

struct Table
{
    Random random {7};
    ManualClock clock;
    Membership membership {Self, FirstStart, MembershipSettings(), random};

    Table()
    {
        membership.updateListed({Self, Peer, Helper});
    }

    /// Runs the timers for \p span; only hosts in \p answering acknowledge.
    std::vector<ProbeAction> run(Milliseconds span, const std::vector<HostId> &answering)
    {
        std::vector<ProbeAction> seen;
        for (Milliseconds passed {0}; passed < span; passed += Milliseconds(50)) {
            clock.advance(Milliseconds(50));
            for (const auto &action : membership.tick(clock.now())) {
                seen.push_back(action);
                const auto *probe = std::get_if<SendProbe>(&action);
                if (probe == nullptr || std::find(answering.begin(), answering.end(), probe->to) == answering.end()) {
                    continue;
                }
                membership.heard(probe->to, FirstStart, 0, clock.now());
                membership.acknowledged(probe->sequence, clock.now());
            }
        }
        return seen;
    }
};

} // namespace

TEST(Membership, aHostThatAnswersStaysAlive)
{
    Table table;
    table.run(Milliseconds(60'000), {Peer, Helper});
    EXPECT_EQ(table.membership.liveness(Peer), Liveness::Alive);
    EXPECT_TRUE(table.membership.deadPeers().empty());
}

TEST(Membership, aSilentHostIsProbedThroughOthersThenDeclaredDead)
{
    Table table;
    const auto actions = table.run(Milliseconds(10'000), {Helper});
    EXPECT_EQ(table.membership.liveness(Peer), Liveness::Dead);
    EXPECT_EQ(table.membership.liveness(Helper), Liveness::Alive);
    const bool indirect = std::any_of(actions.begin(), actions.end(), [](const ProbeAction &action) {
        const auto *request = std::get_if<SendIndirectProbe>(&action);
        return request != nullptr && request->via == Helper && request->target == Peer;
    });
    EXPECT_TRUE(indirect);
}

TEST(Membership, aDeadHostThatComesBackWithALaterStartIsAlive)
{
    Table table;
    table.run(Milliseconds(10'000), {Helper});
    ASSERT_EQ(table.membership.liveness(Peer), Liveness::Dead);
    table.membership.heard(Peer, Incarnation(FirstStart.value() + 1), 0, table.clock.now());
    EXPECT_EQ(table.membership.liveness(Peer), Liveness::Alive);
}

TEST(Membership, anAccusedProcessRefutes)
{
    Table table;
    table.membership.learn(MemberRumour {Self, FirstStart, 0, Liveness::Suspect}, table.clock.now());
    EXPECT_EQ(table.membership.refutation(), 1U);
    const auto rumours = table.membership.takeRumours(8);
    ASSERT_EQ(rumours.size(), 1U);
    EXPECT_EQ(rumours.front(), (MemberRumour {Self, FirstStart, 1, Liveness::Alive}));
}

TEST(Membership, aRefutationEndsASuspicionElsewhere)
{
    Table table;
    table.membership.heard(Peer, FirstStart, 0, table.clock.now());
    table.membership.learn(MemberRumour {Peer, FirstStart, 0, Liveness::Suspect}, table.clock.now());
    ASSERT_EQ(table.membership.liveness(Peer), Liveness::Suspect);
    table.membership.heard(Peer, FirstStart, 1, table.clock.now());
    EXPECT_EQ(table.membership.liveness(Peer), Liveness::Alive);
}

TEST(Membership, anAccusationAgainstAnEarlierProcessIsNotRefuted)
{
    Table table;
    table.membership.learn(MemberRumour {Self, Incarnation(1), 5, Liveness::Dead}, table.clock.now());
    EXPECT_EQ(table.membership.refutation(), 0U);
}

TEST(Membership, aSuspicionFromBeforeAPauseGetsItsFullTime)
{
    Table table;
    table.membership.heard(Peer, FirstStart, 0, table.clock.now());
    table.membership.learn(MemberRumour {Peer, FirstStart, 0, Liveness::Suspect}, table.clock.now());
    table.clock.advance(std::chrono::minutes(5));
    table.membership.resumeAfterPause(table.clock.now());
    table.membership.tick(table.clock.now());
    EXPECT_EQ(table.membership.liveness(Peer), Liveness::Suspect);
}

TEST(Membership, aHostThatAnswersOutlivesTheHostList)
{
    Table table;
    table.membership.heard(Peer, FirstStart, 0, table.clock.now());
    table.membership.updateListed({Self});
    EXPECT_EQ(table.membership.liveness(Peer), Liveness::Alive);
    EXPECT_EQ(table.membership.liveness(Helper), std::nullopt) << "never heard of and no longer listed";
}

RC_GTEST_PROP(Membership, rumoursInAnyOrderLeadToTheSameBelief, ())
{
    const auto codes = *rc::gen::container<std::vector<unsigned>>(rc::gen::inRange(0U, 27U));
    const auto rumourOf = [](unsigned code) {
        return MemberRumour {Peer, Incarnation(code / 9 + 1), (code / 3) % 3, static_cast<Liveness>(code % 3)};
    };
    Table forward;
    Table backward;
    for (const auto code : codes) {
        forward.membership.learn(rumourOf(code), forward.clock.now());
    }
    for (auto code = codes.rbegin(); code != codes.rend(); ++code) {
        backward.membership.learn(rumourOf(*code), backward.clock.now());
    }
    RC_ASSERT(forward.membership.liveness(Peer) == backward.membership.liveness(Peer));
    RC_ASSERT(forward.membership.incarnation(Peer) == backward.membership.incarnation(Peer));
}

TEST(Rendezvous, theLossOfOneHostMovesOnlyItsOwnPlace)
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

TEST(ZoneTable, aSilentZoneTurnsUnknownAndKeepsItsAge)
{
    ManualClock clock;
    ZoneTable view(Milliseconds(10'000));
    ZoneSummary summary;
    summary.zone = ZoneId("z1");
    summary.highest = TicketNumber(9);
    summary.age = Milliseconds(500);
    view.learn(summary, clock.now());
    clock.advance(Milliseconds(9'000));
    ASSERT_TRUE(view.fresh(ZoneId("z1"), clock.now()));
    EXPECT_EQ(view.fresh(ZoneId("z1"), clock.now())->age, Milliseconds(9'500));
    clock.advance(Milliseconds(1'000));
    EXPECT_FALSE(view.fresh(ZoneId("z1"), clock.now()));
    EXPECT_TRUE(view.last(ZoneId("z1"), clock.now()));
    EXPECT_TRUE(view.takeNext(8, clock.now()).empty());
}

TEST(ZoneTable, anOlderSummaryThatArrivesLateIsDropped)
{
    ManualClock clock;
    ZoneTable view(Milliseconds(10'000));
    ZoneSummary summary;
    summary.zone = ZoneId("z1");
    summary.highest = TicketNumber(9);
    view.learn(summary, clock.now());
    summary.highest = TicketNumber(8);
    summary.age = Milliseconds(1);
    view.learn(summary, clock.now());
    EXPECT_EQ(view.last(ZoneId("z1"), clock.now())->highest, TicketNumber(9));
}
