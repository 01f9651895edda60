// A test fleet of processes on one machine: stand-ins of the platform, a target and a node per host; faults can be
// injected into each.
#pragma once

#include "childprocess.h"
#include "ticketpublisher.h"
#include "topology.h"

#include <filesystem>
#include <memory>
#include <optional>

namespace jasminemast::harness
{

/// Paths of the programs that a fleet runs.
struct Programs
{
    std::string node; ///< the jasminemast binary
    std::string standin; ///< the jasminemast-standin binary

    /// Finds both in the build folder that contains \p programPath, the argv[0] of a program built there.
    static Programs find(const std::string &programPath);
};

/// Capacity and speed of a target.
struct TargetPlan
{
    unsigned slots = 12; ///< calls served concurrently
    unsigned serviceMs = 2; ///< service time of a call
};

/// Starts the processes of a test fleet and kills them in its destructor.
///
/// Invariant: m_nodes and m_targets have one element per host, in the order of Topology::hosts; null elements have not
/// been started or were killed.
class Fleet
{
public:
    Fleet(Topology topology, Programs programs);
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    /// Starts the configuration service, the host list and, if Topology::throughZoneLink is set, the zone link.
    void startPlatform();
    void startTargets(const TargetPlan &plan);
    void startTarget(std::size_t host, const TargetPlan &plan);
    void startNodes();
    void startNode(std::size_t host);

    /// Waits until every running node responds to /v1/ready with 200; returns false after \p limit.
    bool waitUntilReady(std::chrono::milliseconds limit);
    /// Waits until every running node reports ticket \p number or a later one; returns false after \p limit.
    bool waitForTicket(std::uint64_t number, std::chrono::milliseconds limit);
    /// Waits until a GET of \p url returns 200; returns false after \p limit.
    static bool waitForPage(const std::string &url, std::chrono::milliseconds limit);

    void killNode(std::size_t host);
    void pauseNode(std::size_t host);
    void resumeNode(std::size_t host);
    /// Sends SIGTERM and returns the exit status; after \p limit kills the node and returns nullopt.
    std::optional<int> terminateNode(std::size_t host, std::chrono::milliseconds limit);
    [[nodiscard]] bool isNodeRunning(std::size_t host);

    /// The JSON of `/v1/status` of a node, or nullopt if the request fails.
    [[nodiscard]] std::optional<nlohmann::json> status(std::size_t host) const;
    /// The run log of a target: one object per execution of a call.
    [[nodiscard]] std::vector<nlohmann::json> runLog(std::size_t host) const;
    /// Sets how a target misbehaves.
    void setTargetFault(std::size_t host, const nlohmann::json &fault) const;
    /// Sets how the configuration service misbehaves.
    void setSourceFault(const nlohmann::json &fault) const;
    /// Sets mode, delay or bandwidth of the traffic between the zones that \p pair names as "from" and "to": a zone
    /// number, "platform" or "*" for every zone.
    void setZonePair(const nlohmann::json &pair) const;
    /// Bytes that the zone link carried, in total and for each pair of zones.
    [[nodiscard]] nlohmann::json zoneLinkBytes() const;

    [[nodiscard]] const Topology &topology() const
    {
        return m_topology;
    }
    [[nodiscard]] const Programs &programs() const
    {
        return m_programs;
    }
    TicketPublisher &tickets()
    {
        return m_tickets;
    }
    /// Temporary folder with the settings files and logs; removed by the destructor.
    [[nodiscard]] const std::filesystem::path &folder() const
    {
        return m_folder;
    }
    /// Makes the destructor keep the folder, to debug a failure.
    void keepFolder()
    {
        m_keepFolder = true;
    }
    /// Process ids of the nodes that were started and not killed.
    [[nodiscard]] std::vector<pid_t> nodeIds() const;

private:
    [[nodiscard]] std::string logPath(const std::string &name) const;
    std::string writeFile(const std::string &name, const nlohmann::json &content) const;
    [[nodiscard]] std::string zoneLinkAdminUrl() const;
    void startZoneLink();

    Topology m_topology;
    Programs m_programs;
    TicketPublisher m_tickets;
    std::filesystem::path m_folder;
    bool m_keepFolder = false;
    std::vector<ChildProcess> m_platform;
    std::vector<std::unique_ptr<ChildProcess>> m_targets;
    std::vector<std::unique_ptr<ChildProcess>> m_nodes;
};

} // namespace jasminemast::harness
