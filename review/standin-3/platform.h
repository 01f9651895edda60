// Stand-ins of the users' platform, servers and clients, and the processes of a case: plain sockets and threads.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace review
{

using Clock = std::chrono::steady_clock;

/// Milliseconds since the start of the case.
long nowMs();
void sleepMs(long milliseconds);

/// The file record.txt: one line for each thing that was sent, answered or run.
class Record
{
public:
    explicit Record(const std::string &path);
    void line(const std::string &text);

private:
    std::FILE *m_file;
    std::mutex m_mutex;
};

struct Message
{
    std::string start; ///< request line or status line
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string body;

    [[nodiscard]] std::string header(const std::string &name) const;
    [[nodiscard]] std::string method() const;
    [[nodiscard]] std::string target() const;
    [[nodiscard]] int status() const;
};

/// A connected socket with a read buffer.
class Connection
{
public:
    explicit Connection(int descriptor)
        : m_descriptor(descriptor)
    {
    }
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    /// Connects within a second; null if that fails. \p receiveBuffer of zero: as the system sets it.
    static std::unique_ptr<Connection> open(const std::string &ip, int port, int receiveBuffer = 0);

    bool send(const std::string &bytes);
    /// Reads one request or the head of one response; false at the end of the connection or after \p limitMs.
    bool readHead(Message &message, long limitMs = -1);
    bool readMessage(Message &message, long limitMs = -1);
    /// Reads at most \p size bytes; 0 at the end, -1 on an error, -2 after \p limitMs.
    long readSome(std::string &out, std::size_t size, long limitMs);
    [[nodiscard]] int descriptor() const
    {
        return m_descriptor;
    }
    void close();

private:
    bool fill(long untilMs);

    int m_descriptor;
    std::string m_buffer;
};

/// Accepts connections on one address and serves each on a thread of its own.
class Listener
{
public:
    using Handler = std::function<void(Connection &)>;
    Listener(const std::string &ip, int port, Handler handler);
    ~Listener();

private:
    int m_descriptor;
    Handler m_handler;
    std::atomic<bool> m_stop {false};
    std::thread m_thread;
    std::mutex m_mutex;
    std::vector<std::thread> m_connections;
    std::vector<int> m_open;
};

/// The platform's store as its pages describe it.
class Store
{
public:
    Store(const std::string &ip, int port);
    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);

private:
    struct Item
    {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
    };
    struct Event
    {
        std::string key;
        std::uint64_t revision = 0;
        std::string json;
    };
    void serve(Connection &connection);
    std::string range(const std::string &prefix, const std::string &after);
    std::string watch(const std::string &prefix, std::uint64_t after, long waitMs);
    static std::string itemJson(const std::string &key, const Item &item);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::vector<Event> m_events;
    std::uint64_t m_revision = 100;
    std::unique_ptr<Listener> m_listener;
};

/// What a server is told to do with a request.
struct ServerAction
{
    long workMs = 0;
    std::size_t bodyBytes = 0;
};

/// An application server that registers itself in the store.
class Server
{
public:
    using Plan = std::function<ServerAction(const Message &)>;
    Server(Store &store, Record &record, std::string id, std::string service, std::string zone, std::string ip,
           unsigned slots, Plan plan);
    ~Server();
    void setState(const std::string &state);
    /// How often a request with this id was run.
    int runs(const std::string &requestId);
    [[nodiscard]] const std::string &id() const
    {
        return m_id;
    }

private:
    void serve(Connection &connection);
    void report();

    Store &m_store;
    Record &m_record;
    std::string m_id;
    std::string m_service;
    std::string m_zone;
    std::string m_ip;
    unsigned m_slots;
    Plan m_plan;
    std::string m_state = "ready";
    std::uint64_t m_sequence = 1;
    long long m_born;
    std::mutex m_mutex;
    std::condition_variable m_slotFree;
    unsigned m_running = 0;
    std::map<std::string, int> m_runs;
    std::unique_ptr<Listener> m_listener;
};

struct NodePlan
{
    std::string program;
    std::string ip;
    std::string zone;
    std::string region;
    std::string service;
    std::string store; ///< address:port
    std::map<std::string, std::string> zones;
    int memoryMegabytes = 110;
    int linkMegabits = 1000;
    int graceSeconds = 6;
    std::string folder;
};

/// One process of the project beside a server, as the deploy file starts it.
class Node
{
public:
    Node(NodePlan plan, Record &record);
    ~Node();
    void start();
    void signal(int number);
    /// Kills the process and waits for it.
    void kill();
    /// True if the process ended; collects it.
    bool hasEnded();
    bool waitForEnd(long limitMs);
    [[nodiscard]] std::size_t residentBytes() const;
    [[nodiscard]] bool isReady() const;
    bool waitUntilReady(long limitMs) const;
    [[nodiscard]] const std::string &ip() const
    {
        return m_plan.ip;
    }
    [[nodiscard]] pid_t id() const
    {
        return m_id;
    }

private:
    NodePlan m_plan;
    Record &m_record;
    pid_t m_id = -1;
    int m_starts = 0;
};

/// Loopback addresses that no other process of this machine listens on, for one case.
std::string freeNetwork();

constexpr int StorePort = 8627;
constexpr int ServerPort = 8628;
constexpr int OutboundPort = 8629;
constexpr int ReadyPort = 8625;
constexpr int LinkPort = 7600;

std::string format(const char *pattern, ...) __attribute__((format(printf, 1, 2)));

} // namespace review
