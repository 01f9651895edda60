// The node that reads the store for the others is cut off from it for a moment, while a server leaves without a report.
#include "standins.h"
#include "storeproxy.h"

#include <cstdlib>
#include <iostream>
#include <memory>

using namespace review;

namespace
{

constexpr double CutMs = 600; // node_cut, how = reset
constexpr double DrainMs = 2'500;
constexpr double ServesLongerMs = 2'000;
constexpr double WorkMs = 20;

} // namespace

int main(int argc, char **argv)
{
    if (argc != 4) {
        return 2;
    }
    const std::string root = argv[1];
    const std::string folder = argv[2];
    const bool isTrouble = std::getenv("TROUBLE") == nullptr || std::string(std::getenv("TROUBLE")) != "0";
    constexpr int Machines = 4; // one of them is cut off, one server leaves: a quarter each
    Record record(argv[3]);
    try {
        const std::string network = freeNetwork();
        const std::string ipStore = network + "1";
        const std::vector<int> storePorts = freePorts(ipStore, 1 + Machines);
        const std::vector<int> ports = freePorts(network + "2", 4); // the same on all machines
        const std::map<std::string, std::string> zones = {{"brescia", "lombardia"}};
        const std::string service = "prenota";
        const Address storeAddress {ipStore, storePorts[0]};
        Store store(storeAddress, record);
        std::vector<std::unique_ptr<StoreProxy>> proxies;
        std::vector<std::unique_ptr<Node>> nodes;
        std::vector<std::unique_ptr<Server>> servers;
        store.put(
            "op/config",
            configuration(1, {{"r-1", "mesh.example", "/reserve/", "non_idempotent", service, 2'000}}, {service}));
        for (int i = 0; i < Machines; ++i) {
            const Address proxy {ipStore, storePorts[1 + i]};
            proxies.push_back(std::make_unique<StoreProxy>(proxy, storeAddress));
            nodes.push_back(std::make_unique<Node>(root, folder, network + std::to_string(2 + i), "brescia", service,
                                                   ports, proxy, zones, record));
            const std::string id = "i-" + std::to_string(i);
            servers.push_back(std::make_unique<Server>(nodes[i]->app(), id, WorkMs, record));
            store.put("servers/" + id,
                      serverEntry(nodes[i]->app(), service, "brescia", "ready", 1, 1'790'000'000'000 + i));
        }
        for (const auto &node : nodes) {
            node->start();
        }
        for (const auto &node : nodes) {
            node->waitUntilReady();
        }
        sleepMs(5'000);
        // The reader is the node that watches the store.
        std::vector<int> before;
        for (const auto &proxy : proxies) {
            before.push_back(proxy->watches());
        }
        sleepMs(3'000);
        int reader = 0;
        for (int i = 1; i < Machines; ++i) {
            reader = proxies[i]->watches() - before[i] > proxies[reader]->watches() - before[reader] ? i : reader;
        }
        const int leaving = (reader + 1) % Machines;
        const int entry = (reader + 2) % Machines;
        record.add("the reader is " + nodes[reader]->outbound().ip + ", i-" + std::to_string(leaving)
                   + " will leave, clients call " + nodes[entry]->outbound().ip);

        std::atomic<bool> stop {false};
        std::vector<std::thread> clients;
        for (int i = 0; i < 4; ++i) {
            clients.emplace_back([&, i] {
                std::unique_ptr<Connection> connection;
                for (int n = 0; !stop; ++n) {
                    if (!connection) {
                        connection = Connection::open(nodes[entry]->outbound(), 5'000);
                    }
                    if (!connection) {
                        sleepMs(100);
                        continue;
                    }
                    const std::string id = "sale-" + std::to_string(i) + "-" + std::to_string(n);
                    const Answer answer = call(*connection, "POST", "mesh.example", "/reserve/x", id, 4'000, "sale");
                    record.add("client gets " + std::to_string(answer.status) + " to " + id);
                    if (answer.status == 0 || answer.closes) {
                        connection.reset();
                    }
                    sleepMs(20);
                }
            });
        }
        sleepMs(1'000);
        if (isTrouble) {
            record.add("the reader is cut off from the store");
            proxies[reader]->setCut(true);
        }
        sleepMs(100);
        // The server leaves without a report: its entry is removed, and it continues serving.
        const std::size_t served = servers[leaving]->runs().size();
        store.remove("servers/i-" + std::to_string(leaving));
        const double acknowledged = nowMs();
        sleepMs(CutMs - 100);
        proxies[reader]->setCut(false);
        record.add("the cut has ended");
        sleepMs(DrainMs + ServesLongerMs - (nowMs() - acknowledged));
        stop = true;
        for (std::thread &client : clients) {
            client.join();
        }
        int late = 0;
        double latest = 0;
        for (const Run &run : servers[leaving]->runs()) {
            const double age = run.atMs - acknowledged;
            late += age > DrainMs ? 1 : 0;
            latest = std::max(latest, age);
        }
        const bool isBroken = late > 0;
        const std::string summary = "trouble " + std::string(isTrouble ? "1" : "0") + ", run before the removal "
            + std::to_string(served) + ", requests that reached the server later than 2500 ms after the store had "
            + "acknowledged its removal: " + std::to_string(late) + ", the last after "
            + std::to_string(static_cast<int>(latest)) + " ms: " + (isBroken ? "DRAIN broken" : "held");
        record.add(summary);
        std::cout << summary << std::endl;
        for (const auto &node : nodes) {
            node->kill();
        }
        std::quick_exit(served == 0 ? 2 : (isBroken ? 1 : 0));
    } catch (const CannotRun &error) {
        record.add("cannot run: " + error.reason);
        std::cout << "cannot run: " << error.reason << std::endl;
        std::quick_exit(2);
    }
}
