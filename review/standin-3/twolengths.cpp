// Clients put a second request into the body of one whose length is ambiguous.
#include "cases.h"

namespace review
{

namespace
{

constexpr int Rounds = 10;

/// Counts what runs, by id.
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
            m_record.line("run " + id + " " + request.method() + " " + request.target()
                          + format(", body of %zu bytes", request.body.size()));
            sleepMs(20);
            if (!connection.send("HTTP/1.1 200 OK\r\nX-Server-Seal: i-book." + id + "\r\nX-Request-Id: " + id
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

std::string bookingHead(const std::string &id)
{
    return "POST /book/" + id + " HTTP/1.1\r\nHost: book.example\r\nX-Request-Id: " + id
        + "\r\nX-Deadline-Ms: 3000\r\n";
}

/// A whole booking, as text.
std::string booking(const std::string &id)
{
    return bookingHead(id) + "Content-Length: 4\r\n\r\nbook";
}

enum class Framing { TwoLengths, LengthAndChunks, Sound };

const char *nameOf(Framing framing)
{
    switch (framing) {
    case Framing::TwoLengths:
        return "two lengths";
    case Framing::LengthAndChunks:
        return "length and chunks";
    case Framing::Sound:
        break;
    }
    return "one length";
}

/// One request with \p inner in its body.
std::string outerRequest(const std::string &id, const std::string &inner, Framing framing)
{
    if (framing == Framing::TwoLengths) {
        const std::string body = "note" + inner;
        return bookingHead(id) + "Content-Length: 4\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
            + body;
    }
    if (framing == Framing::LengthAndChunks) {
        const std::string body = "4\r\nnote\r\n0\r\n\r\n" + inner;
        return bookingHead(id) + "Content-Length: " + std::to_string(body.size())
            + "\r\nTransfer-Encoding: chunked\r\n\r\n" + body;
    }
    const std::string body = "note" + inner;
    return bookingHead(id) + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

int runTwoLengths(const CaseOptions &options)
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
    int answered = 0;
    int soundAnswered = 0; ///< of the bookings between them that are sent as they should be
    int smuggled = 0;
    const std::vector<Framing> framings = options.trouble
        ? std::vector<Framing> {Framing::TwoLengths, Framing::LengthAndChunks}
        : std::vector<Framing> {Framing::Sound};
    for (const Framing framing : framings) {
        for (int round = 0; round < Rounds; ++round) {
            const std::string outer = format("outer-%d-%02d", static_cast<int>(framing), round);
            const std::string inner = format("inner-%d-%02d", static_cast<int>(framing), round);
            const auto connection = Connection::open(ip(11), OutboundPort);
            if (!connection || !connection->send(outerRequest(outer, booking(inner), framing))) {
                record.line("cannot send " + outer);
                continue;
            }
            record.line("send " + outer + " (" + nameOf(framing) + "), with the text of " + inner + " in its body");
            Message answer;
            while (connection->readMessage(answer, 1'000)) {
                record.line(format("answer %d for %s", answer.status(), answer.header("x-request-id").c_str()));
                answered += answer.status() == 200 ? 1 : 0;
            }
            const std::string sound = format("sound-%d-%02d", static_cast<int>(framing), round);
            const auto other = Connection::open(ip(11), OutboundPort);
            if (other && other->send(booking(sound)) && other->readMessage(answer, 4'000)) {
                record.line(format("answer %d for %s", answer.status(), answer.header("x-request-id").c_str()));
                soundAnswered += answer.status() == 200 ? 1 : 0;
            }
            const int runs = book.runs(inner);
            if (runs > 0) {
                record.line(format("%s ran %d times, though nobody sent it as a request", inner.c_str(), runs));
                ++smuggled;
            }
        }
    }
    record.line(format("%d answers with 200, %d to sound bookings; %d requests ran that were in the body of another",
                       answered, soundAnswered, smuggled));
    record.line(smuggled > 0 ? "UNASKED broken: a server ran requests that were smuggled inside another" : "held");
    return smuggled > 0 ? 1 : soundAnswered > 0 && (options.trouble || answered > 0) ? 0 : 2;
}

} // namespace review
