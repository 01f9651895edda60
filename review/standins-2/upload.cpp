// A client sends one body as large as the configuration allows; the platform ends a process that exceeds memory-mb.
//
//   upload ROOT FOLDER RECORD
#include "lab.h"

using namespace lab;

namespace
{

constexpr double MemoryMb = 110; // hvf-mesh, each machine
constexpr long MaxBodyBytes = 67'108'864; // `max-body-bytes`, as on the pages
constexpr std::size_t UsualBodyBytes = 4'000; // hvf-mesh, mean of solder-booking

/// Resident memory of a process, in bytes.
long residentBytes(pid_t pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
    long total = 0;
    long resident = 0;
    file >> total >> resident;
    return resident * ::sysconf(_SC_PAGESIZE);
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 4) {
        return 2;
    }
    try {
        const std::string root = argv[1];
        Record record(argv[3]);
        const bool trouble = hasTrouble();
        Deployment deployment(root, argv[2],
                              {{"", "jy-aarhus", "jylland", "statusbord"},
                               {"", "jy-aarhus", "jylland", "bookingbaenk"},
                               {"", "jy-aalborg", "jylland", "bookingbaenk"}},
                              {{"jy-aarhus", "jylland"}, {"jy-aalborg", "jylland"}}, 1000, 6);
        deployment.store->put("op/config",
                              configurationText(7,
                                                {{"r-booking", "booking.example", "/book/", "non_idempotent",
                                                  "bookingbaenk", 3000, 800, 1, 2}},
                                                {"statusbord", "bookingbaenk"}));
        std::vector<std::unique_ptr<Server>> servers;
        std::vector<std::unique_ptr<Process>> processes;
        for (std::size_t i = 0; i < deployment.machines().size(); ++i) {
            const Machine &machine = deployment.machines()[i];
            servers.push_back(std::make_unique<Server>(
                ServerSettings {machine.ip, deployment.ports.app, "i-" + std::to_string(i), machine.service, machine.zone, 18},
                *deployment.store));
            servers.back()->setWork([](const Head &) { return 290; });
            processes.push_back(deployment.startProcess(i));
        }
        for (const Machine &machine : deployment.machines()) {
            if (!waitReady(machine.ip, deployment.ports.ready, 20'000)) {
                record.line("a process is not ready");
                return 2;
            }
        }
        std::atomic<bool> stopping {false};
        std::atomic<bool> platformStopping {false};
        std::atomic<int> ownEnds {0};
        std::vector<long> peak(processes.size(), 0);
        // The platform: a process that exceeds memory-mb is killed, and started again after a short delay.
        std::thread platform([&] {
            while (!platformStopping) {
                for (std::size_t i = 0; i < processes.size(); ++i) {
                    const long bytes = residentBytes(processes[i]->pid());
                    peak[i] = std::max(peak[i], bytes);
                    const bool exceeds = static_cast<double>(bytes) > MemoryMb * 1024 * 1024;
                    if (exceeds) {
                        processes[i]->kill(SIGKILL);
                    }
                    if (exceeds || processes[i]->hasEnded()) {
                        ++ownEnds;
                        record.line("process of %s ended: %ld MB resident, the limit is %.0f MB",
                                    deployment.machines()[i].ip.c_str(), bytes >> 20, MemoryMb);
                        processes[i]->wait();
                        sleepMs(500);
                        processes[i]->start();
                    }
                }
                sleepMs(2);
            }
        });
        const Machine &entry = deployment.machines()[0];
        std::mutex mutex;
        std::map<std::string, Answer> answers;
        const auto book = [&](Connection &connection, const std::string &id, const std::string &body) {
            if (!connection.open()) {
                sleepMs(50);
                return;
            }
            const Answer answer = connection.request("POST", "booking.example", "/book/" + id, id, 3000, body);
            record.line("%s  %zu bytes sent at %lld ms: status %d, %s%s", id.c_str(), body.size(),
                        static_cast<long long>(answer.sentMs), answer.status, nameOf(answer.end),
                        answer.sealed ? ", sealed" : "");
            const std::lock_guard lock(mutex);
            answers[id] = answer;
        };
        std::vector<std::thread> clients;
        for (int c = 0; c < 20; ++c) {
            clients.emplace_back([&, c] {
                Connection connection(entry.ip, deployment.ports.outbound);
                for (int n = 0; !stopping; ++n) {
                    book(connection, "c" + std::to_string(c) + "-" + std::to_string(n), std::string(UsualBodyBytes, 'b'));
                    sleepMs(100 + 10 * c);
                }
            });
        }
        sleepMs(3'000);
        Connection upload(entry.ip, deployment.ports.outbound);
        record.line("one client sends a body of %ld bytes", trouble ? MaxBodyBytes : static_cast<long>(UsualBodyBytes));
        book(upload, "large", std::string(trouble ? MaxBodyBytes : static_cast<long>(UsualBodyBytes), 'B'));
        sleepMs(3'000);
        stopping = true;
        for (std::thread &client : clients) {
            client.join();
        }
        platformStopping = true;
        platform.join();
        std::map<std::string, Run> runs;
        for (const auto &server : servers) {
            for (const Run &run : server->runs()) {
                record.line("%s  reached %s at %lld ms, %s", run.id.c_str(), run.server.c_str(),
                            static_cast<long long>(run.arrivedMs), run.end.c_str());
                runs[run.id] = run;
            }
        }
        int lost = 0;
        for (const auto &[id, answer] : answers) {
            const bool closed = answer.status == 0 && (answer.end == ReadEnd::Closed || answer.end == ReadEnd::Reset);
            if (closed && runs.contains(id)) {
                ++lost;
                record.line("LOST %s: passed on to %s (%s), and its connection ended without an answer", id.c_str(),
                            runs[id].server.c_str(), runs[id].end.c_str());
            }
        }
        for (std::size_t i = 0; i < peak.size(); ++i) {
            record.line("process %zu: at most %ld MB resident", i, peak[i] >> 20);
        }
        record.line("processes that ended by themselves: %d; requests passed on and closed without an answer: %d",
                    ownEnds.load(), lost);
        servers.clear();
        return lost > 3 ? 1 : 0;
    } catch (const std::exception &error) {
        std::fprintf(stderr, "%s\n", error.what());
        return 2;
    }
}
