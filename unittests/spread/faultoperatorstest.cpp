// Mistakes and bursts of operators: missing, invalid and conflicting tickets, skipped heads, many tickets at once.
#include "faultcase.h"

#include <gtest/gtest.h>

using namespace jasminemast;

namespace
{

/// A fleet in which all nodes have applied ticket 3.
std::unique_ptr<FakeFleet> convergedFleet(const SpreadSettings &settings)
{
    auto fleet = std::make_unique<FakeFleet>(FleetOptions {.settings = settings});
    for (int i = 0; i < 3; ++i) {
        fleet->accept();
        fleet->run(Milliseconds(500));
    }
    fleet->run(Milliseconds(5000));
    return fleet;
}

void expectAllNodesRun(const FakeFleet &fleet, TicketNumber number)
{
    for (const auto node : fleet.liveNodes()) {
        EXPECT_EQ(fleet.state(node)->number, number) << fleet.hostOf(node);
    }
    EXPECT_TRUE(fleet.violations().empty()) << fleet.violations().front();
}

class FaultOperators : public testing::TestWithParam<int>
{
protected:
    std::unique_ptr<FakeFleet> m_fleet = convergedFleet(profiles()[static_cast<std::size_t>(GetParam())]);
};

} // namespace

TEST_P(FaultOperators, WaitsForMissingTicketAndNeverSkipsIt)
{
    m_fleet->setTicketStored(4, false);
    m_fleet->accept();
    const auto last = m_fleet->accept();
    m_fleet->run(Milliseconds(10'000));
    expectAllNodesRun(*m_fleet, TicketNumber(3));
    m_fleet->setTicketStored(4, true);
    EXPECT_TRUE(m_fleet->runUntilApplied(last, m_fleet->liveNodes(), MaxRecoveryTime));
    expectAllNodesRun(*m_fleet, last);
}

TEST_P(FaultOperators, IgnoresTicketBytesWithWrongDigest)
{
    m_fleet->setServedBytes(4, ticketText(4, m_fleet->chain().head().digest, slotsSection(99)));
    const auto number = m_fleet->accept();
    m_fleet->run(Milliseconds(5'000));
    expectAllNodesRun(*m_fleet, TicketNumber(3));
    m_fleet->setServedBytes(4, m_fleet->chain().bytes(4));
    EXPECT_TRUE(m_fleet->runUntilApplied(number, m_fleet->liveNodes(), MaxRecoveryTime));
    expectAllNodesRun(*m_fleet, number);
}

TEST_P(FaultOperators, RefusesInvalidTicketOnAllNodesAndAppliesLaterOnes)
{
    m_fleet->acceptSections(R"(,"services":{"s":{"endpoints":["nowhere"]}})");
    const auto last = m_fleet->accept();
    EXPECT_TRUE(m_fleet->runUntilApplied(last, m_fleet->liveNodes(), MaxReachableDelay));
    expectAllNodesRun(*m_fleet, last);
    for (const auto node : m_fleet->liveNodes()) {
        EXPECT_EQ(m_fleet->log(node).logbook().find(TicketNumber(4))->code, ResultCode::TicketServiceWithoutEndpoint);
    }
}

TEST_P(FaultOperators, ConflictingDigestOfAppliedTicketChangesNothing)
{
    m_fleet->setServiceHead(Head {TicketNumber(3), sha256("fork")});
    m_fleet->run(Milliseconds(5'000));
    expectAllNodesRun(*m_fleet, TicketNumber(3));
    std::uint64_t conflicts = 0;
    for (const auto node : m_fleet->liveNodes()) {
        EXPECT_EQ(m_fleet->state(node)->ticketDigest, m_fleet->chain().head(3).digest);
        conflicts += m_fleet->core(node).counters().conflicts;
    }
    EXPECT_GT(conflicts, 0U);
    const auto last = m_fleet->accept();
    EXPECT_TRUE(m_fleet->runUntilApplied(last, m_fleet->liveNodes(), MaxReachableDelay));
}

TEST_P(FaultOperators, AppliesBurstOfFiftyTicketsWithinSeconds)
{
    TicketNumber last;
    for (int i = 0; i < 50; ++i) {
        last = m_fleet->accept();
    }
    EXPECT_TRUE(m_fleet->runUntilApplied(last, m_fleet->liveNodes(), MaxRecoveryTime));
    expectAllNodesRun(*m_fleet, last);
}

TEST_P(FaultOperators, AppliesEveryTicketAfterHeadSkipsAhead)
{
    const auto before = m_fleet->chain().head();
    m_fleet->freezeServiceHead(before);
    TicketNumber last;
    for (int i = 0; i < 20; ++i) {
        last = m_fleet->accept();
    }
    m_fleet->run(Milliseconds(3'000));
    expectAllNodesRun(*m_fleet, before.number);
    m_fleet->freezeServiceHead(std::nullopt);
    EXPECT_TRUE(m_fleet->runUntilApplied(last, m_fleet->liveNodes(), MaxRecoveryTime));
    expectAllNodesRun(*m_fleet, last);
}

INSTANTIATE_TEST_SUITE_P(Profiles, FaultOperators, testing::Values(0, 1));
