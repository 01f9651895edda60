// Sockets, threads and processes behind the stand-ins.
#include "platform.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <cstdarg>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review
{

namespace
{

const Clock::time_point Start = Clock::now();

sockaddr_in systemAddress(const std::string &ip, int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

std::string base64(const std::string &bytes)
{
    static const char *const Digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        const auto at = [&](std::size_t k) {
            return k < bytes.size() ? static_cast<unsigned char>(bytes[k]) : 0U;
        };
        const unsigned value = at(i) << 16U | at(i + 1) << 8U | at(i + 2);
        out += Digits[value >> 18U & 63U];
        out += Digits[value >> 12U & 63U];
        out += i + 1 < bytes.size() ? Digits[value >> 6U & 63U] : '=';
        out += i + 2 < bytes.size() ? Digits[value & 63U] : '=';
    }
    return out;
}

std::string query(const std::string &target, const std::string &name)
{
    const std::size_t start = target.find('?');
    std::string rest = start == std::string::npos ? std::string() : "&" + target.substr(start + 1);
    const std::size_t at = rest.find("&" + name + "=");
    if (at == std::string::npos) {
        return {};
    }
    const std::size_t from = at + name.size() + 2;
    std::string text = rest.substr(from, rest.find('&', from) - from);
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            out += static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
            i += 2;
        } else {
            out += text[i];
        }
    }
    return out;
}

} // namespace

long nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - Start).count();
}

void sleepMs(long milliseconds)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(std::max(0L, milliseconds)));
}

std::string format(const char *pattern, ...)
{
    va_list arguments;
    va_start(arguments, pattern);
    char text[2048];
    std::vsnprintf(text, sizeof(text), pattern, arguments);
    va_end(arguments);
    return text;
}

Record::Record(const std::string &path)
    : m_file(std::fopen(path.c_str(), "w"))
{
    if (m_file == nullptr) {
        std::perror(path.c_str());
        std::exit(2);
    }
}

void Record::line(const std::string &text)
{
    const std::lock_guard lock(m_mutex);
    std::fprintf(m_file, "%8ld %s\n", nowMs(), text.c_str());
    std::fflush(m_file);
}

std::string Message::header(const std::string &name) const
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

std::string Message::method() const
{
    return start.substr(0, start.find(' '));
}

std::string Message::target() const
{
    const std::size_t first = start.find(' ');
    return start.substr(first + 1, start.find(' ', first + 1) - first - 1);
}

int Message::status() const
{
    const std::size_t first = start.find(' ');
    return first == std::string::npos ? 0 : std::atoi(start.c_str() + first);
}

Connection::~Connection()
{
    close();
}

void Connection::close()
{
    if (m_descriptor >= 0) {
        ::close(m_descriptor);
        m_descriptor = -1;
    }
}

std::unique_ptr<Connection> Connection::open(const std::string &ip, int port, int receiveBuffer)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (descriptor < 0) {
        return nullptr;
    }
    if (receiveBuffer > 0) {
        ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
        // Packets as on a network; those of loopback hold 64 KiB.
        const int segment = 1448;
        ::setsockopt(descriptor, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
    }
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    auto connection = std::make_unique<Connection>(descriptor);
    const sockaddr_in address = systemAddress(ip, port);
    if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        pollfd waiting {descriptor, POLLOUT, 0};
        int error = errno;
        socklen_t size = sizeof(error);
        if (error != EINPROGRESS || ::poll(&waiting, 1, 1000) <= 0
            || ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
            return nullptr;
        }
    }
    ::fcntl(descriptor, F_SETFL, ::fcntl(descriptor, F_GETFL) & ~O_NONBLOCK);
    return connection;
}

