// Stand-ins for the scripts of this review: the platform's store, servers, clients and the machines' processes.
//
// They follow the users' pages (SYSTEM.md, PROTOCOL.md, DEPLOY.md, LATER.md). Every address is a loopback address.
// Blocking sockets and one thread per connection, so that each behaviour is readable in one place.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace lab
{

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

inline const Clock::time_point startTime = Clock::now();

/// Milliseconds since the start of the script.
inline std::int64_t nowMs()
{
    return std::chrono::duration_cast<Ms>(Clock::now() - startTime).count();
}

inline void sleepMs(std::int64_t ms)
{
    if (ms > 0) {
        std::this_thread::sleep_for(Ms(ms));
    }
}

inline std::int64_t unixMs()
{
    return std::chrono::duration_cast<Ms>(std::chrono::system_clock::now().time_since_epoch()).count();
}

/// Writes record.txt: one line for each thing that was sent, answered or run.
class Record
{
public:
    explicit Record(const std::string &path)
        : m_file(std::fopen(path.c_str(), "w"))
    {
        if (m_file == nullptr) {
            throw std::runtime_error("cannot write " + path);
        }
    }
    ~Record()
    {
        std::fclose(m_file);
    }
    void line(const char *format, ...) __attribute__((format(printf, 2, 3)))
    {
        char text[1024];
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text, sizeof(text), format, arguments);
        va_end(arguments);
        const std::lock_guard lock(m_mutex);
        std::fprintf(m_file, "%8lld ms  %s\n", static_cast<long long>(nowMs()), text);
        std::fflush(m_file);
    }

private:
    std::mutex m_mutex;
    std::FILE *m_file;
};

// ---------------------------------------------------------------- sockets and HTTP

inline sockaddr_in addressOf(const std::string &ip, std::uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    if (::inet_pton(AF_INET, ip.c_str(), &address.sin_addr) != 1 || ip.rfind("127.", 0) != 0) {
        throw std::runtime_error("not a loopback address: " + ip);
    }
    return address;
}

inline int listenOn(const std::string &ip, std::uint16_t port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = addressOf(ip, port);
    if (::bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0 || ::listen(fd, 1024) != 0) {
        ::close(fd);
        throw std::runtime_error("cannot listen on " + ip + ":" + std::to_string(port));
    }
    return fd;
}

inline bool isPortFree(const std::string &ip, std::uint16_t port)
{
    try {
        ::close(listenOn(ip, port));
        return true;
    } catch (const std::exception &) {
        return false;
    }
}

/// Connects within \p timeoutMs; -1 if that fails.
inline int connectTo(const std::string &ip, std::uint16_t port, int timeoutMs = 1000)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const sockaddr_in address = addressOf(ip, port);
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        pollfd watched {fd, POLLOUT, 0};
        int error = 0;
        socklen_t size = sizeof(error);
        if (errno != EINPROGRESS || ::poll(&watched, 1, timeoutMs) != 1
            || ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
            ::close(fd);
            return -1;
        }
    }
    ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    return fd;
}

inline bool sendAll(int fd, std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t size = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (size <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(size));
    }
    return true;
}

struct Head
{
    std::string first; ///< request or status line
    std::vector<std::pair<std::string, std::string>> headers;

    [[nodiscard]] std::string get(const std::string &name) const
    {
        for (const auto &[key, value] : headers) {
            if (::strcasecmp(key.c_str(), name.c_str()) == 0) {
                return value;
            }
        }
        return {};
    }
    [[nodiscard]] bool has(const std::string &name) const
    {
        return std::any_of(headers.begin(), headers.end(),
                           [&](const auto &item) { return ::strcasecmp(item.first.c_str(), name.c_str()) == 0; });
    }
};

enum class ReadEnd { Complete, Closed, Reset, TimedOut };

/// Reads messages from one connection.
class Reader
{
public:
    explicit Reader(int fd)
        : m_fd(fd)
    {
    }

    /// Reads until \p done says so about the buffer.
    ReadEnd fill(const std::function<bool()> &done, Clock::time_point until)
    {
        while (!done()) {
            const auto left = std::chrono::duration_cast<Ms>(until - Clock::now()).count();
            pollfd watched {m_fd, POLLIN, 0};
            const int ready = left <= 0 ? 0 : ::poll(&watched, 1, static_cast<int>(left));
            if (ready < 0 && errno == EINTR) {
                continue;
            }
            if (ready <= 0) {
                return ReadEnd::TimedOut;
            }
            char bytes[65536];
            const ssize_t size = ::recv(m_fd, bytes, sizeof(bytes), 0);
            if (size == 0) {
                return ReadEnd::Closed;
            }
            if (size < 0) {
                return ReadEnd::Reset;
            }
            m_received = true;
            m_buffer.append(bytes, static_cast<std::size_t>(size));
        }
        return ReadEnd::Complete;
    }

