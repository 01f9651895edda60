// Runs a few real nodes on loopback addresses, with stand-ins for platform, targets and callers on the test's loop.
#pragma once

#include "keptconnection.h"

#include "jasminemast/net/httpclient.h"
#include "jasminemast/net/httpserver.h"
#include "jasminemast/support/random.h"

#include <nlohmann/json_fwd.hpp>

#include <sys/types.h>

#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace jasminemast::fleet
{

/// What differs between the fleets of tests.
struct FleetOptions
{
    std::size_t targetSlots = 12; ///< of each target
    std::map<std::size_t, std::string> settings; ///< JSON objects, merged into the settings files of these hosts
    std::size_t targetMaxBodyBytes = 1 << 20; ///< of a request that a target takes
    std::size_t maxDescriptors = 0; ///< of each node process; 0: as the test process
};

/// Which node a caller sends a call to, and what it asks for.
struct CallPlan
{
    std::size_t entryHost = 0;
    std::optional<std::size_t> targetHost; ///< the only host whose target may run the call; unset: any
    bool repeatable = true;
    std::size_t paddingBytes = 2'000; ///< of the response
    Milliseconds deadline {4'000};
};

/// One call and the response that the caller got.
struct CallRecord
{
    std::string key;
    bool repeatable = false;
    std::size_t paddingBytes = 0;
    unsigned status = 0; ///< 0: the connection broke
    bool wasRead = true; ///< false: the node's kernel reset the connection, as the node had not read the whole call
    std::string outcome; ///< the Jasminemast-Outcome header
    std::string body;
};

/// Nodes with one target each, and callers of the nodes.
class Fleet
{
public:
    explicit Fleet(std::size_t hosts, FleetOptions options = {});
    ~Fleet();

    /// Starts all nodes and waits until they are ready; false if one is not ready in time.
    bool start();

    /// Waits until all nodes are ready; false if one is not ready in time.
    bool awaitReady();
    void startNode(std::size_t host);
    void signalNode(std::size_t host, int signal);
    /// Waits for the node to exit while the stand-ins go on serving. Returns its exit status, or the negative number of
    /// the signal that ended it. Must not be called from within a handler.
    int waitForNode(std::size_t host);
    /// Kills the node and starts it again.
    void killAndRestartNode(std::size_t host);
    /// Sends SIGTERM and starts the node again once it has exited; does nothing while another restart is in progress.
    void restartNode(std::size_t host);
    void finishRestart();
    /// Exit statuses of the nodes that restartNode() terminated.
    [[nodiscard]] const std::vector<int> &exitStatuses() const
    {
        return m_exitStatuses;
    }
    void setHealth(std::size_t host, const std::string &state);
    /// From now on, the target of \p host takes calls and does not answer them.
    void withholdResponses(std::size_t host);
    /// Has the target of \p host answer all calls that it has withheld, and those that follow.
    void releaseResponses(std::size_t host);
    /// Merges \p settings, a JSON object, into the node's settings file.
    void changeSettings(std::size_t host, const std::string &settings);
    /// Puts \p text in the place of the node's settings file.
    void replaceSettingsFile(std::size_t host, const std::string &text);
    /// Publishes the next ticket, which holds \p changes, a JSON object. Returns its number.
    unsigned publishTicket(const std::string &changes);
    /// Opens a link to the node for isExiting().
    void watchExit(std::size_t host);
    /// True from the moment at which the node closes its links for its exit. Needs watchExit() before the drain.
    [[nodiscard]] bool isExiting(std::size_t host) const;

    /// Makes \p total calls, some concurrently, and calls \p onProgress after each one with the number of ended calls.
    void call(std::size_t total, const std::function<void(std::size_t ended)> &onProgress);
    /// Starts one call and returns its key.
    std::string startCall(const CallPlan &plan);
    /// Keeps \p concurrent calls open until finishCalls(): whenever one ends, the next one starts.
    void keepCalling(const CallPlan &plan, std::size_t concurrent);
    /// Starts no further calls and waits for the open ones to end.
    void finishCalls();
    /// Opens \p count connections to the node of plan.entryHost and makes one call on each.
    void keepConnections(const CallPlan &plan, std::size_t count);
    /// Starts a call on a kept connection that the node has left open, and returns its key; unset: there is none.
    std::optional<std::string> callOnKeptConnection(const CallPlan &plan);
    /// Records the calls that were cut on kept connections to the node, which has exited.
    void recordCutCalls(std::size_t host);
    /// Runs the loop for \p duration.
    void runFor(Milliseconds duration);
    /// Runs the loop until \p isReached returns true.
    void awaitState(const std::function<bool()> &isReached);

    /// Violations of guarantees, found by comparing the records with the runs that targets counted.
    [[nodiscard]] std::vector<std::string> violations() const;
    [[nodiscard]] std::size_t okResponses() const;
    /// The failure responses that callers got, for messages.
    [[nodiscard]] std::string failures() const;
    [[nodiscard]] const std::vector<CallRecord> &records() const
    {
        return m_records;
    }
    /// The record of an ended call; null while the call is open.
    [[nodiscard]] const CallRecord *findRecord(const std::string &key) const;
    [[nodiscard]] std::size_t runsAt(std::size_t host) const
    {
        return m_targets.at(host)->runs;
    }
    [[nodiscard]] std::size_t runsOf(const std::string &key) const;
    /// The calls that the node of \p host has accepted for its target, waiting ones included, from the node's metrics.
    [[nodiscard]] std::size_t acceptedAt(std::size_t host);
    /// Hex digests of the bodies that targets received with each call of \p key, in their order.
    [[nodiscard]] std::vector<std::string> bodyDigestsOf(const std::string &key) const;
    [[nodiscard]] SocketAddress callerAddress(std::size_t host) const;
    [[nodiscard]] pid_t processId(std::size_t host) const
    {
        return m_nodes.at(host);
    }
    /// False once the process of the node has ended.
    [[nodiscard]] bool isNodeRunning(std::size_t host) const;
    /// Number of lines in the node's log that contain \p text.
    [[nodiscard]] std::size_t countLogged(std::size_t host, std::string_view text) const;

private:
    struct Target
    {
        std::unique_ptr<HttpServer> server;
        std::string health = "ok";
        std::size_t runs = 0;
        bool isWithholding = false;
        std::vector<std::shared_ptr<HttpExchange>> withheld;
    };
    struct Caller
    {
        std::size_t entryHost;
        std::unique_ptr<KeptConnection> connection;
        CallRecord call; ///< the last one
        bool isRecorded = true; ///< false while the call is open
    };

    [[nodiscard]] std::string address(std::size_t host) const;
    void publishConfiguration();
    void acceptTicket(const nlohmann::json &ticket);
    void respondToPoll(const std::shared_ptr<HttpExchange> &exchange);
    void respond(const std::shared_ptr<HttpExchange> &exchange);
    void handlePlatformRequest(const std::shared_ptr<HttpExchange> &exchange);
    void handleTargetRequest(std::size_t host, const std::shared_ptr<HttpExchange> &exchange);
    void send(const CallPlan &plan, const std::string &key, std::function<void()> onEnded);
    std::string nextKey(const CallPlan &plan);
    void sendOn(Caller &caller, const CallPlan &plan, const std::string &key);
    void startNextCall();
    void callRepeatedly(const CallPlan &plan);
    void killNode(std::size_t host);
    /// Prints the end of the node's log and keeps the logs if \p status is not 0.
    void reportExit(std::size_t host, int status);
    void awaitExit(std::size_t host);
    void runLater(Milliseconds delay, std::function<void()> work);
    /// Ends the restart of \p host once its new process is ready; before that, the process may not have installed its
    /// handler for SIGTERM.
    void awaitRestarted(std::size_t host, int pollsLeft);
    [[nodiscard]] HttpClientRequest operatorRequest(std::size_t host, const std::string &path) const;
    bool isReady(std::size_t host);

    std::string m_addressPrefix; ///< first three numbers of all addresses, different from those of other test processes
    std::filesystem::path m_directory;
    bool m_keepsDirectory = false;
    FleetOptions m_options;
    Loop m_loop;
    HttpClient m_client {m_loop};
    Random m_random {7};
    std::unique_ptr<HttpServer> m_platform;
    std::map<std::string, std::string>
        m_platformValues; ///< values of the configuration service and the host list, by path
    unsigned m_ticketNumber = 0;
    std::string m_ticketDigest;
    unsigned m_platformIndex = 0;
    std::vector<std::shared_ptr<HttpExchange>> m_polls; ///< wait for the next change
    std::vector<std::unique_ptr<Target>> m_targets;
    std::vector<pid_t> m_nodes; ///< 0 while the node is not running
    std::set<std::size_t> m_restarting; ///< nodes that were sent SIGTERM and whose next process is not ready
    std::vector<int> m_exitStatuses;
    std::vector<std::unique_ptr<Timer>> m_timers;
    std::map<std::string, std::size_t> m_runsByCall; ///< how often targets ran each call, by key
    std::map<std::string, std::vector<std::string>> m_bodyDigests; ///< of requests with a body, by key
    std::vector<CallRecord> m_records;
    std::vector<std::unique_ptr<Caller>> m_callers; ///< on kept connections
    std::map<std::size_t, Descriptor> m_exitProbes; ///< links that send nothing, by host
    std::size_t m_startedCalls = 0;
    std::size_t m_totalCalls = 0;
    bool m_keepsCalling = false;
    std::function<void(std::size_t)> m_onProgress;
};

/// The body that targets respond with to the call \p key.
std::string responseFor(const std::string &key, std::size_t paddingBytes);

} // namespace jasminemast::fleet