bool Connection::send(const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t size = ::send(m_descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (size < 0 && errno == EINTR) {
            continue;
        }
        if (size <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

long Connection::readSome(std::string &out, std::size_t size, long limitMs)
{
    if (!m_buffer.empty()) {
        out = m_buffer.substr(0, size);
        m_buffer.erase(0, out.size());
        return static_cast<long>(out.size());
    }
    pollfd waiting {m_descriptor, POLLIN, 0};
    if (::poll(&waiting, 1, static_cast<int>(limitMs)) <= 0) {
        return -2;
    }
    out.resize(size);
    const ssize_t count = ::recv(m_descriptor, out.data(), size, 0);
    out.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
    return count;
}

bool Connection::fill(long untilMs)
{
    pollfd waiting {m_descriptor, POLLIN, 0};
    const long left = untilMs < 0 ? -1 : untilMs - nowMs();
    if (untilMs >= 0 && left <= 0) {
        return false;
    }
    if (::poll(&waiting, 1, static_cast<int>(left)) <= 0) {
        return false;
    }
    char bytes[16384];
    const ssize_t size = ::recv(m_descriptor, bytes, sizeof(bytes), 0);
    if (size <= 0) {
        return false;
    }
    m_buffer.append(bytes, static_cast<std::size_t>(size));
    return true;
}

bool Connection::readHead(Message &message, long limitMs)
{
    const long until = limitMs < 0 ? -1 : nowMs() + limitMs;
    std::size_t end = 0;
    while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!fill(until)) {
            return false;
        }
    }
    const std::string head = m_buffer.substr(0, end + 2);
    m_buffer.erase(0, end + 4);
    message = {};
    std::size_t at = head.find("\r\n");
    message.start = head.substr(0, at);
    while ((at += 2) < head.size()) {
        const std::size_t next = head.find("\r\n", at);
        const std::string line = head.substr(at, next - at);
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos) {
            const std::size_t value = line.find_first_not_of(" \t", colon + 1);
            message.headers[lower(line.substr(0, colon))] = value == std::string::npos ? "" : line.substr(value);
        }
        at = next;
    }
    return true;
}

bool Connection::readMessage(Message &message, long limitMs)
{
    const long until = limitMs < 0 ? -1 : nowMs() + limitMs;
    if (!readHead(message, limitMs)) {
        return false;
    }
    const auto take = [&](std::size_t size, std::string &out) {
        while (m_buffer.size() < size) {
            if (!fill(until)) {
                return false;
            }
        }
        out += m_buffer.substr(0, size);
        m_buffer.erase(0, size);
        return true;
    };
    if (lower(message.header("transfer-encoding")) == "chunked") {
        while (true) {
            std::size_t end = 0;
            while ((end = m_buffer.find("\r\n")) == std::string::npos) {
                if (!fill(until)) {
                    return false;
                }
            }
            const auto size = static_cast<std::size_t>(std::strtoul(m_buffer.c_str(), nullptr, 16));
            m_buffer.erase(0, end + 2);
            std::string lineEnd;
            if (!take(size, message.body) || !take(2, lineEnd)) {
                return false;
            }
            if (size == 0) {
                return true;
            }
        }
    }
    const std::string length = message.header("content-length");
    return length.empty() || take(std::strtoul(length.c_str(), nullptr, 10), message.body);
}

