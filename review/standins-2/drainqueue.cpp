// A server that has become slow reports `draining`: do requests that wait for it still reach it after drain-ms?
//
//   drainqueue ROOT FOLDER RECORD
#include "lab.h"

using namespace lab;

namespace
{

// bibliored-mesh-grown
constexpr std::int64_t DrainMs = 3'000;
constexpr std::int64_t ServesMs = 7'000; // drain-ms "and a little longer (at times many seconds)"
constexpr std::int64_t DeadlineMs = 8'000; // catalogue-export
constexpr int AimMs = 2'500;
constexpr std::int64_t WorkMs = 180;
constexpr unsigned Slots = 9;
constexpr int Entries = 10; ///< machines on which clients run
constexpr std::int64_t SlowFactor = 12; // srv_slow: share 0.4, x 12, 9 s
constexpr std::int64_t SlowForMs = 9'000;
constexpr int Exporters = 4; ///< one of them is slow and leaves: share 0.25 (srv_slow: 0.4, scale_in: 0.25)
constexpr double RatePerServer = 73.5 / 6;
constexpr double BurstFactor = 2.6; // burst: class catalogue-export, x 2.6, 6 s
constexpr std::int64_t BurstForMs = 6'000;

} // namespace

int main(int argc, char **argv)
{
    if (argc != 4) {
        return 2;
    }
    try {
        Record record(argv[3]);
        const bool trouble = hasTrouble();
        std::vector<Machine> machines;
        for (int i = 0; i < Exporters; ++i) {
            machines.push_back({"", "bog-a", "bogota", "exportador"});
        }
        for (int i = 0; i < Entries; ++i) {
            machines.push_back({"", "bog-a", "bogota", "opac"});
        }
        Deployment deployment(argv[1], argv[2], machines, {{"bog-a", "bogota"}}, 200, 6);
        deployment.store->put("op/config",
                              configurationText(7,
                                                {{"r-export", "export.example", "/export/", "download", "exportador",
                                                  static_cast<int>(DeadlineMs), AimMs, 2, 2}},
                                                {"exportador", "opac"}));
        std::vector<std::unique_ptr<Server>> servers;
        std::vector<std::unique_ptr<Process>> processes;
        for (std::size_t i = 0; i < deployment.machines().size(); ++i) {
            const Machine &machine = deployment.machines()[i];
            servers.push_back(
                std::make_unique<Server>(ServerSettings {machine.ip, deployment.ports.app, "i-" + std::to_string(i),
                                                         machine.service, machine.zone, Slots, 36, 20'000, true},
                                         *deployment.store));
            servers.back()->setWork([](const Head &) { return WorkMs; });
            processes.push_back(deployment.startProcess(i));
        }
        for (const Machine &machine : deployment.machines()) {
            if (!waitReady(machine.ip, deployment.ports.ready, 20'000)) {
                return 2;
            }
        }
        std::mutex mutex;
        std::map<std::string, Answer> answers;
        std::vector<std::thread> requests;
        const std::int64_t slowAt = nowMs() + 8'000;
        const std::int64_t drainAt = slowAt + 1000;
        const std::int64_t endAt = slowAt + SlowForMs + 2'000;
        std::int64_t acknowledgedMs = 0;
        std::thread events([&] {
            sleepMs(slowAt - nowMs());
            if (trouble) {
                record.line("server i-0 becomes slow: its work takes %lld times as long",
                            static_cast<long long>(SlowFactor));
                servers[0]->setWork([](const Head &) { return WorkMs * SlowFactor; });
            }
            sleepMs(drainAt - nowMs());
            servers[0]->drain();
            acknowledgedMs = nowMs();
            record.line("the store has accepted that server i-0 is draining");
            sleepMs(acknowledgedMs + ServesMs - nowMs());
            record.line("server i-0 exits");
            servers[0]->exit();
        });
        const double perMs = RatePerServer * Exporters / 1000;
        const std::int64_t burstAt = slowAt - 1'000;
        std::mt19937 random(1);
        std::exponential_distribution<double> gap(perMs);
        double next = static_cast<double>(nowMs());
        for (int n = 0; nowMs() < endAt; ++n) {
            const bool isBurst = trouble && nowMs() >= burstAt && nowMs() < burstAt + BurstForMs;
            next += gap(random) / (isBurst ? BurstFactor : 1);
            sleepMs(static_cast<std::int64_t>(next) - nowMs());
            requests.emplace_back([&, n] {
                const std::string id = "r" + std::to_string(n);
                Connection connection(deployment.machines()[static_cast<std::size_t>(Exporters + n % Entries)].ip,
                                      deployment.ports.outbound);
                if (!connection.open()) {
                    return;
                }
                const Answer answer = connection.request("GET", "export.example", "/export/" + id, id, DeadlineMs);
                const std::lock_guard lock(mutex);
                answers[id] = answer;
            });
        }
        for (std::thread &request : requests) {
            request.join();
        }
        events.join();
        int late = 0;
        for (const auto &server : servers) {
            for (const Run &run : server->runs()) {
                const bool isLate = run.server == "i-0" && run.arrivedMs > acknowledgedMs + DrainMs;
                late += isLate ? 1 : 0;
                record.line("%s%s sent at %lld ms, reached %s at %lld ms, %s at %lld ms", isLate ? "DRAIN " : "",
                            run.id.c_str(), static_cast<long long>(answers[run.id].sentMs), run.server.c_str(),
                            static_cast<long long>(run.arrivedMs), run.end.c_str(),
                            static_cast<long long>(run.endedMs));
            }
        }
        std::map<int, int> statuses;
        for (const auto &[id, answer] : answers) {
            ++statuses[answer.status];
        }
        for (const auto &[status, count] : statuses) {
            record.line("status %d: %d", status, count);
        }
        record.line("requests that reached the draining server later than %lld ms after the acknowledgement: %d",
                    static_cast<long long>(DrainMs), late);
        return late > 0 ? 1 : 0;
    } catch (const std::exception &error) {
        std::fprintf(stderr, "%s\n", error.what());
        return 2;
    }
}
