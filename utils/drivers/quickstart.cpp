// Starts a small fleet, publishes two tickets, makes calls through the mesh and checks that every call got its
// complete response, no POST was executed twice and every node applied the last ticket.
#include "harness/callaudit.h"
#include "harness/fleet.h"

#include <curl/curl.h>
#include <iostream>

namespace
{

using namespace jasminemast::harness;
using nlohmann::json;
using std::chrono::milliseconds;

constexpr unsigned Regions = 2;
constexpr unsigned ZonesPerRegion = 2;
constexpr unsigned HostsPerZone = 2;
constexpr std::uint16_t PortBase = 7000;
constexpr milliseconds ReadyLimit {20'000};
constexpr milliseconds TicketLimit {6'000};
constexpr milliseconds LoadLimit {60'000};

void printHeading(const std::string &text)
{
    std::cout << "== " << text << std::endl;
}

json endpointsOnHosts(const Topology &topology)
{
    json endpoints = json::object();
    for (const HostPlan &host : topology.hosts) {
        endpoints["on-" + host.name] = {{"host", host.name}, {"port", topology.ports.target()}, {"slots", 12}};
    }
    return endpoints;
}

json keysOf(const json &object)
{
    json names = json::array();
    for (const auto &item : object.items()) {
        names.push_back(item.key());
    }
    return names;
}

/// The services listings and reservations, with an endpoint on every host.
json firstTicket(const Topology &topology)
{
    const json endpoints = endpointsOnHosts(topology);
    const json service = {{"endpoints", keysOf(endpoints)}};
    return {{"endpoints", endpoints},
            {"services", {{"listings", service}, {"reservations", service}}},
            {"routes",
             {{"listings", {{"pathPrefix", "/listings/"}, {"service", "listings"}, {"timeoutMs", 10'000}}},
              {"reservations",
               {{"pathPrefix", "/reservations/"},
                {"service", "reservations"},
                {"repeatable", false},
                {"timeoutMs", 10'000}}}}}};
}

/// Adds the service catalogue with endpoints in the last zone only, so that most of its calls cross zones.
json secondTicket(const Topology &topology)
{
    json endpoints = json::array();
    for (const HostPlan &host : topology.hosts) {
        if (host.zone + 1 == topology.zones.size()) {
            endpoints.push_back("on-" + host.name);
        }
    }
    return {
        {"services", {{"catalogue", {{"endpoints", endpoints}}}}},
        {"routes", {{"catalogue", {{"pathPrefix", "/catalogue/"}, {"service", "catalogue"}, {"timeoutMs", 60'000}}}}}};
}

/// Runs the load generator once and returns its record of each call.
std::vector<json> runLoadGenerator(const Fleet &fleet, const std::string &name, std::vector<std::string> flags)
{
    const std::string record = (fleet.folder() / (name + ".jsonl")).string();
    std::vector<std::string> arguments
        = {fleet.programs().standin, "load", "--id_prefix=" + name, "--record=" + record};
    arguments.insert(arguments.end(), flags.begin(), flags.end());
    std::cout << name << ": " << runToEnd(arguments, LoadLimit);
    return readJsonLines(record);
}

std::string callerBaseUrls(const Topology &topology)
{
    std::string baseUrls;
    for (const HostPlan &host : topology.hosts) {
        baseUrls += (baseUrls.empty() ? "" : ",") + topology.callerUrl(host);
    }
    return baseUrls;
}

std::vector<json> makeCalls(const Fleet &fleet)
{
    const std::string baseUrls = "--base=" + callerBaseUrls(fleet.topology());
    std::vector<json> records
        = runLoadGenerator(fleet, "calls",
                           {baseUrls, "--get_paths=/listings/anvils,/listings/swage-blocks,/catalogue/sheet",
                            "--post_paths=/reservations/anvil", "--post_share=0.4", "--count=400", "--concurrency=8"});
    const std::string firstNode = "--base=" + fleet.topology().callerUrl(fleet.topology().hosts.front());
    const std::vector<json> largeDownload = runLoadGenerator(
        fleet, "drawing", {firstNode, "--get_paths=/catalogue/blob?bytes=20971520&seed=7&chunkDelayMs=5", "--count=1"});
    records.insert(records.end(), largeDownload.begin(), largeDownload.end());
    return records;
}

void printNodeReports(const Fleet &fleet)
{
    const std::string node
        = fleet.topology().hosts.front().address + ":" + std::to_string(fleet.topology().ports.operators());
    constexpr milliseconds CommandLimit {10'000};
    printHeading("logbook of one node");
    std::cout << runToEnd({fleet.programs().node, "logbook", "--node=" + node}, CommandLimit);
    printHeading("fleet as that node knows it");
    std::cout << runToEnd({fleet.programs().node, "status", "--fleet", "--node=" + node}, CommandLimit);
}

std::vector<json> collectRunLogs(const Fleet &fleet)
{
    std::vector<json> runs;
    for (std::size_t host = 0; host < fleet.topology().hosts.size(); ++host) {
        const std::vector<json> hostRuns = fleet.runLog(host);
        runs.insert(runs.end(), hostRuns.begin(), hostRuns.end());
    }
    return runs;
}

/// Number of nodes whose status reports ticket \p number with the digest of the ticket as published.
std::size_t countNodesWithTicket(Fleet &fleet, std::uint64_t number)
{
    std::size_t nodesWithTicket = 0;
    for (std::size_t host = 0; host < fleet.topology().hosts.size(); ++host) {
        const auto status = fleet.status(host);
        const bool matches = status && status->at("number") == number
            && status->at("ticketDigest") == fleet.tickets().digestOf(number).hex();
        nodesWithTicket += matches ? 1 : 0;
    }
    return nodesWithTicket;
}

void throwUnless(bool condition, const std::string &message)
{
    if (!condition) {
        throw std::runtime_error(message);
    }
}

void printIds(const char *title, const std::vector<std::string> &ids)
{
    for (const std::string &id : ids) {
        std::cout << title << ": " << id << '\n';
    }
}

bool runFleet(Fleet &fleet)
{
    printHeading("starting the platform, the targets and the nodes");
    fleet.startPlatform();
    fleet.startTargets({});
    fleet.tickets().publish(firstTicket(fleet.topology()));
    fleet.startNodes();
    throwUnless(fleet.waitUntilReady(ReadyLimit), "not every node became ready in time");
    throwUnless(fleet.waitForTicket(1, TicketLimit), "ticket 1 is not in force on every node in time");
    printHeading("ticket 1 is in force; publishing ticket 2");
    const std::uint64_t lastTicket = fleet.tickets().publish(secondTicket(fleet.topology()));
    throwUnless(fleet.waitForTicket(lastTicket, TicketLimit), "ticket 2 is not in force on every node in time");

    printHeading("calls through the mesh");
    const std::vector<json> records = makeCalls(fleet);
    const CallAudit audit = auditCalls(records, collectRunLogs(fleet));
    printNodeReports(fleet);
    printIds("lost", audit.lost);
    printIds("doubled", audit.duplicated);
    printIds("falsely not run", audit.falseNotRun);
    printIds("wrong", audit.wrong);

    const std::size_t nodes = fleet.topology().hosts.size();
    const std::size_t nodesWithTicket = countNodesWithTicket(fleet, lastTicket);
    std::cout << audit.calls << " calls, " << audit.complete << " whole answers, " << audit.lost.size() << " lost, "
              << audit.duplicated.size() << " doubled, ticket " << lastTicket << " in force on " << nodesWithTicket
              << " of " << nodes << " nodes" << std::endl;
    return audit.isClean() && audit.complete == audit.calls && nodesWithTicket == nodes;
}

int runQuickstart(const char *programPath)
{
    Topology topology = Topology::make(Regions, ZonesPerRegion, HostsPerZone, PortBase);
    topology.throughZoneLink = true;
    Fleet fleet(std::move(topology), Programs::find(programPath));
    try {
        if (runFleet(fleet)) {
            return 0;
        }
    } catch (const std::exception &error) {
        std::cerr << "quickstart: " << error.what() << '\n';
    }
    fleet.keepFolder();
    std::cerr << "quickstart: failed; logs are in " << fleet.folder().string() << '\n';
    return 1;
}

} // namespace

int main(int, char **argv)
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
    killChildrenOnSignals();
    try {
        return runQuickstart(argv[0]);
    } catch (const std::exception &error) {
        std::cerr << "quickstart: " << error.what() << '\n';
        return 1;
    }
}
