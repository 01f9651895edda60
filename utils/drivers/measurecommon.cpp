// Shared by the measurements: topology, ticket content, and CPU time and memory of processes.
#include "measures.h"

#include <fstream>
#include <random>
#include <sstream>
#include <unistd.h>

namespace jasminemast::harness
{

namespace
{

constexpr unsigned Regions = 3;
constexpr unsigned ZonesPerRegion = 2;
constexpr unsigned MinHostsPerZone = 2; ///< two, so that nodes of one zone can call each other
constexpr std::uint16_t PortBase = 21'000;

} // namespace

Topology measureTopology(const MeasureSettings &settings, const std::string &repository)
{
    const unsigned zones = Regions * ZonesPerRegion;
    Topology topology
        = Topology::make(Regions, ZonesPerRegion, std::max(MinHostsPerZone, settings.nodes / zones), PortBase);
    topology.throughZoneLink = true;
    std::ifstream file(repository + "/examples/" + settings.profile + ".json");
    const auto example = nlohmann::json::parse(file, nullptr, false);
    if (!example.is_object()) {
        throw std::runtime_error("no settings example for profile " + settings.profile);
    }
    if (example.contains("control")) {
        topology.extraSettings["control"] = example.at("control");
    }
    return topology;
}

nlohmann::json paddedTicket(const Topology &topology, unsigned bytes, std::uint64_t seed)
{
    constexpr unsigned BytesPerEndpoint = 80;
    constexpr unsigned MaxSlots = 100;
    std::mt19937_64 random(seed);
    nlohmann::json endpoints = nlohmann::json::object();
    for (unsigned index = 0; index < bytes / BytesPerEndpoint; ++index) {
        const HostPlan &host = topology.hosts[random() % topology.hosts.size()];
        endpoints["endpoint-" + std::to_string(index)]
            = {{"host", host.name}, {"port", 1 + random() % 60'000}, {"slots", 1 + random() % MaxSlots}};
    }
    return {{"endpoints", endpoints}};
}

double cpuSeconds(pid_t id)
{
    constexpr int FieldsBeforeUserTime = 11; // fields of /proc/PID/stat between the name in parentheses and utime
    std::ifstream file("/proc/" + std::to_string(id) + "/stat");
    std::string line;
    std::getline(file, line);
    std::istringstream fields(line.substr(line.rfind(')') + 1));
    std::string skipped;
    for (int field = 0; field < FieldsBeforeUserTime; ++field) {
        fields >> skipped;
    }
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

std::uint64_t loopbackBytes()
{
    std::ifstream file("/proc/net/dev");
    std::string line;
    while (std::getline(file, line)) {
        std::istringstream fields(line);
        std::string name;
        std::uint64_t received = 0;
        fields >> name >> received;
        if (name == "lo:") {
            return received;
        }
    }
    throw std::runtime_error("/proc/net/dev has no counters of the loopback interface");
}

std::uint64_t residentBytes(pid_t id)
{
    std::ifstream file("/proc/" + std::to_string(id) + "/statm");
    std::uint64_t total = 0;
    std::uint64_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

} // namespace jasminemast::harness
