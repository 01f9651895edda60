// A trial fleet: the platform's stand-ins, a target and a node on each host, and the means to disturb them.
#pragma once

#include "childprocess.h"
#include "ticketdesk.h"
#include "topology.h"

#include <filesystem>
#include <memory>
#include <optional>

namespace jasminemast::harness
{

/// Where the programs are.
struct Programs
{
    std::string node; ///< the jasminemast binary
    std::string standin; ///< the jasminemast-standin binary

    /// Both from the build folder that \p ownPath (an argv[0] inside it) lies in.
    static Programs find(const std::string &ownPath);
};

struct TargetPlan
{
    unsigned slots = 12;
    unsigned serviceMs = 2;
};

/// Starts and ends every process of one trial.
///
/// Invariants: m_nodes and m_targets have one place a host, in the topology's order; an empty place is not running.
class Fleet
{
public:
    Fleet(Topology topology, Programs programs);
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    /// Starts the configuration service and the host list, and the zone link when the topology asks for it.
    void startPlatform();
    void startTargets(const TargetPlan &plan);
    void startTarget(std::size_t host, const TargetPlan &plan);
    void startNodes();
    void startNode(std::size_t host);

    /// True when every running node answers /v1/ready with 200 within \p limit.
    bool waitReady(std::chrono::milliseconds limit);
    /// True when every running node reports at least ticket \p number within \p limit.
    bool waitForTicket(std::uint64_t number, std::chrono::milliseconds limit);
    /// True when \p url answers 200 within \p limit.
    static bool waitForPage(const std::string &url, std::chrono::milliseconds limit);

    void killNode(std::size_t host);
    void pauseNode(std::size_t host);
    void resumeNode(std::size_t host);
    /// SIGTERM; returns the exit status unless \p limit passed first.
    std::optional<int> terminateNode(std::size_t host, std::chrono::milliseconds limit);
    [[nodiscard]] bool isNodeRunning(std::size_t host);

    /// `/v1/status` of a node; nothing when it doesn't answer.
    [[nodiscard]] std::optional<nlohmann::json> status(std::size_t host) const;
    /// The target's ledger, one object a run.
    [[nodiscard]] std::vector<nlohmann::json> ledger(std::size_t host) const;
    void setTargetFault(std::size_t host, const nlohmann::json &fault) const;
    void setSourceFault(const nlohmann::json &fault) const;
    /// Sets how traffic from zone \p from to zone \p to fares; "*" means every zone.
    void setZonePair(const nlohmann::json &pair) const;
    [[nodiscard]] nlohmann::json zoneLinkBytes() const;

    [[nodiscard]] const Topology &topology() const
    {
        return m_topology;
    }
    [[nodiscard]] const Programs &programs() const
    {
        return m_programs;
    }
    TicketDesk &tickets()
    {
        return m_tickets;
    }
    /// Where settings and logs lie while the fleet lives.
    [[nodiscard]] const std::filesystem::path &folder() const
    {
        return m_folder;
    }
    /// Leaves settings and logs behind, for a look at a failure.
    void keepFolder()
    {
        m_keepFolder = true;
    }
    /// Process ids of the running nodes.
    [[nodiscard]] std::vector<pid_t> nodeIds() const;

private:
    [[nodiscard]] std::string logPath(const std::string &name) const;
    std::string writeFile(const std::string &name, const nlohmann::json &content) const;
    [[nodiscard]] std::string zoneLinkAdminUrl() const;
    void startZoneLink();

    Topology m_topology;
    Programs m_programs;
    TicketDesk m_tickets;
    std::filesystem::path m_folder;
    bool m_keepFolder = false;
    std::vector<ChildProcess> m_platform;
    std::vector<std::unique_ptr<ChildProcess>> m_targets;
    std::vector<std::unique_ptr<ChildProcess>> m_nodes;
};

} // namespace jasminemast::harness