    ReadEnd readHead(Head &head, Clock::time_point until)
    {
        m_received = !m_buffer.empty();
        const ReadEnd end = fill([this] { return m_buffer.find("\r\n\r\n") != std::string::npos; }, until);
        if (end != ReadEnd::Complete) {
            return end;
        }
        const std::size_t size = m_buffer.find("\r\n\r\n");
        std::istringstream lines(m_buffer.substr(0, size));
        m_buffer.erase(0, size + 4);
        std::string line;
        std::getline(lines, head.first);
        if (!head.first.empty() && head.first.back() == '\r') {
            head.first.pop_back();
        }
        head.headers.clear();
        while (std::getline(lines, line)) {
            if (!line.empty() && line.back() == '\r') {
                line.pop_back();
            }
            const std::size_t colon = line.find(':');
            if (colon != std::string::npos) {
                std::size_t value = colon + 1;
                while (value < line.size() && line[value] == ' ') {
                    ++value;
                }
                head.headers.emplace_back(line.substr(0, colon), line.substr(value));
            }
        }
        return ReadEnd::Complete;
    }

    /// Reads a body with a length or in chunks; of a response without both, up to the end of the connection.
    ReadEnd readBody(const Head &head, std::string &body, Clock::time_point until, bool endsWithConnection)
    {
        body.clear();
        if (head.get("Transfer-Encoding") == "chunked") {
            while (true) {
                const ReadEnd end = fill([this] { return m_buffer.find("\r\n") != std::string::npos; }, until);
                if (end != ReadEnd::Complete) {
                    return end;
                }
                const std::size_t size = std::strtoul(m_buffer.c_str(), nullptr, 16);
                const std::size_t begin = m_buffer.find("\r\n") + 2;
                const ReadEnd chunk = fill([&] { return m_buffer.size() >= begin + size + 2; }, until);
                if (chunk != ReadEnd::Complete) {
                    return chunk;
                }
                body += m_buffer.substr(begin, size);
                m_buffer.erase(0, begin + size + 2);
                if (size == 0) {
                    return ReadEnd::Complete;
                }
            }
        }
        if (head.has("Content-Length")) {
            const std::size_t size = std::strtoul(head.get("Content-Length").c_str(), nullptr, 10);
            const ReadEnd end = fill([&] { return m_buffer.size() >= size; }, until);
            if (end == ReadEnd::Complete) {
                body = m_buffer.substr(0, size);
                m_buffer.erase(0, size);
            }
            return end;
        }
        if (!endsWithConnection) {
            return ReadEnd::Complete;
        }
        const ReadEnd end = fill([] { return false; }, until);
        body = std::exchange(m_buffer, {});
        return end == ReadEnd::Closed ? ReadEnd::Complete : end;
    }

    /// True if anything of the current message has arrived.
    [[nodiscard]] bool received() const
    {
        return m_received;
    }

private:
    int m_fd;
    std::string m_buffer;
    bool m_received = false;
};

/// Accepts connections; each is handled in a thread of its own.
class Listener
{
public:
    Listener(const std::string &ip, std::uint16_t port, std::function<void(int)> handler)
        : m_fd(listenOn(ip, port))
        , m_handler(std::move(handler))
        , m_thread([this] { run(); })
    {
    }
    ~Listener()
    {
        stop();
    }
    /// Closes the listener and every connection.
    void stop()
    {
        if (m_stopping.exchange(true)) {
            return;
        }
        ::shutdown(m_fd, SHUT_RDWR);
        m_thread.join();
        ::close(m_fd);
        {
            const std::lock_guard lock(m_mutex);
            for (const int fd : m_open) {
                ::shutdown(fd, SHUT_RDWR);
            }
        }
        for (std::thread &thread : m_threads) {
            thread.join();
        }
    }

private:
    void run()
    {
        while (!m_stopping) {
            const int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                if (m_stopping) {
                    return;
                }
                continue;
            }
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            const std::lock_guard lock(m_mutex);
            m_open.insert(fd);
            m_threads.emplace_back([this, fd] {
                m_handler(fd);
                const std::lock_guard closing(m_mutex);
                m_open.erase(fd);
                ::close(fd);
            });
        }
    }

    int m_fd;
    std::function<void(int)> m_handler;
    std::atomic<bool> m_stopping {false};
    std::mutex m_mutex;
    std::set<int> m_open;
    std::vector<std::thread> m_threads;
    std::thread m_thread;
};

inline std::string base64(std::string_view bytes)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        const std::size_t count = std::min<std::size_t>(3, bytes.size() - i);
        for (std::size_t j = 0; j < 3; ++j) {
            group = group << 8U | (j < count ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            text += j <= count ? digits[group >> (18 - 6 * j) & 63U] : '=';
        }
    }
    return text;
}

