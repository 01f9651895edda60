// Clients of one machine read large downloads slowly while others send small requests there.
#include "cases.h"

#include <csignal>
#include <cstdlib>

namespace review
{

namespace
{

constexpr int MemoryMegabytes = 110; // hvf-mesh
constexpr std::size_t DownloadBytes = 6'000'000;
constexpr int Downloads = 30; ///< clients of one zone of hvf-mesh
constexpr int ReceiveBuffer = 4096; ///< the platform's links have small windows
constexpr long DownloadMs = 7'000; ///< time that a slow client takes; its deadline is 8 s
constexpr long PeriodMs = 7'200; ///< a client asks for its next download so long after the last one
constexpr long StartGapMs = 100; ///< between the clients
constexpr int Bookers = 12;
constexpr long BookingWorkMs = 290;
constexpr long RunMs = 20'000;

struct Counts
{
    std::atomic<int> answered {0};
    std::atomic<int> cut {0};
    std::atomic<int> cutAfterRun {0};
    std::atomic<int> refused {0};
};

} // namespace

int runSlowReaders(const CaseOptions &options)
{
    Record record(options.folder + "/record.txt");
    const std::string network = freeNetwork();
    const auto ip = [&network](int machine) {
        return network + std::to_string(machine);
    };
    Store store(ip(200), StorePort);
    const std::map<std::string, std::string> zones {{"jy-aarhus", "jylland"}, {"jy-aalborg", "jylland"}};
    store.put("op/config",
              configuration("0000000c",
                            {{"drawings", "jig.example", "/jig/", "download", 8'000, "tegningsarkiv"},
                             {"bookings", "book.example", "/book/", "non_idempotent", 1'500, "bookingbaenk"}},
                            {"statusbord", "bookingbaenk", "tegningsarkiv"}));
    const auto draw = [](const Message &request) {
        return request.method() == "GET" ? ServerAction {180, DownloadBytes} : ServerAction {BookingWorkMs, 400};
    };
    Server statusServer(store, record, "i-status", "statusbord", "jy-aarhus", ip(11), 18, draw);
    Server bookServer(store, record, "i-book", "bookingbaenk", "jy-aarhus", ip(12), 18, draw);
    Server drawServer1(store, record, "i-draw-1", "tegningsarkiv", "jy-aalborg", ip(13), 18, draw);
    Server drawServer2(store, record, "i-draw-2", "tegningsarkiv", "jy-aarhus", ip(14), 18, draw);
    std::vector<std::unique_ptr<Node>> nodes;
    const char *const services[] = {"statusbord", "bookingbaenk", "tegningsarkiv", "tegningsarkiv"};
    const char *const zoneOf[] = {"jy-aarhus", "jy-aarhus", "jy-aalborg", "jy-aarhus"};
    for (int i = 0; i < 4; ++i) {
        NodePlan plan;
        plan.program = options.program;
        plan.ip = ip(11 + i);
        plan.zone = zoneOf[i];
        plan.region = "jylland";
        plan.service = services[i];
        plan.store = ip(200) + ":" + std::to_string(StorePort);
        plan.zones = zones;
        plan.memoryMegabytes = MemoryMegabytes;
        plan.folder = options.temporary;
        nodes.push_back(std::make_unique<Node>(plan, record));
        nodes.back()->start();
    }
    for (const auto &node : nodes) {
        if (!node->waitUntilReady(10'000)) {
            record.line("a node does not become ready");
            return 2;
        }
    }
    sleepMs(3'500); // stable-window-ms is 3,000
    std::atomic<bool> stop {false};
    std::atomic<int> killed {0};
    std::atomic<std::size_t> peak {0};
    // The platform: a process beyond its memory is killed, and started again after a short delay.
    std::thread platform([&] {
        while (!stop) {
            for (const auto &node : nodes) {
                const std::size_t bytes = node->residentBytes();
                peak = std::max(peak.load(), bytes);
                if (bytes > static_cast<std::size_t>(MemoryMegabytes) << 20U) {
                    record.line(format("node %s holds %zu bytes, over %d MB: the platform kills it", node->ip().c_str(),
                                       bytes, MemoryMegabytes));
                    node->kill();
                    ++killed;
                    sleepMs(500);
                    node->start();
                }
            }
            sleepMs(20);
        }
    });
    Counts bookings;
    Counts downloads;
    std::vector<std::thread> clients;
    for (int i = 0; i < Bookers; ++i) {
        clients.emplace_back([&, i] {
            std::unique_ptr<Connection> connection;
            int answersOnIt = 0;
            for (int n = 0; !stop; ++n) {
                if (!connection) {
                    connection = Connection::open(ip(11), OutboundPort);
                    answersOnIt = 0;
                }
                if (!connection) {
                    sleepMs(200);
                    continue;
                }
                const std::string id = format("book-%02d-%04d", i, n);
                record.line("send " + id);
                const std::string body(4'000, 'b');
                Message answer;
                if (!connection->send(format("POST /book/%d HTTP/1.1\r\nHost: book.example\r\nX-Request-Id: %s\r\n"
                                             "X-Deadline-Ms: 3000\r\nContent-Length: %zu\r\n\r\n",
                                             n, id.c_str(), body.size())
                                      + body)
                    || !connection->readMessage(answer, 5'000)) {
                    const int runs = bookServer.runs(id);
                    record.line(
                        format("cut %s after %d answers on its connection, runs %d", id.c_str(), answersOnIt, runs));
                    ++bookings.cut;
                    bookings.cutAfterRun += runs > 0 && answersOnIt > 0 ? 1 : 0;
                    connection.reset();
                    continue;
                }
                record.line(format("answer %s %d", id.c_str(), answer.status()));
                ++(answer.status() == 200 ? bookings.answered : bookings.refused);
                ++answersOnIt;
                if (answer.header("connection") == "close") {
                    connection.reset();
                }
                sleepMs(100);
            }
        });
    }
    sleepMs(1'000);
    for (int i = 0; i < Downloads; ++i) {
        clients.emplace_back([&, i] {
            sleepMs(i * StartGapMs);
            for (int n = 0; !stop; ++n) {
                const long startedAt = nowMs();
                const auto connection = Connection::open(ip(11), OutboundPort, ReceiveBuffer);
                if (!connection) {
                    sleepMs(200);
                    continue;
                }
                const std::string id = format("draw-%02d-%04d", i, n);
                record.line("send " + id);
                Message head;
                std::size_t received = 0;
                bool isComplete = false;
                if (connection->send(format("GET /jig/%d HTTP/1.1\r\nHost: jig.example\r\nX-Request-Id: %s\r\n"
                                            "X-Deadline-Ms: 8000\r\n\r\n",
                                            n, id.c_str()))
                    && connection->readHead(head, 8'000)) {
                    std::string bytes;
                    const auto total = std::strtoul(head.header("content-length").c_str(), nullptr, 10);
                    while (received < total) {
                        const long size = connection->readSome(bytes, 32 << 10, 3'000);
                        if (size <= 0) {
                            break;
                        }
                        received += bytes.size();
                        if (options.trouble) {
                            const double share = static_cast<double>(received) / static_cast<double>(total);
                            sleepMs(startedAt + static_cast<long>(share * DownloadMs) - nowMs());
                        }
                    }
                    isComplete = received == total;
                }
                record.line(format("%s %s %d, %zu bytes in %ld ms", isComplete ? "answer" : "cut", id.c_str(),
                                   head.status(), received, nowMs() - startedAt));
                ++(isComplete ? (head.status() == 200 ? downloads.answered : downloads.refused) : downloads.cut);
                for (long left = 1; left > 0 && !stop;) {
                    left = startedAt + PeriodMs - nowMs();
                    sleepMs(std::min(left, 100L));
                }
            }
        });
    }
    sleepMs(RunMs);
    stop = true;
    for (std::thread &client : clients) {
        client.join();
    }
    platform.join();
    record.line(format("bookings: %d answered, %d refused, %d cut, of these %d on kept connections and run",
                       bookings.answered.load(), bookings.refused.load(), bookings.cut.load(),
                       bookings.cutAfterRun.load()));
    record.line(format("downloads: %d answered, %d refused, %d cut", downloads.answered.load(),
                       downloads.refused.load(), downloads.cut.load()));
    record.line(
        format("most resident bytes of a node %zu; processes killed for their memory: %d", peak.load(), killed.load()));
    const bool isBroken = killed > 0 && bookings.cutAfterRun > 3;
    record.line(isBroken ? "LOST broken: more than three requests were passed on and their connections closed without"
                           " an answer"
                         : "held");
    if (!isBroken && (bookings.answered == 0 || downloads.answered + downloads.cut == 0)) {
        return 2;
    }
    return isBroken ? 1 : 0;
}

} // namespace review
