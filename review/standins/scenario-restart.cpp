// A server starts while the clock of its machine is ahead, and starts again under its id after the clock has been set
// back. Later it leaves as planned.
#include "standins.h"

#include <cstdlib>
#include <iostream>
#include <memory>

using namespace review;

namespace
{

constexpr std::int64_t StepMs = 2'400; // clock_step, x = 2400
constexpr double DrainMs = 2'500;
constexpr double ServesLongerMs = 3'000; // "and a little longer (at times many seconds)"
constexpr double WorkMs = 40;
constexpr int Others = 7; // one server of eight crashes, the clock of one machine of nine steps

std::int64_t trueTime()
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 4) {
        return 2;
    }
    const std::string root = argv[1];
    const std::string folder = argv[2];
    const bool isTrouble = std::getenv("TROUBLE") == nullptr || std::string(std::getenv("TROUBLE")) != "0";
    const std::int64_t step = isTrouble ? StepMs : 0;
    Record record(argv[3]);
    try {
        const std::string network = freeNetwork();
        const std::string ipStore = network + "1", ipA = network + "2", ipB = network + "3";
        const Address storeAddress {ipStore, freePorts(ipStore, 1)[0]};
        const std::vector<int> ports = freePorts(ipA, 4); // the same on all machines
        const std::map<std::string, std::string> zones = {{"jy-aarhus", "jylland"}};
        const std::string service = "bookingbaenk";
        Store store(storeAddress, record);
        Node a(root, folder, ipA, "jy-aarhus", "statusbord", ports, storeAddress, zones, record);
        Node b(root, folder, ipB, "jy-aarhus", service, ports, storeAddress, zones, record);
        std::vector<std::unique_ptr<Node>> others;
        for (int i = 0; i < Others; ++i) {
            others.push_back(std::make_unique<Node>(root, folder, network + std::to_string(4 + i), "jy-aarhus", service,
                                                    ports, storeAddress, zones, record));
        }
        const auto put
            = [&](const Node &node, const std::string &id, const std::string &state, int seq, std::int64_t born) {
                  store.put("servers/" + id, serverEntry(node.app(), service, node.zone(), state, seq, born));
              };
        store.put("op/config",
                  configuration(1, {{"r-1", "bench.example", "/solder/", "non_idempotent", service, 1'500}},
                                {"statusbord", service}));
        std::vector<std::unique_ptr<Server>> otherServers;
        for (int i = 0; i < Others; ++i) {
            const std::string id = "i-other-" + std::to_string(i);
            otherServers.push_back(std::make_unique<Server>(others[i]->app(), id, WorkMs, record));
            put(*others[i], id, "ready", 1, trueTime() - 60'000);
        }
        a.start();
        b.start();
        for (const auto &node : others) {
            node->start();
        }
        a.waitUntilReady();
        b.waitUntilReady();
        for (const auto &node : others) {
            node->waitUntilReady();
        }

        std::atomic<bool> stop {false};
        std::vector<std::thread> clients;
        for (int i = 0; i < 24; ++i) {
            clients.emplace_back([&, i] {
                std::unique_ptr<Connection> connection;
                for (int n = 0; !stop; ++n) {
                    if (!connection) {
                        connection = Connection::open(a.outbound(), 4'000);
                    }
                    if (!connection) {
                        sleepMs(100);
                        continue;
                    }
                    const std::string id = "booking-" + std::to_string(i) + "-" + std::to_string(n);
                    const Answer answer = call(*connection, "POST", "bench.example", "/solder/job", id, 3'000, "job");
                    record.add("client gets " + std::to_string(answer.status) + " to " + id);
                    if (answer.status == 0 || answer.closes) {
                        connection.reset();
                    }
                    sleepMs(30);
                }
            });
        }

        // The clock of B's machine is ahead: the server starts.
        auto first = std::make_unique<Server>(b.app(), "i-restarted", WorkMs, record);
        int seq = 0;
        put(b, "i-restarted", "ready", ++seq, trueTime() + step);
        record.add("server i-restarted starts" + std::string(isTrouble ? "; the clock is ahead by 2400 ms" : ""));
        sleepMs(700);
        // The clock jumps back. The server crashes and starts again under its id; its counts start anew.
        record.add("server i-restarted crashes" + std::string(isTrouble ? "; the clock has jumped back" : ""));
        first->end();
        sleepMs(600);
        Server second(b.app(), "i-restarted", WorkMs, record);
        const std::int64_t born = trueTime();
        seq = 0;
        put(b, "i-restarted", "ready", ++seq, born);
        // All machines are calm for longer than stable-window-ms.
        sleepMs(10'000);
        const std::size_t before = second.runs().size();
        put(b, "i-restarted", "draining", seq + 4, born);
        const double acknowledged = nowMs();
        sleepMs(DrainMs + ServesLongerMs);
        stop = true;
        for (std::thread &client : clients) {
            client.join();
        }
        int late = 0;
        double latest = 0;
        for (const Run &run : second.runs()) {
            const double age = run.atMs - acknowledged;
            late += age > DrainMs ? 1 : 0;
            latest = std::max(latest, age);
        }
        const bool isBroken = late > 0;
        const std::string summary = "trouble " + std::string(isTrouble ? "1" : "0") + ", run before the report "
            + std::to_string(before)
            + ", requests that reached the server later than 2500 ms after the store had "
              "acknowledged that it is draining: "
            + std::to_string(late) + ", the last after " + std::to_string(static_cast<int>(latest))
            + " ms: " + (isBroken ? "DRAIN broken" : "held");
        record.add(summary);
        std::cout << summary << std::endl;
        a.kill();
        b.kill();
        for (const auto &node : others) {
            node->kill();
        }
        second.end();
        std::quick_exit(before == 0 ? 2 : (isBroken ? 1 : 0));
    } catch (const CannotRun &error) {
        record.add("cannot run: " + error.reason);
        std::cout << "cannot run: " << error.reason << std::endl;
        return 2;
    }
}