inline std::string queryOf(const std::string &target, const std::string &name)
{
    std::istringstream parts(target.substr(std::min(target.size(), target.find('?') + 1)));
    std::string part;
    while (std::getline(parts, part, '&')) {
        if (part.rfind(name + "=", 0) == 0) {
            std::string value;
            for (std::size_t i = name.size() + 1; i < part.size(); ++i) {
                if (part[i] == '%' && i + 2 < part.size()) {
                    value += static_cast<char>(std::strtoul(part.substr(i + 1, 2).c_str(), nullptr, 16));
                    i += 2;
                } else {
                    value += part[i];
                }
            }
            return value;
        }
    }
    return {};
}

// ---------------------------------------------------------------- the platform's store

/// The metadata store: kv-key is not needed by the system; kv-range and kv-watch are.
class Store
{
public:
    Store(const std::string &ip, std::uint16_t port)
        : m_listener(ip, port, [this](int fd) { serve(fd); })
    {
    }
    ~Store()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_stopping = true;
        }
        m_changed.notify_all();
        m_listener.stop();
    }

    /// The return of this call is the store's acknowledgement.
    std::uint64_t put(const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(m_mutex);
        const std::uint64_t revision = ++m_revision;
        const auto known = m_items.find(key);
        const std::uint64_t created = known == m_items.end() ? revision : known->second.created;
        m_items[key] = Item {value, revision, created};
        m_events.push_back({key, value, revision, created, false});
        m_changed.notify_all();
        return revision;
    }
    void remove(const std::string &key)
    {
        const std::lock_guard lock(m_mutex);
        if (m_items.erase(key) > 0) {
            m_events.push_back({key, "", ++m_revision, 0, true});
            m_changed.notify_all();
        }
    }

