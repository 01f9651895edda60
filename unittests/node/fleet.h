// A few real nodes on loopback addresses, with platform, targets and callers as small fakes on the test's own loop.
#pragma once

#include "jasminemast/net/httpclient.h"
#include "jasminemast/net/httpserver.h"
#include "jasminemast/support/random.h"

#include <sys/types.h>

#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace jasminemast::fleet
{

/// What a caller was told.
struct CallRecord
{
    std::string key;
    bool repeatable = false;
    unsigned status = 0; ///< 0: the connection broke
    std::string outcome; ///< the Jasminemast-Outcome header
    std::string body;
};

/// One run: \p hosts nodes with a target each, and callers at the first node.
class Fleet
{
public:
    explicit Fleet(std::size_t hosts);
    ~Fleet();

    /// Starts every node and waits until all are ready; false when one is not in time.
    bool start();

    /// False when a node is not ready in time.
    bool awaitReady();
    void startNode(std::size_t host);
    void signalNode(std::size_t host, int signal);
    /// Waits for the node to end while the fakes go on serving; its exit status, or -1 when a signal ended it. Not to
    /// be used from within a handler.
    int waitForNode(std::size_t host);
    /// Kills the node and starts it anew.
    void replaceNode(std::size_t host);
    /// Sends SIGTERM and starts the node anew once it has ended; nothing while another one is still ending.
    void rollNode(std::size_t host);
    void finishRolling();
    /// Exit statuses of the nodes that rollNode() ended.
    [[nodiscard]] const std::vector<int> &rolled() const
    {
        return m_rolled;
    }
    void setHealth(std::size_t host, const std::string &state);

    /// Makes \p total calls, some at once. \p onProgress is told after each one how many have ended.
    void call(std::size_t total, const std::function<void(std::size_t ended)> &onProgress);
    /// Runs the loop for \p duration.
    void pass(Milliseconds duration);

    /// The promises that were broken, by comparing the records with the targets' ledger.
    [[nodiscard]] std::vector<std::string> violations() const;
    [[nodiscard]] std::size_t answered() const;
    /// What callers were told other than an answer, for messages.
    [[nodiscard]] std::string failures() const;
    [[nodiscard]] const std::vector<CallRecord> &records() const
    {
        return m_records;
    }
    [[nodiscard]] std::size_t runsAt(std::size_t host) const
    {
        return m_targets.at(host)->runs;
    }

private:
    struct Target
    {
        std::unique_ptr<HttpServer> server;
        std::string health = "ok";
        std::size_t runs = 0;
    };
    struct Held;

    [[nodiscard]] std::string address(std::size_t host) const;
    void publish();
    void onPlatform(const std::shared_ptr<HttpExchange> &exchange);
    void onTarget(std::size_t host, const std::shared_ptr<HttpExchange> &exchange);
    void startCall();
    void awaitRolled(std::size_t host);
    void later(Milliseconds delay, std::function<void()> work);
    /// Ends the rolling of \p host once its new process is ready; before that SIGTERM may meet a process that has
    /// not yet installed its handler and has accepted nothing.
    void awaitSuccessor(std::size_t host, int pollsLeft);
    [[nodiscard]] HttpClientRequest readyRequest(std::size_t host) const;
    bool isReady(std::size_t host);

    std::string m_network; ///< first three numbers of all addresses, unlike those of other test processes
    std::filesystem::path m_folder;
    Loop m_loop;
    HttpClient m_client {m_loop};
    Random m_random {7};
    std::unique_ptr<HttpServer> m_platform;
    std::map<std::string, std::string> m_values; ///< of the configuration service
    std::string m_hosts; ///< the host list
    std::vector<std::unique_ptr<Target>> m_targets;
    std::vector<pid_t> m_nodes; ///< 0 while the node does not run
    std::set<std::size_t> m_rolling; ///< nodes that were sent SIGTERM and whose next process is not ready
    std::vector<int> m_rolled;
    std::vector<std::unique_ptr<Timer>> m_timers;
    std::map<std::string, std::size_t> m_ledger; ///< how often targets ran each call
    std::vector<CallRecord> m_records;
    std::size_t m_started = 0;
    std::size_t m_total = 0;
    std::function<void(std::size_t)> m_onProgress;
};

} // namespace jasminemast::fleet
