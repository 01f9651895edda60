// Clients send requests whose heads are as large as the operator allows, in many short lines.
#include "cases.h"

namespace review
{

namespace
{

constexpr std::size_t LargeHeadBytes = 16'000; ///< `max-header-bytes` is 16,384
constexpr std::size_t SmallHeadBytes = 2'000;
constexpr std::size_t LineBytes = 24;
constexpr std::size_t AnswerHeaderBytes = 8'000;
constexpr int Clients = 4;
constexpr int RequestsPerClient = 15;

std::string requestText(const std::string &id, std::size_t headBytes)
{
    const std::string body(400, 'b');
    std::string text = "POST /book/" + id + " HTTP/1.1\r\nHost: book.example\r\nX-Request-Id: " + id
        + "\r\nX-Deadline-Ms: 3000\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    for (int line = 0; text.size() + LineBytes + 2 <= headBytes; ++line) {
        std::string header = format("X-Mark-%d: ", line);
        header += std::string(LineBytes - 2 - header.size(), 'v');
        text += header + "\r\n";
    }
    return text + "\r\n" + body;
}

struct Counts
{
    std::atomic<int> answered {0};
    std::atomic<int> refused {0};
    std::atomic<int> cut {0};
    std::atomic<int> cutAfterRun {0}; ///< on a kept connection
};

class BookServer
{
public:
    BookServer(Record &record, const std::string &ip)
        : m_record(record)
        , m_listener(ip, ServerPort, [this](Connection &connection) { serve(connection); })
    {
    }

    int runs(const std::string &id)
    {
        const std::lock_guard lock(m_mutex);
        return m_runs[id];
    }

private:
    void serve(Connection &connection)
    {
        Message request;
        while (connection.readMessage(request)) {
            const std::string id = request.header("x-request-id");
            {
                const std::lock_guard lock(m_mutex);
                ++m_runs[id];
            }
            m_record.line("run " + id + format(", %zu headers", request.headers.size()));
            sleepMs(20);
            if (!connection.send("HTTP/1.1 200 OK\r\nX-Server-Seal: i-book." + id + "\r\nX-Request-Id: " + id
                                 + "\r\nX-Notes: " + std::string(AnswerHeaderBytes, 'n')
                                 + "\r\nContent-Length: 6\r\n\r\nbooked")) {
                return;
            }
        }
    }

    Record &m_record;
    std::mutex m_mutex;
    std::map<std::string, int> m_runs;
    Listener m_listener;
};

void runClient(const std::string &ip, int client, std::size_t headBytes, Record &record, BookServer &server,
               Counts &counts)
{
    std::unique_ptr<Connection> connection;
    bool isKept = false;
    for (int n = 0; n < RequestsPerClient; ++n) {
        if (!connection) {
            connection = Connection::open(ip, OutboundPort);
            isKept = false;
        }
        if (!connection) {
            ++counts.cut;
            sleepMs(100);
            continue;
        }
        // The first request on each connection is a small one, so that the large one comes on a kept connection.
        const std::string id = format("c%d-%03d", client, n);
        const std::string text = requestText(id, isKept ? headBytes : SmallHeadBytes);
        record.line("send " + id + format(", head of %zu bytes", text.find("\r\n\r\n") + 4));
        Message answer;
        if (!connection->send(text) || !connection->readMessage(answer, 4'000)) {
            const int runs = server.runs(id);
            record.line(format("closed without an answer %s, %s connection, runs %d", id.c_str(),
                               isKept ? "kept" : "new", runs));
            ++counts.cut;
            counts.cutAfterRun += isKept && runs > 0 ? 1 : 0;
            connection.reset();
            continue;
        }
        record.line(format("answer %s %d", id.c_str(), answer.status()));
        ++(answer.status() == 200 ? counts.answered : counts.refused);
        isKept = true;
        if (answer.header("connection") == "close") {
            connection.reset();
        }
        sleepMs(20);
    }
}

} // namespace

int runManyHeaders(const CaseOptions &options)
{
    Record record(options.folder + "/record.txt");
    const std::string network = freeNetwork();
    const auto ip = [&network](int machine) {
        return network + std::to_string(machine);
    };
    Store store(ip(200), StorePort);
    store.put("op/config",
              configuration("0000000c",
                            {{"bookings", "book.example", "/book/", "non_idempotent", 1'500, "bookingbaenk"}},
                            {"statusbord", "bookingbaenk"}));
    BookServer book(record, ip(12));
    store.put("servers/i-book", serverEntry(ip(12), "bookingbaenk", "jy-aarhus", 18));
    const Server status(store, record, "i-status", "statusbord", "jy-aarhus", ip(11), 18,
                        [](const Message &) { return ServerAction {}; });
    std::vector<std::unique_ptr<Node>> nodes;
    for (int i = 0; i < 2; ++i) {
        NodePlan plan;
        plan.program = options.program;
        plan.ip = ip(11 + i);
        plan.zone = "jy-aarhus";
        plan.region = "jylland";
        plan.service = i == 0 ? "statusbord" : "bookingbaenk";
        plan.store = ip(200) + ":" + std::to_string(StorePort);
        plan.zones = {{"jy-aarhus", "jylland"}};
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
    Counts counts;
    std::vector<std::thread> clients;
    for (int i = 0; i < Clients; ++i) {
        clients.emplace_back(
            [&, i] { runClient(ip(11), i, options.trouble ? LargeHeadBytes : SmallHeadBytes, record, book, counts); });
    }
    for (std::thread &client : clients) {
        client.join();
    }
    record.line(format("%d answered, %d refused, %d closed without an answer, of these %d on kept connections and run",
                       counts.answered.load(), counts.refused.load(), counts.cut.load(), counts.cutAfterRun.load()));
    const bool isBroken = counts.cutAfterRun > 3;
    record.line(isBroken ? "LOST broken: more than three requests were passed on and their connections closed without"
                           " an answer"
                         : "held");
    return isBroken ? 1 : counts.answered > 0 ? 0 : 2;
}

} // namespace review