private:
    struct Item
    {
        std::string value;
        std::uint64_t revision;
        std::uint64_t created;
    };
    struct Event
    {
        std::string key;
        std::string value;
        std::uint64_t revision;
        std::uint64_t created;
        bool removed;
    };

    static std::string json(const std::string &key, const std::string &value, std::uint64_t revision,
                            std::uint64_t created)
    {
        return "{\"key\":\"" + key + "\",\"value\":\"" + base64(value) + "\",\"rev\":" + std::to_string(revision)
            + ",\"create-revision\":" + std::to_string(created) + ",\"lease\":0}";
    }

    std::string range(const std::string &prefix, const std::string &after)
    {
        const std::lock_guard lock(m_mutex);
        std::string items;
        int count = 0;
        bool more = false;
        for (const auto &[key, item] : m_items) {
            if (key.rfind(prefix, 0) != 0 || (!after.empty() && key <= after)) {
                continue;
            }
            if (count == 500) {
                more = true;
                break;
            }
            items += (count++ > 0 ? "," : "") + json(key, item.value, item.revision, item.created);
        }
        return "{\"items\":[" + items + "],\"has-more\":" + (more ? "true" : "false")
            + ",\"store-revision\":" + std::to_string(m_revision) + "}";
    }

    std::string watch(const std::string &prefix, std::uint64_t after, std::int64_t waitMs)
    {
        std::unique_lock lock(m_mutex);
        const auto until = Clock::now() + Ms(std::min<std::int64_t>(waitMs, 30'000));
        const auto concerns = [&](const Event &event) {
            return event.revision > after && event.key.rfind(prefix, 0) == 0;
        };
        m_changed.wait_until(lock, until,
                             [&] { return m_stopping || std::any_of(m_events.begin(), m_events.end(), concerns); });
        std::string events;
        for (const Event &event : m_events) {
            if (!concerns(event)) {
                continue;
            }
            events += events.empty() ? "" : ",";
            events += event.removed
                ? "{\"key\":\"" + event.key + "\",\"rev\":" + std::to_string(event.revision) + ",\"removed\":true}"
                : json(event.key, event.value, event.revision, event.created);
        }
        return "{\"events\":[" + events + "],\"store-revision\":" + std::to_string(m_revision) + "}";
    }

    void serve(int fd)
    {
        Reader reader(fd);
        Head head;
        while (reader.readHead(head, Clock::now() + std::chrono::hours(1)) == ReadEnd::Complete) {
            std::istringstream words(head.first);
            std::string method;
            std::string target;
            words >> method >> target;
            std::string body;
            std::string status = "200 OK";
            if (target.rfind("/jasminemast/kv-range", 0) == 0) {
                body = range(queryOf(target, "prefix"), queryOf(target, "after"));
            } else if (target.rfind("/jasminemast/kv-watch", 0) == 0) {
                body = watch(queryOf(target, "prefix"), std::strtoull(queryOf(target, "after").c_str(), nullptr, 10),
                             std::strtoll(queryOf(target, "wait-ms").c_str(), nullptr, 10));
            } else {
                status = "404 Not Found";
                body = "{}";
            }
            sleepMs(4); // the store's usual time for an answer
            if (!sendAll(fd,
                         "HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\nContent-Length: "
                             + std::to_string(body.size()) + "\r\n\r\n" + body)) {
                return;
            }
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::uint64_t m_revision = 100;
    std::map<std::string, Item> m_items;
    std::vector<Event> m_events;
    bool m_stopping = false;
    Listener m_listener;
};

// ---------------------------------------------------------------- servers

/// One request that reached a server.
struct Run
{
    std::string id;
    std::string method;
    std::string server;
    std::int64_t arrivedMs = 0;
    std::int64_t startedMs = -1; ///< -1: it was rejected and has not run
    std::int64_t endedMs = -1;
    std::string end = "running"; ///< answered, deadline, dropped (its connection closed), cut (the server exited)
    std::size_t bodyBytes = 0;
};

struct ServerSettings
{
    std::string ip;
    std::uint16_t port = 0;
    std::string id;
    std::string service;
    std::string zone;
    unsigned slots = 12;
    unsigned queue = 48;
    std::size_t responseBytes = 400;
    bool tellsPace = false; ///< adds the fourth figure of X-Server-Load: work takes as long as usual on its machine
};

/// A sound server of the users' pages.
class Server
{
public:
    Server(ServerSettings settings, Store &store, std::int64_t heartbeatMs = 1500)
        : m_settings(std::move(settings))
        , m_store(store)
        , m_born(unixMs())
        , m_heartbeatMs(heartbeatMs)
        , m_listener(std::make_unique<Listener>(m_settings.ip, m_settings.port, [this](int fd) { serve(fd); }))
    {
        report();
        m_beats = std::thread([this] { beat(); });
    }
    ~Server()
    {
        exit();
    }

    /// The work of each request that starts from now on.
    void setWork(std::function<std::int64_t(const Head &)> work)
    {
        const std::lock_guard lock(m_mutex);
        m_work = std::move(work);
    }
    /// The server is cold from now on, for \p ms: its health responses say so at once, its entry with its next report.
    void becomeCold(std::int64_t ms)
    {
        const std::lock_guard lock(m_mutex);
        m_coldUntil = Clock::now() + Ms(ms);
    }
    /// Waits for the next report to the store.
    void awaitReport()
    {
        const std::uint64_t before = m_sequence;
        while (m_sequence == before) {
            sleepMs(1);
        }
    }
    /// Reports that it leaves; returns when the store has accepted that.
    void drain()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_draining = true;
        }
        report();
    }
    /// Ends the process of the server: its entry goes, its connections close.
    void exit()
    {
        if (m_exited.exchange(true)) {
            return;
        }
        m_wakeUp.notify_all();
        m_slotFree.notify_all();
        m_beats.join();
        m_listener->stop();
        m_store.remove("servers/" + m_settings.id);
    }
    [[nodiscard]] std::vector<Run> runs() const
    {
        const std::lock_guard lock(m_mutex);
        return m_runs;
    }
    [[nodiscard]] std::uint64_t healthQuestions() const
    {
        const std::lock_guard lock(m_mutex);
        return m_healthQuestions;
    }
    [[nodiscard]] const ServerSettings &settings() const
    {
        return m_settings;
    }

private:
    void report()
    {
        const std::lock_guard lock(m_reportMutex);
        bool draining = false;
        std::int64_t coldMs = 0;
        {
            const std::lock_guard state(m_mutex);
            draining = m_draining;
            coldMs = coldLeftMs();
        }
        m_store.put("servers/" + m_settings.id,
                    "{\"address\":\"" + m_settings.ip + ":" + std::to_string(m_settings.port)
                        + "\",\"born\":" + std::to_string(m_born) + ",\"info\":{\"service\":\"" + m_settings.service
                        + "\",\"version\":\"v1\",\"zone\":\"" + m_settings.zone
                        + "\",\"slots\":" + std::to_string(m_settings.slots) + "},\"status\":{\"state\":\""
                        + (draining ? "draining" : "ready") + "\",\"seq\":" + std::to_string(++m_sequence)
                        + ",\"cold-left-ms\":" + std::to_string(coldMs) + "}}");
    }

    void beat()
    {
        std::unique_lock lock(m_beatMutex);
        while (!m_exited) {
            m_wakeUp.wait_for(lock, Ms(m_heartbeatMs), [this] { return m_exited.load(); });
            if (!m_exited) {
                report();
            }
        }
    }

    [[nodiscard]] std::int64_t coldLeftMs() const
    {
        return std::max<std::int64_t>(0, std::chrono::duration_cast<Ms>(m_coldUntil - Clock::now()).count());
    }

    [[nodiscard]] std::string loadHeader() const
    {
        return std::to_string(m_running) + "," + std::to_string(m_waiting) + "," + std::to_string(m_settings.slots)
            + (m_settings.tellsPace ? ",100" : "");
    }

    static bool isClosed(int fd)
    {
        pollfd watched {fd, POLLIN | POLLRDHUP, 0};
        return ::poll(&watched, 1, 0) > 0 && (watched.revents & (POLLHUP | POLLERR | POLLRDHUP)) != 0;
    }

    void serve(int fd)
    {
        Reader reader(fd);
        Head head;
        while (!m_exited && reader.readHead(head, Clock::now() + Ms(10'000)) == ReadEnd::Complete) {
            std::string body;
            if (reader.readBody(head, body, Clock::now() + Ms(30'000), false) != ReadEnd::Complete) {
                return;
            }
            const bool isHealth = head.first.rfind("GET /healthz ", 0) == 0;
            if (isHealth ? !answerHealth(fd) : !answer(fd, head, body)) {
                return;
            }
        }
    }

    bool answerHealth(int fd)
    {
        std::int64_t coldMs = 0;
        bool draining = false;
        {
            const std::lock_guard lock(m_mutex);
            coldMs = coldLeftMs();
            draining = m_draining;
            ++m_healthQuestions;
        }
        return sendAll(fd,
                       std::string("HTTP/1.1 ") + (draining ? "503 Service Unavailable" : "200 OK")
                           + "\r\nX-Instance-Id: " + m_settings.id + "\r\nX-Server-Load: " + load()
                           + "\r\nX-Cold-Ms: " + std::to_string(coldMs) + "\r\nContent-Length: 0\r\n\r\n");
    }

    bool respond(int fd, const Head &request, const std::string &status, const std::string &headers,
                 const std::string &body)
    {
        return sendAll(fd,
                       "HTTP/1.1 " + status + "\r\nX-Request-Id: " + request.get("X-Request-Id")
                           + "\r\nX-Instance-Id: " + m_settings.id + "\r\nX-Server-Load: " + load() + "\r\n" + headers
                           + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    std::string load()
    {
        const std::lock_guard lock(m_mutex);
        return loadHeader();
    }

    bool answer(int fd, const Head &head, const std::string &body)
    {
        const std::string expected = head.get("X-Expect-Instance");
        if (!expected.empty() && expected != m_settings.id) {
            return respond(fd, head, "421 Misdirected Request", "", "");
        }
        std::istringstream words(head.first);
        Run run;
        words >> run.method;
        run.id = head.get("X-Request-Id");
        run.server = m_settings.id;
        run.arrivedMs = nowMs();
        run.bodyBytes = body.size();
        const std::string deadlineText = head.get("X-Deadline-Ms");
        const auto until = Clock::now() + Ms(deadlineText.empty() ? 60'000 : std::atoll(deadlineText.c_str()));
        std::unique_lock lock(m_mutex);
        const std::size_t index = m_runs.size();
        m_runs.push_back(run);
        const auto reject = [&] {
            m_runs[index].end = "rejected";
            lock.unlock();
            return respond(fd, head, "503 Service Unavailable", "X-Not-Executed: 1\r\n", "");
        };
        if (m_running >= m_settings.slots) {
            if (m_waiting >= m_settings.queue) {
                return reject();
            }
            ++m_waiting;
            while (m_running >= m_settings.slots && !m_exited && Clock::now() < until && !isClosed(fd)) {
                m_slotFree.wait_for(lock, Ms(5));
            }
            --m_waiting;
            if (isClosed(fd)) {
                m_runs[index].end = "dropped";
                return false;
            }
            if (m_exited) {
                m_runs[index].end = "cut";
                return false;
            }
            if (m_running >= m_settings.slots || Clock::now() >= until) {
                return reject();
            }
        }
        ++m_running;
        m_runs[index].startedMs = nowMs();
        const auto finish = Clock::now() + Ms(m_work ? m_work(head) : 0);
        std::string end = "answered";
        while (Clock::now() < finish) {
            if (Clock::now() >= until) {
                end = "deadline";
                break;
            }
            if (m_exited) {
                end = "cut";
                break;
            }
            const auto left = std::chrono::duration_cast<Ms>(std::min(finish, until) - Clock::now());
            lock.unlock();
            sleepMs(std::clamp<std::int64_t>(left.count(), 1, 5));
            const bool closed = isClosed(fd);
            lock.lock();
            if (closed) {
                end = "dropped";
                break;
            }
        }
        --m_running;
        m_runs[index].end = end;
        m_runs[index].endedMs = nowMs();
        m_slotFree.notify_all();
        lock.unlock();
        if (end == "dropped" || end == "cut") {
            return false;
        }
        const std::string seal = "X-Server-Seal: " + m_settings.id + "." + run.id + "\r\n";
        if (end == "deadline") {
            return respond(fd, head, "504 Gateway Timeout", seal, "");
        }
        return respond(fd, head, "200 OK", seal, std::string(m_settings.responseBytes, 'r'));
    }

    ServerSettings m_settings;
    Store &m_store;
    std::int64_t m_born;
    std::int64_t m_heartbeatMs;
    mutable std::mutex m_mutex;
    std::mutex m_reportMutex;
    std::mutex m_beatMutex;
    std::condition_variable m_wakeUp;
    std::condition_variable m_slotFree;
    std::function<std::int64_t(const Head &)> m_work;
    std::vector<Run> m_runs;
    unsigned m_running = 0;
    unsigned m_waiting = 0;
    std::atomic<std::uint64_t> m_sequence {0};
    std::uint64_t m_healthQuestions = 0;
    Clock::time_point m_coldUntil {};
    bool m_draining = false;
    std::atomic<bool> m_exited {false};
    std::unique_ptr<Listener> m_listener;
    std::thread m_beats;
};

// ---------------------------------------------------------------- the system's processes

struct Ports
{
    std::uint16_t outbound = 8129;
    std::uint16_t ready = 8125;
    std::uint16_t app = 8128;
    std::uint16_t link = 7600;
    std::uint16_t store = 8127;
};

struct Machine
{
    std::string ip;
    std::string zone;
    std::string region;
    std::string service;
};

/// Replaces the placeholders of deploy/settings.json that a deployment of these pages fills in.
inline std::string renderTemplate(std::string text, const Machine &machine, const Ports &ports,
                                  const std::map<std::string, std::string> &zones, const std::string &storeIp,
                                  double linkMbps, double graceSeconds)
{
    const auto replaceAll = [&text](const std::string &from, const std::string &to) {
        for (std::size_t at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size())) {
            text.replace(at, from.size(), to);
        }
    };
    const auto number = [](double value) {
        std::ostringstream out;
        out << value;
        return out.str();
    };
    const std::string open = "{{#zones}}";
    const std::string close = "{{/zones}}";
    const std::size_t begin = text.find(open);
    const std::size_t end = text.find(close);
    if (begin != std::string::npos && end != std::string::npos) {
        const std::string entry = text.substr(begin + open.size(), end - begin - open.size());
        std::string list;
        std::size_t index = 0;
        for (const auto &[zone, region] : zones) {
            std::string item = entry;
            const auto fill = [&item](const std::string &from, const std::string &to) {
                for (std::size_t at = item.find(from); at != std::string::npos; at = item.find(from, at + to.size())) {
                    item.replace(at, from.size(), to);
                }
            };
            fill("{{@}}", zone);
            fill("{{.}}", region);
            fill("{{,}}", ++index < zones.size() ? "," : "");
            list += item;
        }
        text.replace(begin, end + close.size() - begin, list);
    }
    replaceAll("{{#bounds.grace-s}}", "");
    replaceAll("{{/bounds.grace-s}}", "");
    replaceAll("{{bounds.grace-s}}", number(graceSeconds));
    replaceAll("{{ip}}", machine.ip);
    replaceAll("{{region}}", machine.region);
    replaceAll("{{zone}}", machine.zone);
    replaceAll("{{service}}", machine.service);
    replaceAll("{{listen.outbound}}", machine.ip + ":" + std::to_string(ports.outbound));
    replaceAll("{{listen.ready}}", machine.ip + ":" + std::to_string(ports.ready));
    replaceAll("{{internal-ports.0}}", std::to_string(ports.link));
    replaceAll("{{app-addr}}", machine.ip + ":" + std::to_string(ports.app));
    replaceAll("{{platform.address}}", storeIp + ":" + std::to_string(ports.store));
    replaceAll("{{limits.link-mbps}}", number(linkMbps));
    if (text.find("{{") != std::string::npos) {
        throw std::runtime_error("unknown placeholder in deploy/settings.json: " + text.substr(text.find("{{"), 40));
    }
    return text;
}

inline std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        throw std::runtime_error("cannot read " + path);
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/// One process of the system, started with the command of the deploy file.
class Process
{
public:
    Process(std::string root, std::string settingsPath, std::string logPath)
        : m_root(std::move(root))
        , m_settingsPath(std::move(settingsPath))
        , m_logPath(std::move(logPath))
    {
        start();
    }
    ~Process()
    {
        kill(SIGKILL);
        wait();
    }
    void start()
    {
        const std::string program = m_root + "/target/tools/jasminemast/jasminemast";
        const std::string argument = "--settings=" + m_settingsPath;
        const pid_t parent = ::getpid();
        m_pid = ::fork();
        if (m_pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (::getppid() != parent) {
                ::_exit(127);
            }
            const int log = ::open(m_logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(log, 1);
            ::dup2(log, 2);
            if (::chdir(m_root.c_str()) != 0) {
                ::_exit(127);
            }
            ::setenv("JASMINEMAST_SETTINGS", m_settingsPath.c_str(), 1);
            ::execl(program.c_str(), program.c_str(), "node", argument.c_str(), static_cast<char *>(nullptr));
            ::_exit(127);
        }
    }
    void kill(int signal) const
    {
        if (m_pid > 0) {
            ::kill(m_pid, signal);
        }
    }
    /// True if the process has ended.
    bool hasEnded()
    {
        if (m_pid > 0 && ::waitpid(m_pid, &m_status, WNOHANG) == m_pid) {
            m_pid = -1;
        }
        return m_pid < 0;
    }
    void wait()
    {
        if (m_pid > 0) {
            ::waitpid(m_pid, &m_status, 0);
            m_pid = -1;
        }
    }
    [[nodiscard]] pid_t pid() const
    {
        return m_pid;
    }
    [[nodiscard]] int status() const
    {
        return m_status;
    }

private:
    std::string m_root;
    std::string m_settingsPath;
    std::string m_logPath;
    pid_t m_pid = -1;
    int m_status = 0;
};

/// What the platform's question to `ready` gets.
inline int askReady(const std::string &ip, std::uint16_t port)
{
    const int fd = connectTo(ip, port, 500);
    if (fd < 0) {
        return 0;
    }
    Reader reader(fd);
    Head head;
    const bool answered = sendAll(fd, "GET /jasminemast/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
        && reader.readHead(head, Clock::now() + Ms(500)) == ReadEnd::Complete;
    ::close(fd);
    return answered && head.first.size() > 12 ? std::atoi(head.first.c_str() + 9) : 0;
}

inline bool waitReady(const std::string &ip, std::uint16_t port, std::int64_t timeoutMs)
{
    const std::int64_t until = nowMs() + timeoutMs;
    while (nowMs() < until) {
        if (askReady(ip, port) == 200) {
            return true;
        }
        sleepMs(50);
    }
    return false;
}

// ---------------------------------------------------------------- clients

struct Answer
{
    int status = 0; ///< 0: no complete answer
    ReadEnd end = ReadEnd::Complete;
    bool hasReceivedSome = false; ///< of the answer
    bool sealed = false;
    Head head;
    std::string body;
    std::int64_t sentMs = 0;
    std::int64_t endedMs = 0;
};

/// A client's connection.
class Connection
{
public:
    Connection(std::string ip, std::uint16_t port)
        : m_ip(std::move(ip))
        , m_port(port)
    {
    }
    ~Connection()
    {
        close();
    }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    bool open()
    {
        if (m_fd < 0) {
            m_fd = connectTo(m_ip, m_port);
            m_reader = std::make_unique<Reader>(m_fd);
        }
        return m_fd >= 0;
    }
    void close()
    {
        if (m_fd >= 0) {
            ::close(m_fd);
            m_fd = -1;
        }
    }
    [[nodiscard]] bool isOpen() const
    {
        return m_fd >= 0;
    }
    [[nodiscard]] int descriptor() const
    {
        return m_fd;
    }
    /// True if the node has closed the connection while no request was waiting.
    [[nodiscard]] bool isClosedByPeer() const
    {
        pollfd watched {m_fd, POLLIN | POLLRDHUP, 0};
        return ::poll(&watched, 1, 0) > 0;
    }

    Answer request(const std::string &method, const std::string &host, const std::string &path, const std::string &id,
                   std::int64_t deadlineMs, const std::string &body = {})
    {
        Answer answer;
        answer.sentMs = nowMs();
        const auto until = Clock::now() + Ms(deadlineMs);
        std::string head = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Request-Id: " + id
            + "\r\nX-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\n";
        if (method != "GET") {
            head += "Content-Length: " + std::to_string(body.size()) + "\r\n";
        }
        if (!sendAll(m_fd, head + "\r\n" + body)) {
            answer.end = ReadEnd::Reset;
        } else {
            answer.end = m_reader->readHead(answer.head, until);
            answer.hasReceivedSome = m_reader->received();
            if (answer.end == ReadEnd::Complete) {
                const int status = std::atoi(answer.head.first.c_str() + 9);
                answer.end = m_reader->readBody(answer.head, answer.body, until, true);
                answer.status = answer.end == ReadEnd::Complete ? status : 0;
                answer.sealed = answer.head.has("X-Server-Seal");
            }
        }
        answer.endedMs = nowMs();
        if (answer.status == 0 || answer.head.get("Connection") == "close") {
            close();
        }
        return answer;
    }

private:
    std::string m_ip;
    std::uint16_t m_port;
    int m_fd = -1;
    std::unique_ptr<Reader> m_reader;
};

inline const char *nameOf(ReadEnd end)
{
    switch (end) {
    case ReadEnd::Complete:
        return "complete";
    case ReadEnd::Closed:
        return "closed";
    case ReadEnd::Reset:
        return "reset";
    case ReadEnd::TimedOut:
        return "timed out";
    }
    return "?";
}

// ---------------------------------------------------------------- a deployment

struct RouteText
{
    std::string name;
    std::string host;
    std::string prefix;
    std::string kind;
    std::string service;
    int timeoutMs = 2000;
    int targetLatencyMs = 600;
    int priority = 1;
    int attempts = 2;
};

inline std::string configurationText(unsigned version, const std::vector<RouteText> &routes,
                                     const std::set<std::string> &services, const std::string &serviceLimits = {})
{
    char number[16];
    std::snprintf(number, sizeof(number), "%08x", version);
    std::string text = std::string("{\"version\":\"") + number + "\",\"resources\":[";
    for (const RouteText &route : routes) {
        text += "{\"type-url\":\"routes\",\"metadata\":{\"name\":\"" + route.name + "\"},\"spec\":{\"host\":\""
            + route.host + "\",\"prefix\":\"" + route.prefix + "\",\"kind\":\"" + route.kind + "\",\"timeout-ms\":"
            + std::to_string(route.timeoutMs) + ",\"target-latency-ms\":" + std::to_string(route.targetLatencyMs)
            + ",\"priority\":" + std::to_string(route.priority) + ",\"service\":\"" + route.service
            + "\",\"attempts\":" + std::to_string(route.attempts) + "}},";
    }
    for (const std::string &service : services) {
        text += "{\"type-url\":\"services\",\"metadata\":{\"name\":\"" + service
            + "\"},\"spec\":{\"health-path\":\"/healthz\",\"max-conns\":110,\"protocol\":\"h1\",\"tls\":false"
            + serviceLimits + "}},";
    }
    return text
        + "{\"type-url\":\"limits\",\"metadata\":{},\"spec\":{\"max-header-bytes\":16384,\"max-body-bytes\":67108864,"
          "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}]}";
}

/// The machines of a small deployment, each with its server and its process of the system, and the store.
class Deployment
{
public:
    /// \p folder: temporary, for settings and logs.
    Deployment(std::string root, std::string folder, std::vector<Machine> machines,
               std::map<std::string, std::string> zones, double linkMbps, double graceSeconds)
        : m_root(std::move(root))
        , m_folder(std::move(folder))
        , m_machines(std::move(machines))
    {
        chooseNetwork();
        store = std::make_unique<Store>(m_storeIp, ports.store);
        const std::string text = readFile(m_root + "/deploy/settings.json");
        for (const Machine &machine : m_machines) {
            std::ofstream(settingsPath(machine))
                << renderTemplate(text, machine, ports, zones, m_storeIp, linkMbps, graceSeconds);
        }
    }

    [[nodiscard]] const std::vector<Machine> &machines() const
    {
        return m_machines;
    }
    std::unique_ptr<Process> startProcess(std::size_t index) const
    {
        const Machine &machine = m_machines.at(index);
        return std::make_unique<Process>(m_root, settingsPath(machine), m_folder + "/" + machine.ip + ".log");
    }
    [[nodiscard]] std::string logPath(std::size_t index) const
    {
        return m_folder + "/" + m_machines.at(index).ip + ".log";
    }

    Ports ports;
    std::unique_ptr<Store> store;

private:
    /// Takes a loopback network on which no port of the machines is in use.
    void chooseNetwork()
    {
        constexpr int MaxTries = 20;
        for (int i = 0; i < MaxTries; ++i) {
            const std::string network = "127." + std::to_string(64 + (::getpid() + 11 * i) % 150) + ".0.";
            m_storeIp = network + "200";
            bool isFree = isPortFree(m_storeIp, ports.store);
            for (std::size_t m = 0; m < m_machines.size(); ++m) {
                m_machines[m].ip = network + std::to_string(10 + m);
                for (const std::uint16_t port : {ports.outbound, ports.ready, ports.app, ports.link}) {
                    isFree = isFree && isPortFree(m_machines[m].ip, port);
                }
            }
            if (isFree) {
                return;
            }
        }
        throw std::runtime_error("no loopback network with free ports");
    }
    [[nodiscard]] std::string settingsPath(const Machine &machine) const
    {
        return m_folder + "/" + machine.ip + ".json";
    }

    std::string m_root;
    std::string m_folder;
    std::vector<Machine> m_machines;
    std::string m_storeIp;
};

/// TROUBLE=0 leaves the disruption out.
inline bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

} // namespace lab
