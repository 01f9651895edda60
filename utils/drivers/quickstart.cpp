// The quickstart: a small fleet, two tickets, calls through the mesh, and the verdict on all of it.
#include "harness/fleet.h"
#include "harness/judge.h"

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

void say(const std::string &text)
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

json namesOf(const json &object)
{
    json names = json::array();
    for (const auto &item : object.items()) {
        names.push_back(item.key());
    }
    return names;
}

/// Listings and reservations on every host.
json firstTicket(const Topology &topology)
{
    const json endpoints = endpointsOnHosts(topology);
    const json service = {{"endpoints", namesOf(endpoints)}};
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

/// Adds the catalogue, served in the last zone only, so that its calls cross zones.
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

/// One run of the caller; returns its records.
std::vector<json> callThrough(const Fleet &fleet, const std::string &name, std::vector<std::string> flags)
{
    const std::string record = (fleet.folder() / (name + ".jsonl")).string();
    std::vector<std::string> arguments
        = {fleet.programs().standin, "load", "--id_prefix=" + name, "--record=" + record};
    arguments.insert(arguments.end(), flags.begin(), flags.end());
    std::cout << name << ": " << runToEnd(arguments, LoadLimit);
    return readJsonLines(record);
}

std::string callerBases(const Topology &topology)
{
    std::string bases;
    for (const HostPlan &host : topology.hosts) {
        bases += (bases.empty() ? "" : ",") + topology.callerUrl(host);
    }
    return bases;
}

std::vector<json> makeCalls(const Fleet &fleet)
{
    const std::string bases = "--base=" + callerBases(fleet.topology());
    std::vector<json> records
        = callThrough(fleet, "calls",
                      {bases, "--get_paths=/listings/anvils,/listings/swage-blocks,/catalogue/sheet",
                       "--post_paths=/reservations/anvil", "--post_share=0.4", "--count=400", "--concurrency=8"});
    const std::string first = "--base=" + fleet.topology().callerUrl(fleet.topology().hosts.front());
    const std::vector<json> slow = callThrough(
        fleet, "drawing", {first, "--get_paths=/catalogue/blob?bytes=20971520&seed=7&chunkDelayMs=5", "--count=1"});
    records.insert(records.end(), slow.begin(), slow.end());
    return records;
}

void showReadBack(const Fleet &fleet)
{
    const std::string node
        = fleet.topology().hosts.front().address + ":" + std::to_string(fleet.topology().ports.operators());
    constexpr milliseconds CommandLimit {10'000};
    say("logbook of one node");
    std::cout << runToEnd({fleet.programs().node, "logbook", "--node=" + node}, CommandLimit);
    say("fleet as that node knows it");
    std::cout << runToEnd({fleet.programs().node, "status", "--fleet", "--node=" + node}, CommandLimit);
}

std::vector<json> allRuns(const Fleet &fleet)
{
    std::vector<json> runs;
    for (std::size_t host = 0; host < fleet.topology().hosts.size(); ++host) {
        const std::vector<json> ofHost = fleet.ledger(host);
        runs.insert(runs.end(), ofHost.begin(), ofHost.end());
    }
    return runs;
}

/// Nodes whose own status names ticket \p number with the digest that was filed.
std::size_t countInForce(Fleet &fleet, std::uint64_t number)
{
    std::size_t inForce = 0;
    for (std::size_t host = 0; host < fleet.topology().hosts.size(); ++host) {
        const auto status = fleet.status(host);
        const bool same = status && status->at("number") == number
            && status->at("ticketDigest") == fleet.tickets().digestOf(number).hex();
        inForce += same ? 1 : 0;
    }
    return inForce;
}

void require(bool condition, const std::string &complaint)
{
    if (!condition) {
        throw std::runtime_error(complaint);
    }
}

void listIds(const char *title, const std::vector<std::string> &ids)
{
    for (const std::string &id : ids) {
        std::cout << title << ": " << id << '\n';
    }
}

bool runTrial(Fleet &fleet)
{
    say("starting the platform, the targets and the nodes");
    fleet.startPlatform();
    fleet.startTargets({});
    fleet.tickets().publish(firstTicket(fleet.topology()));
    fleet.startNodes();
    require(fleet.waitReady(ReadyLimit), "not every node became ready");
    require(fleet.waitForTicket(1, TicketLimit), "ticket 1 is not in force everywhere");
    say("ticket 1 is in force; publishing ticket 2");
    const std::uint64_t last = fleet.tickets().publish(secondTicket(fleet.topology()));
    require(fleet.waitForTicket(last, TicketLimit), "ticket 2 is not in force everywhere");

    say("calls through the mesh");
    const std::vector<json> records = makeCalls(fleet);
    const Judgement judgement = judgeCalls(records, allRuns(fleet));
    showReadBack(fleet);
    listIds("lost", judgement.lost);
    listIds("doubled", judgement.doubled);
    listIds("falsely not run", judgement.falseNotRun);
    listIds("wrong", judgement.wrong);

    const std::size_t nodes = fleet.topology().hosts.size();
    const std::size_t inForce = countInForce(fleet, last);
    std::cout << judgement.calls << " calls, " << judgement.whole << " whole answers, " << judgement.lost.size()
              << " lost, " << judgement.doubled.size() << " doubled, ticket " << last << " in force on " << inForce
              << " of " << nodes << " nodes" << std::endl;
    return judgement.isClean() && judgement.whole == judgement.calls && inForce == nodes;
}

int runQuickstart(const char *ownPath)
{
    Topology topology = Topology::make(Regions, ZonesPerRegion, HostsPerZone, PortBase);
    topology.throughZoneLink = true;
    Fleet fleet(std::move(topology), Programs::find(ownPath));
    try {
        if (runTrial(fleet)) {
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
    endChildrenOnSignals();
    try {
        return runQuickstart(argv[0]);
    } catch (const std::exception &error) {
        std::cerr << "quickstart: " << error.what() << '\n';
        return 1;
    }
}
