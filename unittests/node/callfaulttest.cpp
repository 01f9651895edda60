// Calls through real nodes while nodes are killed, paused and terminated; the targets' ledger and the callers' records
// are compared one by one.
#include "fleet.h"

#include <gtest/gtest.h>

#include <csignal>

using namespace jasminemast;
using namespace jasminemast::fleet;

namespace
{

constexpr std::size_t Hosts = 4;
constexpr std::size_t Calls = 1'200;
constexpr std::size_t CallsBetweenFaults = 150;
const std::vector<std::string> NoViolation;

/// The host that the next fault hits; never the callers' own node.
std::size_t victim(std::size_t ended)
{
    return 1 + (ended / CallsBetweenFaults) % (Hosts - 1);
}

class CallFaultTest : public testing::Test
{
protected:
    void SetUp() override
    {
        ASSERT_TRUE(m_fleet.start());
    }

    void callWithFaults(const std::function<void(std::size_t host)> &fault)
    {
        m_fleet.call(Calls, [&](std::size_t ended) {
            if (ended % CallsBetweenFaults == 0 && ended < Calls) {
                fault(victim(ended));
            }
        });
    }

    /// Lets the node that was paused last go on and pauses that of \p host.
    void pauseInsteadOfLast(std::size_t host)
    {
        if (m_paused != 0) {
            m_fleet.signalNode(m_paused, SIGCONT);
        }
        m_fleet.signalNode(host, SIGSTOP);
        m_paused = host;
    }

    void expectTruthAndTerminate()
    {
        EXPECT_EQ(m_fleet.violations(), NoViolation);
        EXPECT_GT(m_fleet.answered(), Calls / 2);
        terminateAll();
    }

    void terminateAll()
    {
        // A node that has only just been started anew does not listen to the signal yet.
        EXPECT_TRUE(m_fleet.awaitReady());
        for (std::size_t host = 0; host < Hosts; ++host) {
            m_fleet.signalNode(host, SIGTERM);
        }
        for (std::size_t host = 0; host < Hosts; ++host) {
            EXPECT_EQ(m_fleet.waitForNode(host), 0) << "node " << host;
        }
    }

    Fleet m_fleet {Hosts};
    std::size_t m_paused = 0; ///< host whose node is paused; 0: none
};

} // namespace

TEST_F(CallFaultTest, killedNodesDoubleNothingAndTellNoLie)
{
    callWithFaults([this](std::size_t host) { m_fleet.replaceNode(host); });
    expectTruthAndTerminate();
}

TEST_F(CallFaultTest, pausedNodesDoubleNothingAndTellNoLie)
{
    callWithFaults([this](std::size_t host) { pauseInsteadOfLast(host); });
    m_fleet.signalNode(m_paused, SIGCONT);
    expectTruthAndTerminate();
}

TEST_F(CallFaultTest, pauseAndKillTogether)
{
    callWithFaults([this](std::size_t host) {
        pauseInsteadOfLast(host);
        m_fleet.replaceNode(1 + host % (Hosts - 1));
    });
    m_fleet.signalNode(m_paused, SIGCONT);
    expectTruthAndTerminate();
}

TEST_F(CallFaultTest, terminatedNodesCutNoCall)
{
    constexpr std::size_t Rolls = 3;
    std::size_t batches = 0;
    while (m_fleet.rolled().size() < Rolls) {
        m_fleet.rollNode(victim(batches * CallsBetweenFaults));
        m_fleet.call(CallsBetweenFaults, [](std::size_t) {});
        ++batches;
    }
    m_fleet.finishRolling();
    for (const int status : m_fleet.rolled()) {
        EXPECT_EQ(status, 0);
    }
    EXPECT_EQ(m_fleet.violations(), NoViolation);
    EXPECT_EQ(m_fleet.failures(), "") << "a shutdown is no fault that a caller may notice";
    terminateAll();
}

TEST_F(CallFaultTest, leavingTargetGetsNoNewWork)
{
    const auto ignoreProgress = [](std::size_t) {
    };
    m_fleet.call(Calls / 4, ignoreProgress);
    EXPECT_GT(m_fleet.runsAt(2), 0U);
    m_fleet.setHealth(2, "draining");
    constexpr Milliseconds FewSeconds {3'000};
    m_fleet.pass(FewSeconds);
    const std::size_t before = m_fleet.runsAt(2);
    m_fleet.call(Calls / 4, ignoreProgress);
    EXPECT_EQ(m_fleet.runsAt(2), before);
    EXPECT_EQ(m_fleet.answered(), Calls / 2);
    EXPECT_EQ(m_fleet.violations(), NoViolation);
    terminateAll();
}
