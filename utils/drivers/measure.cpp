// Command line of the measurements. Prints one JSON object per run on standard output.
#include "measures.h"

#include <curl/curl.h>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_uint32(nodes, 24, "nodes in the whole fleet, spread over six zones");
DEFINE_string(profile, "consorzio", "name of a settings file in examples/");
DEFINE_string(fault, "none", "convergence: none, kill-tenth, pause-tenth, partition or source-down");
DEFINE_uint32(tickets, 5, "convergence: tickets to publish");
DEFINE_uint32(ticket_bytes, 40'000, "convergence: size of each ticket");
DEFINE_uint32(seconds, 10, "control: length of the measurement, without calls or tickets");
DEFINE_uint32(calls, 4'000, "calls: calls in each step");
DEFINE_uint64(seed, 1, "seed of the tickets' content and of the hosts that a fault affects");
DEFINE_string(against, "", "file with lines of earlier runs to compare with");
DEFINE_string(repository, ".", "folder that contains examples/");

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
    if (!fleet.waitUntilReady(ReadyLimit)) {
        throw std::runtime_error("not every node became ready in time");
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

/// Prints, to standard error, the figures of \p line beside those of the last line in the file \p path that has the
/// same measurement, fleet size, profile and fault.
void printComparison(const json &line, const std::string &path)
{
    std::ifstream file(path);
    std::string rawLine;
    json earlierLine;
    while (std::getline(file, rawLine)) {
        const auto candidate = json::parse(rawLine, nullptr, false);
        bool isSameRun = candidate.is_object();
        for (const char *key : {"measure", "nodes", "profile", "fault"}) {
            isSameRun = isSameRun && candidate.contains(key) && candidate.at(key) == line.at(key);
        }
        if (isSameRun) {
            earlierLine = candidate;
        }
    }
    if (earlierLine.is_null()) {
        std::cerr << "no earlier run with the same parameters in " << path << '\n';
        return;
    }
    const json earlierFigures = earlierLine.at("figures").flatten();
    for (const auto &[name, value] : line.at("figures").flatten().items()) {
        std::cerr << name << ": " << earlierFigures.value(name, json()) << " -> " << value << '\n';
    }
}

int run(const std::string &kind, const char *programPath)
{
    const MeasureSettings settings {FLAGS_nodes,        FLAGS_profile, FLAGS_fault, FLAGS_tickets,
                                    FLAGS_ticket_bytes, FLAGS_seconds, FLAGS_calls, FLAGS_seed};
    Topology topology = measureTopology(settings, FLAGS_repository);
    const std::size_t zones = topology.zones.size();
    Fleet fleet(std::move(topology), Programs::find(programPath));
    const json figures = measure(kind, settings, fleet);
    const json line = {{"measure", kind},         {"nodes", fleet.topology().hosts.size()},
                       {"zones", zones},          {"profile", settings.profile},
                       {"fault", settings.fault}, {"seed", settings.seed},
                       {"figures", figures}};
    std::cout << line.dump() << std::endl;
    if (!FLAGS_against.empty()) {
        printComparison(line, FLAGS_against);
    }
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    const std::string programPath = argv[0];
    gflags::SetUsageMessage("measure <convergence|control|calls> [flags]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (argc != 2) {
        std::cerr << gflags::ProgramUsage() << '\n';
        return 2;
    }
    curl_global_init(CURL_GLOBAL_DEFAULT);
    killChildrenOnSignals();
    try {
        return run(argv[1], programPath.c_str());
    } catch (const std::exception &error) {
        std::cerr << "measure: " << error.what() << '\n';
        return 1;
    }
}
