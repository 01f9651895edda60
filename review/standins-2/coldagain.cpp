// A server becomes cold again while it serves. How many requests does it get in one second?
//
//   coldagain ROOT FOLDER RECORD
#include "lab.h"

using namespace lab;

namespace
{

// bibliored-mesh-grown
constexpr double ColdPerSecond = 7.9; // `cold-per-s`
constexpr double ColdOver = 1.5; // `cold-over`
constexpr double ColdSlack = 8; // `cold-slack`
constexpr std::int64_t ColdMs = 3'000; // `cold-start-s`
constexpr unsigned Slots = 9;
constexpr int Servers = 3;
constexpr int Entries = 4;
constexpr double RatePerServer
    = 78; // exportador on a usual day: exports, and look-ups that servers of circulacion make
constexpr int LookupsPerExport = 6;
constexpr std::int64_t LookupWorkMs = 55;
constexpr std::int64_t ExportWorkMs = 180;

} // namespace

int main(int argc, char **argv)
{
    if (argc != 4) {
        return 2;
    }
    try {
        Record record(argv[3]);
        std::vector<Machine> machines;
        for (int i = 0; i < Servers; ++i) {
            machines.push_back({"", "bog-a", "bogota", "exportador"});
        }
        for (int i = 0; i < Entries; ++i) {
            machines.push_back({"", "bog-a", "bogota", "circulacion"});
        }
        Deployment deployment(argv[1], argv[2], machines, {{"bog-a", "bogota"}}, 200, 6);
        const RouteText exports {"r-export", "export.example", "/export/", "download", "exportador", 8000, 2500, 2, 2};
        const RouteText lookups {"r-lookup", "lookup.example", "/lookup/", "idempotent", "exportador", 3000, 200, 1, 2};
        deployment.store->put("op/config",
                              configurationText(7, {exports, lookups}, {"exportador", "circulacion"},
                                                ",\"cold-start-s\":3.0,\"cold-per-s\":7.9"));
        std::vector<std::unique_ptr<Server>> servers;
        std::vector<std::unique_ptr<Process>> processes;
        for (std::size_t i = 0; i < deployment.machines().size(); ++i) {
            const Machine &machine = deployment.machines()[i];
            servers.push_back(
                std::make_unique<Server>(ServerSettings {machine.ip, deployment.ports.app, "i-" + std::to_string(i),
                                                         machine.service, machine.zone, Slots, 36, 1'500, true},
                                         *deployment.store));
            servers.back()->setWork([](const Head &head) {
                return head.first.find("/export/") == std::string::npos ? LookupWorkMs : ExportWorkMs;
            });
            processes.push_back(deployment.startProcess(i));
        }
        for (const Machine &machine : deployment.machines()) {
            if (!waitReady(machine.ip, deployment.ports.ready, 20'000)) {
                return 2;
            }
        }
        std::mutex mutex;
        std::map<std::string, Answer> answers;
        std::atomic<bool> stopping {false};
        std::vector<std::thread> clients;
        constexpr int ClientsPerEntry = 30;
        for (int c = 0; c < Entries * ClientsPerEntry; ++c) {
            clients.emplace_back([&, c] {
                std::mt19937 random(static_cast<unsigned>(c));
                const double perMs = RatePerServer * Servers / (Entries * ClientsPerEntry) / 1000;
                std::exponential_distribution<double> gap(perMs);
                Connection connection(deployment.machines()[static_cast<std::size_t>(Servers + c % Entries)].ip,
                                      deployment.ports.outbound);
                double next = static_cast<double>(nowMs());
                for (int n = 0; !stopping; ++n) {
                    next = std::max(next, static_cast<double>(nowMs()) - 100) + gap(random);
                    sleepMs(static_cast<std::int64_t>(next) - nowMs());
                    if (stopping || !connection.open()) {
                        continue;
                    }
                    const bool isExport = n % (LookupsPerExport + 1) == 0;
                    const RouteText &route = isExport ? exports : lookups;
                    const std::string id = "c" + std::to_string(c) + "-" + std::to_string(n);
                    const Answer answer
                        = connection.request("GET", route.host, route.prefix + id, id, isExport ? 8'000 : 600);
                    const std::lock_guard lock(mutex);
                    answers[id] = answer;
                }
            });
        }
        sleepMs(10'000); // all servers are warm, and no slow start is under way
        Server &server = *servers[0];
        server.awaitReport();
        sleepMs(300);
        const std::int64_t coldAt = nowMs();
        const std::uint64_t questions = server.healthQuestions();
        if (hasTrouble()) {
            server.becomeCold(ColdMs);
            record.line(
                "server i-0 is cold for %lld ms; its health responses say so, and its entry from its next report on",
                static_cast<long long>(ColdMs));
        }
        sleepMs(ColdMs + 1'000);
        stopping = true;
        for (std::thread &client : clients) {
            client.join();
        }
        std::vector<std::int64_t> arrivals;
        for (const auto &each : servers) {
            for (const Run &run : each->runs()) {
                const std::int64_t sentMs = answers[run.id].sentMs;
                record.line("%s sent at %lld ms, reached %s at %lld ms, %s at %lld ms", run.id.c_str(),
                            static_cast<long long>(sentMs), run.server.c_str(), static_cast<long long>(run.arrivedMs),
                            run.end.c_str(), static_cast<long long>(run.endedMs));
                if (run.server == "i-0" && sentMs >= coldAt && run.arrivedMs <= coldAt + ColdMs) {
                    arrivals.push_back(run.arrivedMs);
                }
            }
        }
        std::sort(arrivals.begin(), arrivals.end());
        std::size_t most = 0;
        std::int64_t mostAt = 0;
        for (std::size_t first = 0, last = 0; first < arrivals.size(); ++first) {
            while (last < arrivals.size() && arrivals[last] < arrivals[first] + 1'000) {
                ++last;
            }
            if (last - first > most) {
                most = last - first;
                mostAt = arrivals[first];
            }
        }
        const double bound = ColdPerSecond * ColdOver + ColdSlack;
        const bool isBroken = hasTrouble() && static_cast<double>(most) > bound;
        record.line(
            "most requests in one second at i-0, of those sent and arrived inside it%s: %zu, from %lld ms after it "
            "became cold on; the bound for a cold server is %.2f; health questions meanwhile: %llu",
            hasTrouble() ? "" : " (it did not become cold)", most, static_cast<long long>(mostAt - coldAt), bound,
            static_cast<unsigned long long>(server.healthQuestions() - questions));
        return isBroken ? 1 : 0;
    } catch (const std::exception &error) {
        std::fprintf(stderr, "%s\n", error.what());
        return 2;
    }
}
