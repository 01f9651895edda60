// Measures the latency that the mesh adds to a call: sends the same load directly to a target and through the node of
// another host.
#include "measures.h"

#include <array>

namespace jasminemast::harness
{

using nlohmann::json;
using std::chrono::milliseconds;

namespace
{

constexpr TargetPlan ServedTarget {12, 2};

json runLoad(const Fleet &fleet, const std::string &base, const MeasureSettings &settings, double rate)
{
    constexpr milliseconds LoadLimit {120'000};
    return json::parse(runToEnd({fleet.programs().standin, "load", "--base=" + base, "--get_paths=/listings/anvil",
                                 "--count=" + std::to_string(settings.calls), "--concurrency=64",
                                 "--rate=" + std::to_string(rate), "--seed=" + std::to_string(settings.seed)},
                                LoadLimit));
}

json latencyFigures(const json &summary)
{
    return {{"p50Ms", summary.at("p50Ms")},
            {"p99Ms", summary.at("p99Ms")},
            {"p999Ms", summary.at("p999Ms")},
            {"whole", summary.at("whole")},
            {"calls", summary.at("calls")}};
}

} // namespace

json measureCalls(const MeasureSettings &settings, Fleet &fleet)
{
    constexpr std::array<double, 3> LoadShares = {0.3, 0.6, 0.9};
    constexpr double MillisecondsPerSecond = 1000;
    constexpr milliseconds TicketLimit {10'000};
    const Topology &topology = fleet.topology();
    const std::size_t servingHost = 1;
    fleet.startTarget(servingHost, ServedTarget);
    Fleet::waitForPage(topology.targetUrl(topology.hosts[servingHost]) + "/health", TicketLimit);
    const json endpoint = {
        {"host", topology.hosts[servingHost].name}, {"port", topology.ports.target()}, {"slots", ServedTarget.slots}};
    const std::uint64_t number = fleet.tickets().publish(
        {{"endpoints", {{"only", endpoint}}},
         {"services", {{"listings", {{"endpoints", {"only"}}}}}},
         {"routes", {{"listings", {{"pathPrefix", "/listings/"}, {"service", "listings"}, {"timeoutMs", 10'000}}}}}});
    if (!fleet.waitForTicket(number, TicketLimit)) {
        throw std::runtime_error("the ticket with the route is not in force on every node in time");
    }
    json steps = json::array();
    for (const double share : LoadShares) {
        const double rate = share * ServedTarget.slots * MillisecondsPerSecond / ServedTarget.serviceMs;
        const json direct = runLoad(fleet, topology.targetUrl(topology.hosts[servingHost]), settings, rate);
        const double cpuBefore = cpuSeconds(fleet.nodeIds().at(0));
        const json viaNodes = runLoad(fleet, topology.callerUrl(topology.hosts[0]), settings, rate);
        const double cpuUsed = cpuSeconds(fleet.nodeIds().at(0)) - cpuBefore;
        steps.push_back({{"share", share},
                         {"direct", latencyFigures(direct)},
                         {"throughTwoNodes", latencyFigures(viaNodes)},
                         {"addedP50Ms", viaNodes.at("p50Ms").get<double>() - direct.at("p50Ms").get<double>()},
                         {"addedP99Ms", viaNodes.at("p99Ms").get<double>() - direct.at("p99Ms").get<double>()},
                         {"entryNodeMicrosecondsPerCall", 1e6 * cpuUsed / settings.calls}});
    }
    return {{"steps", steps}};
}

} // namespace jasminemast::harness
