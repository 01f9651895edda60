// A node is cut off from the store while the node of its zone that it reads from is taken away as planned. After the
// cut it goes on with its old configuration.
#include "standins.h"
#include "storeproxy.h"

#include <cstdlib>
#include <iostream>
#include <memory>

using namespace review;

namespace
{

constexpr double MaxCutMs = 11'500; // node_cut is used for 12 s
constexpr double ApplyMs = 2'500; // config-apply-ms
constexpr double StableMs = 3'000; // stable-window-ms

struct Look
{
    double sentMs;
    int status;
};

} // namespace

int main(int argc, char **argv)
{
    if (argc != 4) {
        return 2;
    }
    const std::string root = argv[1];
    const std::string folder = argv[2];
    const bool isTrouble = std::getenv("TROUBLE") == nullptr || std::string(std::getenv("TROUBLE")) != "0";
    constexpr int Machines = 4; // two in each zone: one is cut off, one is lost
    Record record(argv[3]);
    try {
        const std::string network = freeNetwork();
        const std::string ipStore = network + "1";
        const std::vector<int> storePorts = freePorts(ipStore, 1 + Machines);
        const std::vector<int> ports = freePorts(network + "2", 4); // the same on all machines
        const std::map<std::string, std::string> zones = {{"brescia", "lombardia"}, {"lecco", "lombardia"}};
        const std::string service = "prenota";
        const Address storeAddress {ipStore, storePorts[0]};
        Store store(storeAddress, record);
        std::vector<std::unique_ptr<StoreProxy>> proxies;
        std::vector<std::unique_ptr<Node>> nodes;
        std::vector<std::unique_ptr<Server>> servers;
        const RouteEntry first {"r-1", "mesh.example", "/reserve/", "non_idempotent", service, 2'000};
        const RouteEntry added {"r-2", "mesh.example", "/added/", "idempotent", service, 2'000};
        store.put("op/config", configuration(1, {first}, {service}));
        for (int i = 0; i < Machines; ++i) {
            const std::string zone = i < 2 ? "brescia" : "lecco";
            const Address proxy {ipStore, storePorts[1 + i]};
            proxies.push_back(std::make_unique<StoreProxy>(proxy, storeAddress));
            nodes.push_back(std::make_unique<Node>(root, folder, network + std::to_string(2 + i), zone, service, ports,
                                                   proxy, zones, record));
            const std::string id = "i-" + std::to_string(i);
            servers.push_back(std::make_unique<Server>(nodes[i]->app(), id, 20, record));
            store.put("servers/" + id, serverEntry(nodes[i]->app(), service, zone, "ready", 1, 1'790'000'000'000 + i));
        }
        for (const auto &node : nodes) {
            node->start();
        }
        for (const auto &node : nodes) {
            node->waitUntilReady();
        }
        sleepMs(5'000);
        // In the zone, the node that calls the store less often reads at the other one.
        const int calls0 = proxies[0]->calls(), calls1 = proxies[1]->calls();
        sleepMs(4'000);
        const int upstream = proxies[0]->calls() - calls0 > proxies[1]->calls() - calls1 ? 0 : 1;
        const int cut = 1 - upstream;
        record.add("in brescia " + nodes[cut]->outbound().ip + " reads at " + nodes[upstream]->outbound().ip);

        std::atomic<bool> stop {false};
        std::vector<Look> looks;
        std::thread client([&] {
            for (int n = 0; !stop; ++n) {
                const auto connection = Connection::open(nodes[cut]->outbound(), 4'000);
                if (connection) {
                    const std::string id = "look-" + std::to_string(n);
                    const double sent = nowMs();
                    const Answer answer = call(*connection, "GET", "mesh.example", "/added/x", id, 3'000, "");
                    looks.push_back({sent, answer.status});
                    record.add("client gets " + std::to_string(answer.status) + " to " + id + " for the added route");
                }
                sleepMs(50);
            }
        });
        const double cutAt = nowMs();
        if (isTrouble) {
            record.add("node " + nodes[cut]->outbound().ip + " is cut off from the store");
            proxies[cut]->setSilent(true);
        }
        // The other machine of the zone is lost for good, with its server. Its entry ends after three heartbeats.
        if (isTrouble) {
            record.add("machine " + nodes[upstream]->outbound().ip + " is lost for good");
            nodes[upstream]->kill();
            servers[upstream]->end();
        }
        sleepMs(4'500);
        if (isTrouble) {
            store.remove("servers/i-" + std::to_string(upstream));
        }
        sleepMs(500);
        store.put("op/config", configuration(2, {first, added}, {service}));
        const double acknowledged = nowMs();
        // The cut ends while a call of the node is on its way.
        const int callsAtStart = proxies[cut]->calls();
        int calls = callsAtStart;
        while (nowMs() - cutAt < MaxCutMs && (nowMs() - cutAt < 7'000 || proxies[cut]->calls() == calls)) {
            calls = nowMs() - cutAt < 7'000 ? proxies[cut]->calls() : calls;
            sleepMs(10);
        }
        sleepMs(isTrouble ? 200 : 0);
        proxies[cut]->setSilent(false);
        const double healed = nowMs();
        record.add("the cut has ended after " + std::to_string(static_cast<int>(healed - cutAt)) + " ms");
        sleepMs(7'000);
        stop = true;
        client.join();
        // In touch: for the whole of stable-window-ms there was a path to the platform, and the process ran
        // undisturbed.
        const double inTouch = (isTrouble ? healed : cutAt) + StableMs;
        int late = 0;
        int served = 0;
        double last = 0;
        for (const Look &look : looks) {
            served += look.status == 200 ? 1 : 0;
            if (look.sentMs > inTouch && look.sentMs > acknowledged + ApplyMs && look.status == 404) {
                ++late;
                last = look.sentMs;
            }
        }
        const bool isBroken = late > 0;
        const std::string summary = "trouble " + std::string(isTrouble ? "1" : "0") + ", cut for "
            + std::to_string(static_cast<int>(isTrouble ? healed - cutAt : 0))
            + " ms, requests on the added route served " + std::to_string(served)
            + ", answered 404 in touch and later than 2500 ms after its acknowledgement " + std::to_string(late)
            + ", the last " + std::to_string(late > 0 ? static_cast<int>(last - healed) : 0) + " ms after the cut and "
            + std::to_string(late > 0 ? static_cast<int>(last - acknowledged) : 0)
            + " ms after the acknowledgement: " + (isBroken ? "CONFIG broken" : "held");
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