Listener::Listener(const std::string &ip, int port, Handler handler)
    : m_descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    , m_handler(std::move(handler))
{
    const int on = 1;
    ::setsockopt(m_descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = systemAddress(ip, port);
    if (::bind(m_descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0
        || ::listen(m_descriptor, 512) != 0) {
        std::fprintf(stderr, "cannot listen on %s:%d: %s\n", ip.c_str(), port, std::strerror(errno));
        std::exit(2);
    }
    m_thread = std::thread([this, on] {
        while (!m_stop) {
            pollfd waiting {m_descriptor, POLLIN, 0};
            if (::poll(&waiting, 1, 50) <= 0) {
                continue;
            }
            const int accepted = ::accept4(m_descriptor, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0) {
                continue;
            }
            ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            const std::lock_guard lock(m_mutex);
            m_open.push_back(accepted);
            m_connections.emplace_back([this, accepted] {
                Connection connection(accepted);
                m_handler(connection);
                const std::lock_guard guard(m_mutex);
                std::erase(m_open, accepted);
            });
        }
    });
}

Listener::~Listener()
{
    m_stop = true;
    m_thread.join();
    ::close(m_descriptor);
    {
        const std::lock_guard lock(m_mutex);
        for (const int descriptor : m_open) {
            ::shutdown(descriptor, SHUT_RDWR);
        }
    }
    for (std::thread &thread : m_connections) {
        thread.join();
    }
}

Store::Store(const std::string &ip, int port)
    : m_listener(std::make_unique<Listener>(ip, port, [this](Connection &connection) { serve(connection); }))
{
}

std::string Store::itemJson(const std::string &key, const Item &item)
{
    return format(R"({"key":"%s","rev":%llu,"create-revision":%llu,"lease":0,"value":")", key.c_str(),
                  static_cast<unsigned long long>(item.revision), static_cast<unsigned long long>(item.created))
        + base64(item.value) + "\"}";
}

void Store::put(const std::string &key, const std::string &value)
{
    const std::lock_guard lock(m_mutex);
    Item &item = m_items[key];
    item.value = value;
    item.revision = ++m_revision;
    item.created = item.created == 0 ? item.revision : item.created;
    m_events.push_back({key, item.revision, itemJson(key, item)});
    m_changed.notify_all();
}

void Store::remove(const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    if (m_items.erase(key) > 0) {
        ++m_revision;
        m_events.push_back({key, m_revision,
                            format(R"({"key":"%s","rev":%llu,"removed":true})", key.c_str(),
                                   static_cast<unsigned long long>(m_revision))});
        m_changed.notify_all();
    }
}

std::string Store::range(const std::string &prefix, const std::string &after)
{
    const std::lock_guard lock(m_mutex);
    std::string items;
    for (const auto &[key, item] : m_items) {
        if (key.starts_with(prefix) && key > after) {
            items += (items.empty() ? "" : ",") + itemJson(key, item);
        }
    }
    return "{\"items\":[" + items + "],\"has-more\":false,\"store-revision\":" + std::to_string(m_revision) + "}";
}

std::string Store::watch(const std::string &prefix, std::uint64_t after, long waitMs)
{
    std::unique_lock lock(m_mutex);
    std::string events;
    const auto collect = [&] {
        for (const Event &event : m_events) {
            if (event.revision > after && event.key.starts_with(prefix)) {
                events += (events.empty() ? "" : ",") + event.json;
            }
        }
        return !events.empty();
    };
    m_changed.wait_for(lock, std::chrono::milliseconds(waitMs), collect);
    return "{\"events\":[" + events + "],\"store-revision\":" + std::to_string(m_revision) + "}";
}

void Store::serve(Connection &connection)
{
    Message request;
    while (connection.readMessage(request)) {
        const std::string target = request.target();
        std::string body;
        int status = 200;
        if (target.starts_with("/jasminemast/kv-range")) {
            body = range(query(target, "prefix"), query(target, "after"));
        } else if (target.starts_with("/jasminemast/kv-watch")) {
            body = watch(query(target, "prefix"), std::strtoull(query(target, "after").c_str(), nullptr, 10),
                         std::min(30'000L, std::atol(query(target, "wait-ms").c_str())));
        } else {
            status = 404;
            body = "{}";
        }
        sleepMs(4);
        if (!connection.send(format("HTTP/1.1 %d OK\r\nContent-Type: application/json\r\nContent-Length: %zu\r\n\r\n",
                                    status, body.size())
                             + body)) {
            return;
        }
    }
}

Server::Server(Store &store, Record &record, std::string id, std::string service, std::string zone, std::string ip,
               unsigned slots, Plan plan)
    : m_store(store)
    , m_record(record)
    , m_id(std::move(id))
    , m_service(std::move(service))
    , m_zone(std::move(zone))
    , m_ip(std::move(ip))
    , m_slots(slots)
    , m_plan(std::move(plan))
    , m_born(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
                 .count())
    , m_listener(std::make_unique<Listener>(m_ip, ServerPort, [this](Connection &connection) { serve(connection); }))
{
    report();
}

Server::~Server() = default;

void Server::report()
{
    m_store.put(
        "servers/" + m_id,
        format(R"({"address":"%s:%d","born":%lld,"info":{"service":"%s","version":"v1","zone":"%s","slots":%u},)"
               R"("status":{"state":"%s","seq":%llu,"cold-left-ms":0}})",
               m_ip.c_str(), ServerPort, m_born, m_service.c_str(), m_zone.c_str(), m_slots, m_state.c_str(),
               static_cast<unsigned long long>(m_sequence)));
}

void Server::setState(const std::string &state)
{
    m_state = state;
    ++m_sequence;
    report();
}

int Server::runs(const std::string &requestId)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_runs.find(requestId);
    return found == m_runs.end() ? 0 : found->second;
}

void Server::serve(Connection &connection)
{
    Message request;
    while (connection.readMessage(request)) {
        const std::string requestId = request.header("x-request-id");
        const std::string common = "X-Request-Id: " + requestId + "\r\n";
        const std::string expected = request.header("x-expect-instance");
        if (!expected.empty() && expected != m_id) {
            connection.send("HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n" + common
                            + "\r\n");
            continue;
        }
        {
            std::unique_lock lock(m_mutex);
            if (m_running >= m_slots) {
                lock.unlock();
                connection.send("HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n"
                                + common + "\r\n");
                continue;
            }
            ++m_running;
            ++m_runs[requestId];
        }
        m_record.line("run " + requestId + " at " + m_id + " " + request.method() + " " + request.target());
        const ServerAction action = m_plan(request);
        sleepMs(action.workMs);
        {
            const std::lock_guard lock(m_mutex);
            --m_running;
        }
        const std::string head = format("HTTP/1.1 200 OK\r\nX-Server-Seal: %s.%s\r\nX-Server-Load: %u,0,%u\r\n"
                                        "Content-Length: %zu\r\n",
                                        m_id.c_str(), requestId.c_str(), m_running, m_slots, action.bodyBytes)
            + common + "\r\n";
        if (!connection.send(head)) {
            return;
        }
        const std::string piece(64 << 10, 'x');
        for (std::size_t left = action.bodyBytes; left > 0;) {
            const std::size_t size = std::min(left, piece.size());
            if (!connection.send(size == piece.size() ? piece : piece.substr(0, size))) {
                return;
            }
            left -= size;
        }
    }
}

Node::Node(NodePlan plan, Record &record)
    : m_plan(std::move(plan))
    , m_record(record)
{
}

Node::~Node()
{
    kill();
}

void Node::start()
{
    std::string zones;
    for (const auto &[zone, region] : m_plan.zones) {
        zones += (zones.empty() ? "" : ",") + format(R"({"zone": "%s", "region": "%s"})", zone.c_str(), region.c_str());
    }
    const std::string path = m_plan.folder + "/" + m_plan.ip + ".json";
    // deploy/settings.json with the platform's values.
    std::ofstream(path) << format(
        R"({"host": "%s", "region": "%s", "zone": "%s", "address": "%s", "callerAddress": "%s:%d",)"
        R"( "operatorAddress": "%s:%d", "readyPath": "/jasminemast/readyz", "linkPort": %d,)"
        R"( "target": {"address": "%s:%d", "service": "%s"}, "registry": {"address": "%s", "zones": [)",
        m_plan.ip.c_str(), m_plan.region.c_str(), m_plan.zone.c_str(), m_plan.ip.c_str(), m_plan.ip.c_str(),
        OutboundPort, m_plan.ip.c_str(), ReadyPort, LinkPort, m_plan.ip.c_str(), ServerPort, m_plan.service.c_str(),
        m_plan.store.c_str())
                        << zones << "]},\n"
                        << format(R"("links": {"heartbeatMs": 150, "silenceMs": 1500, "idleMs": 30000,)"
                                  R"( "megabitsPerSecond": %d.0}, "drain": {"serveMs": 1400, "lingerMs": 2400,)"
                                  R"( "killSeconds": %d, "graceMs": 5500},)",
                                  m_plan.linkMegabits, m_plan.graceSeconds)
                        << R"("calls": {"maxRequestBytes": 67108864, "probeTargets": false, "retryShare": 0.1,)"
                           R"( "retryBurst": 3, "freeRefusals": 5, "patientQueuePerSlot": 4, "ways": {"zoneMs": 10,)"
                           R"( "zoneMsPerKilobyte": 20, "regionMs": 150, "regionMsPerKilobyte": 60}, "headers":)"
                           R"( {"deadline": "X-Deadline-Ms", "requestId": "X-Request-Id", "expectedEndpoint":)"
                           R"( "X-Expect-Instance", "callerService": "X-Caller-Service", "notRun": "X-Not-Executed",)"
                           R"( "load": "X-Server-Load", "warmUp": "X-Cold-Ms"}}})"
                        << "\n";
    const std::string log = m_plan.folder + "/" + m_plan.ip + ".log";
    const std::string settings = "--settings=" + path;
    const std::string memory = "--memory=" + std::to_string(m_plan.memoryMegabytes);
    m_id = ::fork();
    if (m_id == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // no process outlives the case
        const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(output, 1);
        ::dup2(output, 2);
        ::setenv("JASMINEMAST_SETTINGS", path.c_str(), 1);
        ::execl(m_plan.program.c_str(), m_plan.program.c_str(), "node", settings.c_str(), memory.c_str(), nullptr);
        ::_exit(127);
    }
    ++m_starts;
    m_record.line(format("node %s starts (process %d, start %d)", m_plan.ip.c_str(), static_cast<int>(m_id), m_starts));
}

void Node::signal(int number)
{
    if (m_id > 0) {
        m_record.line(format("node %s gets signal %d", m_plan.ip.c_str(), number));
        ::kill(m_id, number);
    }
}

void Node::kill()
{
    if (m_id > 0) {
        ::kill(m_id, SIGKILL);
        ::waitpid(m_id, nullptr, 0);
        m_id = -1;
    }
}

bool Node::hasEnded()
{
    int status = 0;
    if (m_id > 0 && ::waitpid(m_id, &status, WNOHANG) == m_id) {
        m_record.line(format("node %s ended, status %d signal %d", m_plan.ip.c_str(),
                             WIFEXITED(status) ? WEXITSTATUS(status) : -1, WIFSIGNALED(status) ? WTERMSIG(status) : 0));
        m_id = -1;
    }
    return m_id < 0;
}

bool Node::waitForEnd(long limitMs)
{
    const long until = nowMs() + limitMs;
    while (!hasEnded()) {
        if (nowMs() >= until) {
            return false;
        }
        sleepMs(10);
    }
    return true;
}

std::size_t Node::residentBytes() const
{
    std::ifstream file("/proc/" + std::to_string(m_id) + "/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

bool Node::isReady() const
{
    const auto connection = Connection::open(m_plan.ip, ReadyPort);
    Message answer;
    return connection != nullptr
        && connection->send("GET /jasminemast/readyz HTTP/1.1\r\nHost: " + m_plan.ip + "\r\n\r\n")
        && connection->readMessage(answer, 1000) && answer.status() == 200;
}

bool Node::waitUntilReady(long limitMs) const
{
    const long until = nowMs() + limitMs;
    while (!isReady()) {
        if (nowMs() >= until) {
            return false;
        }
        sleepMs(50);
    }
    return true;
}

std::string freeNetwork()
{
    std::random_device random;
    for (int attempt = 0; attempt < 200; ++attempt) {
        const std::string network = format("127.%u.%u.", 20 + random() % 200, 1 + random() % 250);
        bool isFree = true;
        for (const auto &[host, port] :
             {std::pair("200", StorePort), std::pair("11", ServerPort), std::pair("11", OutboundPort),
              std::pair("11", ReadyPort), std::pair("11", LinkPort)}) {
            const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            const sockaddr_in address = systemAddress(network + host, port);
            isFree = ::bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0 && isFree;
            ::close(descriptor);
        }
        if (isFree) {
            return network;
        }
    }
    std::exit(2);
}

} // namespace review
