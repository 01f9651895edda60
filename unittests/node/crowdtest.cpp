// Clients that stay within no limit but those that the node enforces: neither node may end, hang or use more memory
// than the smallest machine has, and ordinary callers are still answered.
//
// Nothing here depends on the speed of the machine. Each case is a test of its own for ctest, which runs it alone.
#include "crowd.h"
#include "fleet.h"
#include "processusage.h"

#include "jasminemast/support/digest.h"

#include <gtest/gtest.h>

#include <atomic>
#include <csignal>
#include <iostream>
#include <mutex>
#include <thread>

namespace jasminemast::fleet
{
namespace
{

using std::chrono_literals::operator""ms;

/// Memory of the smallest machine of the users' deployments.
constexpr std::size_t MachineBytes = 88'000'000;
/// Descriptors of the smallest machine, and those of them that the platform keeps for files.
constexpr std::size_t MachineDescriptors = 4'100;
constexpr std::size_t FileDescriptors = 200;
constexpr std::size_t MiB = 1 << 20;
/// Limit of the nodes in all cases but the calm ones.
constexpr std::size_t MaxBodyBytes = 8 * MiB;
constexpr const char *CrowdSettings
    = R"({"calls": {"maxRequestBytes": 8388608}, "drain": {"lingerMs": 200, "graceMs": 2000}})";
constexpr const char *CalmSettings = R"({"calls": {"maxRequestBytes": 67108864, "defaultDeadlineMs": 600000}})";
/// The path makes the call go through the link to the second node.
constexpr const char *UploadTarget = "/h1/upload?padding=10";
constexpr std::size_t EntryHost = 0;
constexpr std::size_t TargetHost = 1;

#if defined(__SANITIZE_ADDRESS__)
/// The address sanitizer multiplies the memory of a process.
constexpr bool IsMemoryMeasured = false;
#else
constexpr bool IsMemoryMeasured = true;
#endif

FleetOptions options(const char *settings)
{
    FleetOptions result;
    result.settings = {{EntryHost, settings}, {TargetHost, settings}};
    result.targetMaxBodyBytes = 65 * MiB;
    result.maxDescriptors = MachineDescriptors;
    return result;
}

class CrowdTest : public testing::Test
{
protected:
    void startFleet(const char *settings)
    {
        m_fleet = std::make_unique<Fleet>(2, options(settings));
        ASSERT_TRUE(m_fleet->start());
        m_monitor = std::make_unique<UsageMonitor>(
            std::vector<pid_t> {m_fleet->processId(EntryHost), m_fleet->processId(TargetHost)});
    }

    /// Has the crowd send all that the entry node reads.
    void gather(const std::vector<CallerScript> &scripts)
    {
        m_crowd = std::make_unique<Crowd>(m_fleet->callerAddress(EntryHost), scripts);
        while (!m_crowd->isSettled()) {
            m_fleet->runFor(20ms);
        }
    }

    /// True if one of a few ordinary calls is answered; others may be refused.
    bool isOrdinaryCallAnswered()
    {
        constexpr int MaxCalls = 20;
        for (int i = 0; i < MaxCalls; ++i) {
            CallPlan plan;
            plan.targetHost = TargetHost;
            const std::string key = m_fleet->startCall(plan);
            m_fleet->finishCalls();
            if (m_fleet->findRecord(key)->status == 200) {
                return true;
            }
            m_fleet->runFor(200ms);
        }
        return false;
    }

    void expectBounds()
    {
        const std::vector<ProcessUsage> peaks = m_monitor->stop();
        for (std::size_t host = 0; host < peaks.size(); ++host) {
            const ProcessUsage &peak = peaks[host];
            std::cout << "node " << host << ": at most " << peak.memoryBytes / 1'000'000 << " MB (resident "
                      << peak.residentBytes / 1'000'000 << ", unread " << peak.unreadBytes / 1'000'000 << "), "
                      << peak.descriptors << " descriptors" << std::endl;
            EXPECT_LE(peak.descriptors, MachineDescriptors - FileDescriptors) << "node " << host;
            if (IsMemoryMeasured) {
                EXPECT_LE(peak.memoryBytes, MachineBytes) << "node " << host;
            }
        }
    }

    /// Runs the whole case: the crowd comes, stays and leaves.
    void expectCrowdIsBorne(const std::vector<CallerScript> &scripts)
    {
        startFleet(CrowdSettings);
        gather(scripts);
        std::cout << m_crowd->sentBytes() / 1'000'000 << " MB sent, " << m_crowd->openConnections() << " of "
                  << scripts.size() << " connections open" << std::endl;
        EXPECT_TRUE(isOrdinaryCallAnswered()) << "beside the crowd: " << m_fleet->failures();
        m_crowd.reset();
        EXPECT_TRUE(isOrdinaryCallAnswered()) << "after the crowd: " << m_fleet->failures();
        EXPECT_TRUE(m_fleet->isNodeRunning(EntryHost));
        EXPECT_TRUE(m_fleet->isNodeRunning(TargetHost));
        expectBounds();
    }

