// Calls through real nodes while nodes are killed, paused and terminated. Compares for each call how often targets ran
// it with the response that its caller got.
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

/// The host of the next fault; never the entry node.
std::size_t faultHost(std::size_t ended)
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
                fault(faultHost(ended));
            }
        });
    }

    /// Resumes the node that was paused last and pauses that of \p host.
    void pauseOnly(std::size_t host)
    {
        if (m_pausedHost != 0) {
            m_fleet.signalNode(m_pausedHost, SIGCONT);
        }
        m_fleet.signalNode(host, SIGSTOP);
        m_pausedHost = host;
    }

    void expectNoViolationsAndTerminate()
    {
        EXPECT_EQ(m_fleet.violations(), NoViolation);
        EXPECT_GT(m_fleet.okResponses(), Calls / 2);
        terminateAll();
    }

    void terminateAll()
    {
        // A node that was just restarted may not have installed its signal handler yet.
        EXPECT_TRUE(m_fleet.awaitReady());
        for (std::size_t host = 0; host < Hosts; ++host) {
            m_fleet.signalNode(host, SIGTERM);
        }
        for (std::size_t host = 0; host < Hosts; ++host) {
            EXPECT_EQ(m_fleet.waitForNode(host), 0) << "node " << host;
        }
    }

    Fleet m_fleet {Hosts};
    std::size_t m_pausedHost = 0; ///< host whose node is paused; 0: none
};

} // namespace

TEST_F(CallFaultTest, KilledNodesCauseNoDoubleRunsAndNoFalseOutcomes)
{
    callWithFaults([this](std::size_t host) { m_fleet.killAndRestartNode(host); });
    expectNoViolationsAndTerminate();
}

TEST_F(CallFaultTest, PausedNodesCauseNoDoubleRunsAndNoFalseOutcomes)
{
    callWithFaults([this](std::size_t host) { pauseOnly(host); });
    m_fleet.signalNode(m_pausedHost, SIGCONT);
    expectNoViolationsAndTerminate();
}

TEST_F(CallFaultTest, PausedAndKilledNodesCauseNoDoubleRunsAndNoFalseOutcomes)
{
    callWithFaults([this](std::size_t host) {
        pauseOnly(host);
        m_fleet.killAndRestartNode(1 + host % (Hosts - 1));
    });
    m_fleet.signalNode(m_pausedHost, SIGCONT);
    expectNoViolationsAndTerminate();
}

TEST_F(CallFaultTest, TerminatedNodesFailNoCall)
{
    constexpr std::size_t MinRestarts = 3;
    std::size_t batches = 0;
    while (m_fleet.exitStatuses().size() < MinRestarts) {
        m_fleet.restartNode(faultHost(batches * CallsBetweenFaults));
        m_fleet.call(CallsBetweenFaults, [](std::size_t) {});
        ++batches;
    }
    m_fleet.finishRestart();
    for (const int status : m_fleet.exitStatuses()) {
        EXPECT_EQ(status, 0);
    }
    EXPECT_EQ(m_fleet.violations(), NoViolation);
    EXPECT_EQ(m_fleet.failures(), "") << "callers must not notice the shutdown of a node";
    terminateAll();
}

TEST_F(CallFaultTest, DrainingTargetGetsNoNewCalls)
{
    const auto ignoreProgress = [](std::size_t) {
    };
    m_fleet.call(Calls / 4, ignoreProgress);
    EXPECT_GT(m_fleet.runsAt(2), 0U);
    m_fleet.setHealth(2, "draining");
    constexpr Milliseconds DrainDetectionTime {3'000}; // targets are probed every second
    m_fleet.runFor(DrainDetectionTime);
    const std::size_t before = m_fleet.runsAt(2);
    m_fleet.call(Calls / 4, ignoreProgress);
    EXPECT_EQ(m_fleet.runsAt(2), before);
    EXPECT_EQ(m_fleet.okResponses(), Calls / 2);
    EXPECT_EQ(m_fleet.violations(), NoViolation);
    terminateAll();
}
