// Added time of a call: the same load straight to a target and through the node of another host.
#include "measures.h"

#include <array>

namespace jasminemast::harness
{

using nlohmann::json;
using std::chrono::milliseconds;

namespace
{

constexpr TargetPlan Plan {12, 2};

json runLoad(const Fleet &fleet, const std::string &base, const MeasureSettings &settings, double rate)
{
    constexpr milliseconds Limit {120'000};
    return json::parse(runToEnd({fleet.programs().standin, "load", "--base=" + base, "--get_paths=/listings/anvil",
                                 "--count=" + std::to_string(settings.calls), "--concurrency=64",
                                 "--rate=" + std::to_string(rate), "--seed=" + std::to_string(settings.seed)},
                                Limit));
}

json quantiles(const json &summary)
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
    constexpr std::array<double, 3> Shares = {0.3, 0.6, 0.9};
    constexpr double MillisecondsPerSecond = 1000;
    constexpr milliseconds TicketLimit {10'000};
    const Topology &topology = fleet.topology();
    const std::size_t serving = 1;
    fleet.startTarget(serving, Plan);
    Fleet::waitForPage(topology.targetUrl(topology.hosts[serving]) + "/health", TicketLimit);
    const json endpoint
        = {{"host", topology.hosts[serving].name}, {"port", topology.ports.target()}, {"slots", Plan.slots}};
    const std::uint64_t number = fleet.tickets().publish(
        {{"endpoints", {{"only", endpoint}}},
         {"services", {{"listings", {{"endpoints", {"only"}}}}}},
         {"routes", {{"listings", {{"pathPrefix", "/listings/"}, {"service", "listings"}, {"timeoutMs", 10'000}}}}}});
    if (!fleet.waitForTicket(number, TicketLimit)) {
        throw std::runtime_error("the ticket with the route is not in force everywhere");
    }
    json steps = json::array();
    for (const double share : Shares) {
        const double rate = share * Plan.slots * MillisecondsPerSecond / Plan.serviceMs;
        const json direct = runLoad(fleet, topology.targetUrl(topology.hosts[serving]), settings, rate);
        const double processorBefore = processorSeconds(fleet.nodeIds().at(0));
        const json through = runLoad(fleet, topology.callerUrl(topology.hosts[0]), settings, rate);
        const double processor = processorSeconds(fleet.nodeIds().at(0)) - processorBefore;
        steps.push_back({{"share", share},
                         {"direct", quantiles(direct)},
                         {"throughTwoNodes", quantiles(through)},
                         {"addedP50Ms", through.at("p50Ms").get<double>() - direct.at("p50Ms").get<double>()},
                         {"addedP99Ms", through.at("p99Ms").get<double>() - direct.at("p99Ms").get<double>()},
                         {"entryNodeMicrosecondsPerCall", 1e6 * processor / settings.calls}});
    }
    return {{"steps", steps}};
}

} // namespace jasminemast::harness
