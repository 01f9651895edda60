// The command-line face of the measurements: one JSON object a line on standard output.
#include "measures.h"

#include <curl/curl.h>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_uint32(nodes, 24, "nodes over six zones");
DEFINE_string(profile, "consorzio", "name of a settings example");
DEFINE_string(fault, "none", "convergence: none, kill-tenth, pause-tenth, partition or source-down");
DEFINE_uint32(tickets, 5, "convergence: tickets to publish");
DEFINE_uint32(ticket_bytes, 40'000, "convergence: size of each ticket");
DEFINE_uint32(seconds, 10, "control: length of the quiet stretch");
DEFINE_uint32(calls, 4'000, "calls: calls in each step");
DEFINE_uint64(seed, 1, "seed of the tickets and of the choice of hosts");
DEFINE_string(against, "", "file of earlier lines to compare with");
DEFINE_string(repository, ".", "folder that holds examples/");

namespace
{

using namespace jasminemast::harness;
using nlohmann::json;

json measure(const std::string &kind, const MeasureSettings &settings, Fleet &fleet)
{
    constexpr std::chrono::milliseconds ReadyLimit {60'000};
    constexpr unsigned FirstTicketBytes = 400;
    fleet.startPlatform();
    fleet.tickets().publish(paddedTicket(fleet.topology(), FirstTicketBytes, settings.seed));
    fleet.startNodes();
    if (!fleet.waitReady(ReadyLimit)) {
        throw std::runtime_error("not every node became ready");
    }
    if (kind == "convergence") {
        return measureConvergence(settings, fleet);
    }
    if (kind == "control") {
        return measureControl(settings, fleet);
    }
    if (kind == "calls") {
        return measureCalls(settings, fleet);
    }
    throw std::invalid_argument("unknown measurement " + kind);
}

/// Prints the figures of the latest earlier line of the same run beside the new ones, to standard error.
void compare(const json &line, const std::string &path)
{
    std::ifstream file(path);
    std::string text;
    json earlier;
    while (std::getline(file, text)) {
        const auto candidate = json::parse(text, nullptr, false);
        bool same = candidate.is_object();
        for (const char *key : {"measure", "nodes", "profile", "fault"}) {
            same = same && candidate.contains(key) && candidate.at(key) == line.at(key);
        }
        if (same) {
            earlier = candidate;
        }
    }
    if (earlier.is_null()) {
        std::cerr << "no earlier line of this run in " << path << '\n';
        return;
    }
    const json before = earlier.at("figures").flatten();
    for (const auto &[name, value] : line.at("figures").flatten().items()) {
        std::cerr << name << ": " << before.value(name, json()) << " -> " << value << '\n';
    }
}

int run(const std::string &kind, const char *ownPath)
{
    const MeasureSettings settings {FLAGS_nodes,        FLAGS_profile, FLAGS_fault, FLAGS_tickets,
                                    FLAGS_ticket_bytes, FLAGS_seconds, FLAGS_calls, FLAGS_seed};
    Topology topology = measureTopology(settings, FLAGS_repository);
    const std::size_t zones = topology.zones.size();
    Fleet fleet(std::move(topology), Programs::find(ownPath));
    const json figures = measure(kind, settings, fleet);
    const json line = {{"measure", kind},         {"nodes", fleet.topology().hosts.size()},
                       {"zones", zones},          {"profile", settings.profile},
                       {"fault", settings.fault}, {"seed", settings.seed},
                       {"figures", figures}};
    std::cout << line.dump() << std::endl;
    if (!FLAGS_against.empty()) {
        compare(line, FLAGS_against);
    }
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    const std::string ownPath = argv[0];
    gflags::SetUsageMessage("measure <convergence|control|calls> [flags]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (argc != 2) {
        std::cerr << gflags::ProgramUsage() << '\n';
        return 2;
    }
    curl_global_init(CURL_GLOBAL_DEFAULT);
    endChildrenOnSignals();
    try {
        return run(argv[1], ownPath.c_str());
    } catch (const std::exception &error) {
        std::cerr << "measure: " << error.what() << '\n';
        return 1;
    }
}
