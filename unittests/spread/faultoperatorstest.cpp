// What operators can get wrong or do at once: races, missing, bad and forked tickets, gaps, bursts.
#include "faultcase.h"

#include <gtest/gtest.h>

using namespace jasminemast;

namespace
{

/// A fleet that runs ticket 3.
std::unique_ptr<FakeFleet> settledFleet(const SpreadSettings &settings)
{
    auto fleet = std::make_unique<FakeFleet>(FleetOptions {.settings = settings});
    for (int i = 0; i < 3; ++i) {
        fleet->accept();
        fleet->run(Milliseconds(500));
    }
    fleet->run(Milliseconds(5000));
    return fleet;
}

void expectAllAt(const FakeFleet &fleet, TicketNumber number)
{
    for (const auto node : fleet.liveNodes()) {
        EXPECT_EQ(fleet.state(node)->number, number) << fleet.hostOf(node);
    }
    EXPECT_TRUE(fleet.violations().empty()) << fleet.violations().front();
}

class FaultOperators : public testing::TestWithParam<int>
{
protected:
    std::unique_ptr<FakeFleet> m_fleet = settledFleet(profiles()[static_cast<std::size_t>(GetParam())]);
};

} // namespace

TEST_P(FaultOperators, aMissingTicketIsWaitedForAndNeverSkipped)
{
    m_fleet->setFiled(4, false);
    m_fleet->accept();
    const auto last = m_fleet->accept();
    m_fleet->run(Milliseconds(10'000));
    expectAllAt(*m_fleet, TicketNumber(3));
    m_fleet->setFiled(4, true);
    EXPECT_TRUE(m_fleet->runUntilInForce(last, m_fleet->liveNodes(), HealBound));
    expectAllAt(*m_fleet, last);
}

TEST_P(FaultOperators, bytesWithAnotherDigestAreNoVerdict)
{
    m_fleet->setServedBytes(4, ticketText(4, m_fleet->chain().head().digest, slotsSection(99)));
    const auto number = m_fleet->accept();
    m_fleet->run(Milliseconds(5'000));
    expectAllAt(*m_fleet, TicketNumber(3));
    m_fleet->setServedBytes(4, m_fleet->chain().bytes(4));
    EXPECT_TRUE(m_fleet->runUntilInForce(number, m_fleet->liveNodes(), HealBound));
    expectAllAt(*m_fleet, number);
}

TEST_P(FaultOperators, aBadTicketIsRefusedEverywhereAndLaterOnesGoOn)
{
    m_fleet->acceptSections(R"(,"services":{"s":{"endpoints":["nowhere"]}})");
    const auto last = m_fleet->accept();
    EXPECT_TRUE(m_fleet->runUntilInForce(last, m_fleet->liveNodes(), ReachableBound));
    expectAllAt(*m_fleet, last);
    for (const auto node : m_fleet->liveNodes()) {
        EXPECT_EQ(m_fleet->log(node).logbook().find(TicketNumber(4))->code, ResultCode::TicketServiceWithoutEndpoint);
    }
}

TEST_P(FaultOperators, anotherDigestForTheAppliedNumberChangesNothing)
{
    m_fleet->setServiceHead(Head {TicketNumber(3), sha256("fork")});
    m_fleet->run(Milliseconds(5'000));
    expectAllAt(*m_fleet, TicketNumber(3));
    std::uint64_t conflicts = 0;
    for (const auto node : m_fleet->liveNodes()) {
        EXPECT_EQ(m_fleet->state(node)->ticketDigest, m_fleet->chain().head(3).digest);
        conflicts += m_fleet->core(node).counters().conflicts;
    }
    EXPECT_GT(conflicts, 0U);
    const auto last = m_fleet->accept();
    EXPECT_TRUE(m_fleet->runUntilInForce(last, m_fleet->liveNodes(), ReachableBound));
}

TEST_P(FaultOperators, aBurstOfFiftyIsInForceWithinSeconds)
{
    TicketNumber last;
    for (int i = 0; i < 50; ++i) {
        last = m_fleet->accept();
    }
    EXPECT_TRUE(m_fleet->runUntilInForce(last, m_fleet->liveNodes(), HealBound));
    expectAllAt(*m_fleet, last);
}

TEST_P(FaultOperators, aHeadThatJumpsOverManyTicketsIsFollowedWhole)
{
    const auto before = m_fleet->chain().head();
    m_fleet->freezeServiceHead(before);
    TicketNumber last;
    for (int i = 0; i < 20; ++i) {
        last = m_fleet->accept();
    }
    m_fleet->run(Milliseconds(3'000));
    expectAllAt(*m_fleet, before.number);
    m_fleet->freezeServiceHead(std::nullopt);
    EXPECT_TRUE(m_fleet->runUntilInForce(last, m_fleet->liveNodes(), HealBound));
    expectAllAt(*m_fleet, last);
}

INSTANTIATE_TEST_SUITE_P(Profiles, FaultOperators, testing::Values(0, 1));
