// Starts the processes of a test fleet, waits for their state and injects faults.
#include "fleet.h"

#include "httpcall.h"

#include <csignal>
#include <fstream>
#include <functional>
#include <sstream>
#include <stdexcept>
#include <stdlib.h>
#include <thread>

namespace jasminemast::harness
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds StartLimit {10'000};
constexpr milliseconds PollInterval {5};
constexpr milliseconds PageTimeout {1'000};
constexpr long StatusOk = 200;

bool waitUntil(const std::function<bool()> &done, milliseconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!done()) {
        if (std::chrono::steady_clock::now() >= end) {
            return false;
        }
        std::this_thread::sleep_for(PollInterval);
    }
    return true;
}

std::filesystem::path makeTemporaryFolder()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "jasminemast-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("cannot create a temporary folder for the fleet");
    }
    return pattern;
}

std::string listenFlag(const std::string &address, std::uint16_t port)
{
    return "--listen=" + address + ":" + std::to_string(port);
}

} // namespace

Programs Programs::find(const std::string &programPath)
{
    std::filesystem::path folder = std::filesystem::canonical(programPath).parent_path();
    while (!std::filesystem::exists(folder / "CMakeCache.txt")) {
        if (folder == folder.parent_path()) {
            throw std::runtime_error(programPath + " is not inside a build folder (no CMakeCache.txt above it)");
        }
        folder = folder.parent_path();
    }
    return {(folder / "tools/jasminemast/jasminemast").string(),
            (folder / "utils/standins/jasminemast-standin").string()};
}

Fleet::Fleet(Topology topology, Programs programs)
    : m_topology(std::move(topology))
    , m_programs(std::move(programs))
    , m_tickets(m_topology.configSourceUrl())
    , m_folder(makeTemporaryFolder())
    , m_targets(m_topology.hosts.size())
    , m_nodes(m_topology.hosts.size())
{
}

Fleet::~Fleet()
{
    // A paused node does not exit by itself, so all processes are killed before the folder is removed.
    m_nodes.clear();
    m_targets.clear();
    m_platform.clear();
    if (!m_keepFolder) {
        std::error_code ignored;
        std::filesystem::remove_all(m_folder, ignored);
    }
}

std::string Fleet::logPath(const std::string &name) const
{
    return (m_folder / (name + ".log")).string();
}

std::string Fleet::writeFile(const std::string &name, const nlohmann::json &content) const
{
    std::string path = (m_folder / name).string();
    std::ofstream file(path);
    file << content.dump(2) << '\n';
    if (!file.flush()) {
        throw std::runtime_error("cannot write " + path);
    }
    return path;
}

void Fleet::startPlatform()
{
    const PortPlan &ports = m_topology.ports;
    m_platform.emplace_back(std::vector<std::string> {m_programs.standin, "config-source",
                                                      listenFlag(Topology::PlatformAddress, ports.configSource())},
                            logPath("config-source"));
    std::vector<std::string> hostList
        = {m_programs.standin, "host-list", listenFlag(Topology::PlatformAddress, ports.hostList()),
           "--file=" + writeFile("hosts.json", m_topology.hostListJson())};
    if (m_topology.throughZoneLink) {
        hostList.push_back("--views=" + writeFile("views.json", m_topology.viewsJson()));
    }
    m_platform.emplace_back(hostList, logPath("host-list"));
    if (m_topology.throughZoneLink) {
        startZoneLink();
    }
    const bool reachable = waitForPage(m_topology.configSourceUrl() + "/admin/stats", StartLimit)
        && waitForPage(m_topology.hostListUrl() + "/admin/stats", StartLimit);
    if (!reachable) {
        throw std::runtime_error("the stand-ins of the platform did not start in time");
    }
}

void Fleet::startTargets(const TargetPlan &plan)
{
    for (std::size_t host = 0; host < m_topology.hosts.size(); ++host) {
        startTarget(host, plan);
    }
    for (const HostPlan &host : m_topology.hosts) {
        if (!waitForPage(m_topology.targetUrl(host) + "/health", StartLimit)) {
            throw std::runtime_error("the target of " + host.name + " did not start in time");
        }
    }
}

void Fleet::startTarget(std::size_t host, const TargetPlan &plan)
{
    const HostPlan &hostPlan = m_topology.hosts[host];
    m_targets[host].reset();
    m_targets[host] = std::make_unique<ChildProcess>(
        std::vector<std::string> {m_programs.standin, "target", listenFlag(hostPlan.address, m_topology.ports.target()),
                                  "--name=" + hostPlan.name, "--slots=" + std::to_string(plan.slots),
                                  "--service_ms=" + std::to_string(plan.serviceMs)},
        logPath("target-" + hostPlan.name));
}

void Fleet::startNodes()
{
    for (std::size_t host = 0; host < m_topology.hosts.size(); ++host) {
        startNode(host);
    }
}

void Fleet::startNode(std::size_t host)
{
    const HostPlan &hostPlan = m_topology.hosts[host];
    const std::string settings = writeFile("node-" + hostPlan.name + ".json", m_topology.settingsJson(hostPlan));
    m_nodes[host].reset();
    m_nodes[host] = std::make_unique<ChildProcess>(
        std::vector<std::string> {m_programs.node, "node", "--settings=" + settings}, logPath("node-" + hostPlan.name));
}