    std::unique_ptr<Fleet> m_fleet;
    std::unique_ptr<UsageMonitor> m_monitor;
    std::unique_ptr<Crowd> m_crowd;
};

TEST_F(CrowdTest, WholeLegalBodies)
{
    expectCrowdIsBorne(std::vector<CallerScript>(32, lengthScript(UploadTarget, MaxBodyBytes, MaxBodyBytes)));
}

TEST_F(CrowdTest, WholeLegalBodiesPieceByPiece)
{
    CallerScript script = lengthScript(UploadTarget, MaxBodyBytes, MaxBodyBytes);
    script.pieceBytes = 4'000;
    expectCrowdIsBorne(std::vector<CallerScript>(32, script));
}

TEST_F(CrowdTest, BodiesThatStopOneByteShort)
{
    std::vector<CallerScript> scripts(28, lengthScript(UploadTarget, MaxBodyBytes, MaxBodyBytes - 1));
    scripts.resize(32, lengthScript(UploadTarget, MaxBodyBytes, MaxBodyBytes));
    for (std::size_t i = 0; i < scripts.size(); i += 2) {
        scripts[i].pieceBytes = 4'000;
    }
    expectCrowdIsBorne(scripts);
}

TEST_F(CrowdTest, LargeChunksThatStopShort)
{
    std::vector<CallerScript> scripts(28, chunkedScript(UploadTarget, MiB, 8, false));
    scripts.resize(32, chunkedScript(UploadTarget, MiB, 8, true));
    expectCrowdIsBorne(scripts);
}

TEST_F(CrowdTest, VerySmallChunksThatStopShort)
{
    constexpr std::size_t ChunkBytes = 16;
    std::vector<CallerScript> scripts(28, chunkedScript(UploadTarget, ChunkBytes, MaxBodyBytes / ChunkBytes, false));
    scripts.resize(32, chunkedScript(UploadTarget, ChunkBytes, MaxBodyBytes / ChunkBytes, true));
    expectCrowdIsBorne(scripts);
}

TEST_F(CrowdTest, BodiesFarOverTheLimit)
{
    std::vector<CallerScript> scripts(8, lengthScript(UploadTarget, 1'024 * MiB, 64 * MiB));
    scripts.resize(16, lengthScript(UploadTarget, MaxBodyBytes, 64 * MiB));
    scripts.resize(48, chunkedScript(UploadTarget, MiB, 64, false));
    expectCrowdIsBorne(scripts);
}

TEST_F(CrowdTest, ManyHeadsThatStopShort)
{
    constexpr std::size_t HeadBytes = 31'000;
    CallerScript script;
    script.head = "GET /h1/x HTTP/1.1\r\nHost: a\r\nX-Long: " + std::string(HeadBytes, 'x');
    expectCrowdIsBorne(std::vector<CallerScript>(3'600, script));
}

TEST_F(CrowdTest, ManySmallBodiesThatStopShort)
{
    constexpr std::size_t BodyBytes = 60'000;
    expectCrowdIsBorne(std::vector<CallerScript>(3'600, lengthScript(UploadTarget, BodyBytes, BodyBytes - 1)));
}

TEST_F(CrowdTest, NodesExitOnSignalBesideTheCrowd)
{
    startFleet(CrowdSettings);
    std::vector<CallerScript> scripts(24, lengthScript(UploadTarget, MaxBodyBytes, MaxBodyBytes - 1));
    scripts.resize(32, chunkedScript(UploadTarget, MiB, 8, false));
    gather(scripts);
    expectBounds();
    for (const std::size_t host : {EntryHost, TargetHost}) {
        m_fleet->signalNode(host, SIGTERM);
        EXPECT_EQ(m_fleet->waitForNode(host), 0);
    }
}

/// One caller that sends the largest legal body, several times on one connection.
class CalmUploadTest : public CrowdTest
{
protected:
    static constexpr std::size_t LargestBodyBytes = 67'108'864;
    static constexpr int Requests = 3;

    static std::string makeBody()
    {
        std::string body(LargestBodyBytes, '\0');
        std::uint64_t state = 1;
        for (char &byte : body) {
            state = state * 6'364'136'223'846'793'005ULL + 1'442'695'040'888'963'407ULL;
            byte = static_cast<char>(state >> 56U);
        }
        return body;
    }

    /// Sends \p request so many times and expects each to be answered and to arrive whole.
    void expectArrives(const std::string &request, const std::string &body)
    {
        startFleet(CalmSettings);
        KeptConnectionCaller caller(m_fleet->callerAddress(EntryHost), request, Requests);
        while (!caller.isOver()) {
            m_fleet->runFor(20ms);
        }
        EXPECT_EQ(caller.statuses(), std::vector<unsigned>(Requests, 200));
        EXPECT_EQ(m_fleet->bodyDigestsOf("h1/upload"), std::vector<std::string>(Requests, sha256(body).hex()));
        EXPECT_TRUE(isOrdinaryCallAnswered());
        EXPECT_TRUE(m_fleet->isNodeRunning(EntryHost));
        EXPECT_TRUE(m_fleet->isNodeRunning(TargetHost));
        expectBounds();
    }
};

TEST_F(CalmUploadTest, LargestBodyWithLengthArrivesWhole)
{
    const std::string body = makeBody();
    expectArrives("POST " + std::string(UploadTarget)
                      + " HTTP/1.1\r\nHost: a\r\nJasminemast-Deadline-Ms: 600000\r\nContent-Length: "
                      + std::to_string(body.size()) + "\r\n\r\n" + body,
                  body);
}

TEST_F(CalmUploadTest, LargestChunkedBodyArrivesWhole)
{
    constexpr std::size_t ChunkBytes = 1 << 14;
    const std::string body = makeBody();
    std::string request = "POST " + std::string(UploadTarget)
        + " HTTP/1.1\r\nHost: a\r\nJasminemast-Deadline-Ms: 600000\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (std::size_t offset = 0; offset < body.size(); offset += ChunkBytes) {
        request += "4000\r\n" + body.substr(offset, ChunkBytes) + "\r\n";
    }
    expectArrives(request + "0\r\n\r\n", body);
}

/// Uploads while the nodes on their way are killed, restarted and drained.
class UploadFaultTest : public CrowdTest
{
protected:
    static constexpr std::size_t BodyBytes = 1'500'000;
    static constexpr std::size_t CallerThreads = 6;

    struct Upload
    {
        std::string key;
        std::string response;
    };

    /// Sends one upload after the other until m_isStopping.
    void callRepeatedly(std::size_t thread)
    {
        const std::string body(BodyBytes, 'x');
        const SocketAddress server = m_fleet->callerAddress(EntryHost);
        for (int i = 0; !m_isStopping; ++i) {
            const std::string key = "h1/upload-" + std::to_string(thread) + "-" + std::to_string(i);
            const std::string request = "POST /" + key
                + "?padding=10 HTTP/1.1\r\nHost: a\r\nConnection: close\r\nJasminemast-Deadline-Ms: 3000\r\n"
                + (i % 2 == 0 ? "Content-Length: " + std::to_string(BodyBytes) + "\r\n\r\n" + body
                              : "Transfer-Encoding: chunked\r\n\r\n16e360\r\n" + body + "\r\n0\r\n\r\n");
            const std::string response = exchangeOnce(server, request);
            const std::scoped_lock lock(m_mutex);
            m_uploads.push_back({key, response});
        }
    }

    void checkPromises()
    {
        const std::string digest = sha256(std::string(BodyBytes, 'x')).hex();
        std::size_t answered = 0;
        for (const Upload &upload : m_uploads) {
            const std::vector<std::string> bodies = m_fleet->bodyDigestsOf(upload.key);
            const std::string status = upload.response.substr(0, 13);
            EXPECT_LE(bodies.size(), 1U) << upload.key << " ran twice";
            EXPECT_TRUE(bodies.empty() || bodies.front() == digest) << upload.key << " arrived changed";
            if (status == "HTTP/1.1 200 ") {
                ++answered;
                EXPECT_EQ(bodies.size(), 1U) << upload.key;
            }
            if (upload.response.find("Jasminemast-Outcome: not-run") != std::string::npos) {
                EXPECT_TRUE(bodies.empty()) << upload.key << " ran although it was reported as not run";
            }
        }
        std::cout << answered << " of " << m_uploads.size() << " uploads answered with 200" << std::endl;
        EXPECT_GT(answered, 0U);
    }

    std::mutex m_mutex;
    std::vector<Upload> m_uploads; ///< in the order of their ends
    std::atomic<bool> m_isStopping {false};
};

TEST_F(UploadFaultTest, KilledAndDrainedNodesKeepThePromises)
{
    constexpr int Rounds = 6;
    m_fleet = std::make_unique<Fleet>(2, options(CrowdSettings));
    ASSERT_TRUE(m_fleet->start());
    std::vector<std::thread> callers;
    for (std::size_t thread = 0; thread < CallerThreads; ++thread) {
        callers.emplace_back([this, thread] { callRepeatedly(thread); });
    }
    for (int round = 0; round < Rounds; ++round) {
        m_fleet->runFor(200ms);
        m_fleet->killAndRestartNode(TargetHost);
        EXPECT_TRUE(m_fleet->awaitReady());
        m_fleet->runFor(200ms);
        // The entry node last: it believes for some seconds that the target's node leaves, its next process doesn't.
        m_fleet->restartNode(round % 2 == 0 ? TargetHost : EntryHost);
        m_fleet->finishRestart();
    }
    m_fleet->runFor(200ms);
    m_isStopping = true;
    // The stand-ins go on serving until all callers have ended.
    std::atomic<bool> haveEnded {false};
    std::thread waiter([&] {
        for (std::thread &caller : callers) {
            caller.join();
        }
        haveEnded = true;
    });
    while (!haveEnded) {
        m_fleet->runFor(20ms);
    }
    waiter.join();
    EXPECT_EQ(m_fleet->exitStatuses(), std::vector<int>(Rounds, 0));
    EXPECT_TRUE(isOrdinaryCallAnswered()) << m_fleet->failures();
    checkPromises();
}

} // namespace
} // namespace jasminemast::fleet