bool Fleet::waitForPage(const std::string &url, milliseconds limit)
{
    return waitUntil([&url] { return httpCall("GET", url, {}, PageTimeout).status == StatusOk; }, limit);
}

bool Fleet::waitUntilReady(milliseconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    for (std::size_t host = 0; host < m_nodes.size(); ++host) {
        if (!isNodeRunning(host)) {
            continue;
        }
        const auto remaining = std::chrono::duration_cast<milliseconds>(end - std::chrono::steady_clock::now());
        const std::string url = m_topology.operatorUrl(m_topology.hosts[host]) + "/v1/ready";
        if (!waitForPage(url, remaining)) {
            return false;
        }
    }
    return true;
}

bool Fleet::waitForTicket(std::uint64_t number, milliseconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    for (std::size_t host = 0; host < m_nodes.size(); ++host) {
        if (!isNodeRunning(host)) {
            continue;
        }
        const auto remaining = std::chrono::duration_cast<milliseconds>(end - std::chrono::steady_clock::now());
        const auto ticketInForce = [&] {
            const auto json = status(host);
            return json && json->value("number", std::uint64_t {0}) >= number;
        };
        if (!waitUntil(ticketInForce, remaining)) {
            return false;
        }
    }
    return true;
}

void Fleet::killNode(std::size_t host)
{
    m_nodes[host].reset();
}

void Fleet::pauseNode(std::size_t host)
{
    if (m_nodes[host]) {
        m_nodes[host]->signal(SIGSTOP);
    }
}

void Fleet::resumeNode(std::size_t host)
{
    if (m_nodes[host]) {
        m_nodes[host]->signal(SIGCONT);
    }
}

std::optional<int> Fleet::terminateNode(std::size_t host, milliseconds limit)
{
    if (!m_nodes[host]) {
        return std::nullopt;
    }
    return m_nodes[host]->terminate(limit);
}

bool Fleet::isNodeRunning(std::size_t host)
{
    return m_nodes[host] && m_nodes[host]->isRunning();
}

std::optional<nlohmann::json> Fleet::status(std::size_t host) const
{
    const std::string url = m_topology.operatorUrl(m_topology.hosts[host]) + "/v1/status";
    const HttpResponse response = httpCall("GET", url, {}, PageTimeout);
    auto json = nlohmann::json::parse(response.body, nullptr, false);
    if (response.status != StatusOk || !json.is_object()) {
        return std::nullopt;
    }
    return json;
}

std::vector<nlohmann::json> Fleet::runLog(std::size_t host) const
{
    const std::string url = m_topology.targetUrl(m_topology.hosts[host]) + "/admin/ledger";
    const HttpResponse response = httpCall("GET", url);
    if (response.status != StatusOk) {
        throw std::runtime_error("no run log from " + url);
    }
    std::vector<nlohmann::json> runs;
    std::istringstream lines(response.body);
    std::string line;
    while (std::getline(lines, line)) {
        runs.push_back(nlohmann::json::parse(line));
    }
    return runs;
}

void Fleet::setTargetFault(std::size_t host, const nlohmann::json &fault) const
{
    postJson(m_topology.targetUrl(m_topology.hosts[host]) + "/admin/fault", fault);
}

void Fleet::setSourceFault(const nlohmann::json &fault) const
{
    postJson(m_topology.configSourceUrl() + "/admin/fault", fault);
}

std::vector<pid_t> Fleet::nodeIds() const
{
    std::vector<pid_t> ids;
    for (const auto &node : m_nodes) {
        if (node) {
            ids.push_back(node->id());
        }
    }
    return ids;
}

std::string Fleet::zoneLinkAdminUrl() const
{
    return "http://" + std::string(Topology::PlatformAddress) + ":" + std::to_string(m_topology.ports.zoneLinkAdmin());
}

void Fleet::startZoneLink()
{
    const PortPlan &ports = m_topology.ports;
    m_platform.emplace_back(
        std::vector<std::string> {m_programs.standin, "zone-link",
                                  listenFlag(Topology::PlatformAddress, ports.zoneLinkAdmin()),
                                  "--zones=" + writeFile("zones.json", m_topology.zoneLinkJson()),
                                  "--platform_region=" + m_topology.storeRegion,
                                  "--zone_delay_us=" + std::to_string(m_topology.zoneDelay.count()),
                                  "--region_delay_us=" + std::to_string(m_topology.regionDelay.count())},
        logPath("zone-link"));
    if (!waitForPage(zoneLinkAdminUrl() + "/admin/bytes", StartLimit)) {
        throw std::runtime_error("the zone link did not start in time");
    }
}

void Fleet::setZonePair(const nlohmann::json &pair) const
{
    postJson(zoneLinkAdminUrl() + "/admin/pair", pair);
}

nlohmann::json Fleet::zoneLinkBytes() const
{
    return getJson(zoneLinkAdminUrl() + "/admin/bytes");
}

} // namespace jasminemast::harness
