// Stand-ins of the users' platform for the review's scripts: store, servers, clients, and the supervisor of the nodes.
// Blocking sockets and one thread per connection; no dependency but the C++ library.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
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
using std::chrono::milliseconds;

/// The case could not run; the script exits with 2.
struct CannotRun
{
    std::string reason;
};

/// Milliseconds since the start of the program.
double nowMs();
void sleepMs(double ms);

/// Lines of record.txt, from all threads.
class Record
{
public:
    explicit Record(const std::string &path);
    void add(const std::string &line);

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

struct Address
{
    std::string ip;
    int port = 0;
    [[nodiscard]] std::string text() const
    {
        return ip + ":" + std::to_string(port);
    }
};

/// Loopback addresses and ports that nothing listens on.
std::string freeNetwork(); ///< "127.a.b."
std::vector<int> freePorts(const std::string &ip, int count);

struct Headers : std::map<std::string, std::string> ///< lower-case names
{
    [[nodiscard]] std::string get(const std::string &name) const
    {
        const auto found = find(name);
        return found == end() ? std::string() : found->second;
    }
};

/// An HTTP/1.1 connection with blocking calls.
class Connection
{
public:
    explicit Connection(int socket)
        : m_socket(socket)
    {
    }
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    static std::unique_ptr<Connection> open(const Address &address, int timeoutMs);
    bool send(const std::string &bytes);
    /// First line and headers; false at the end of the connection or after an error.
    bool readHead(std::string &first, Headers &headers);
    bool readBody(std::size_t size, std::string &body);
    bool readChunked(std::string &body);
    /// True if the other side has closed the connection.
    [[nodiscard]] bool isClosed() const;
    void shutdown();

private:
    bool fill();
    int m_socket;
    std::string m_input;
};

/// Accepts connections and serves each in its own thread.
class Listener
{
public:
    using Handler = std::function<void(Connection &)>;
    Listener(const Address &address, Handler handler);
    ~Listener();
    /// Closes the listener and all connections, as at the end of the process.
    void close();

private:
    int m_socket = -1;
    Handler m_handler;
    std::mutex m_mutex;
    std::condition_variable m_idle;
    std::vector<Connection *> m_open;
    int m_running = 0;
    bool m_closed = false;
    std::thread m_thread;
};

/// The platform's store in the form "read".
class Store
{
public:
    Store(const Address &address, Record &record);
    /// Both return when the store has acknowledged the change.
    std::uint64_t put(const std::string &key, const std::string &value);
    std::uint64_t remove(const std::string &key);

private:
    void serve(Connection &connection);
    std::string answer(const std::string &target);

    struct Event
    {
        std::string key;
        std::uint64_t revision = 0;
        std::optional<std::string> value; ///< nothing: removed
    };
    static std::string itemJson(const Event &event);

    Record &m_record;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::uint64_t m_revision = 100;
    std::map<std::string, Event> m_items;
    std::vector<Event> m_events;
    std::unique_ptr<Listener> m_listener;
};

struct Run
{
    std::string id;
    double atMs = 0; ///< when the request reached the server
};

/// One incarnation of a server.
class Server
{
public:
    Server(const Address &address, std::string id, double workMs, Record &record);
    std::vector<Run> runs();
    void end(); ///< as at the end of its process

private:
    void serve(Connection &connection);

    std::string m_id;
    double m_workMs;
    Record &m_record;
    std::mutex m_mutex;
    std::vector<Run> m_runs;
    std::atomic<bool> m_ended {false};
    std::unique_ptr<Listener> m_listener;
};

/// The body of servers/ID.
std::string serverEntry(const Address &address, const std::string &service, const std::string &zone,
                        const std::string &state, int seq, std::int64_t born);

struct RouteEntry
{
    std::string name, host, prefix, kind, service;
    int timeoutMs = 2000;
};
/// The body of op/config.
std::string configuration(int version, const std::vector<RouteEntry> &routes, const std::vector<std::string> &services);

/// A node that the supervisor starts with the command and the settings template of deploy/system.toml.
class Node
{
public:
    Node(std::string root, std::string folder, std::string ip, std::string zone, std::string service,
         const std::vector<int> &ports, const Address &store, std::map<std::string, std::string> zones, Record &record);
    ~Node();
    void start();
    void waitUntilReady();
    void kill();
    [[nodiscard]] Address outbound() const
    {
        return {m_ip, m_ports[0]};
    }
    [[nodiscard]] Address app() const
    {
        return {m_ip, m_ports[3]};
    }
    [[nodiscard]] long memoryMb() const; ///< resident; 0 if the process has ended
    [[nodiscard]] const std::string &zone() const
    {
        return m_zone;
    }

private:
    std::string m_root, m_folder, m_ip, m_zone, m_service;
    std::vector<int> m_ports; ///< outbound, ready, internal, app
    Record &m_record;
    std::string m_settingsPath;
    std::atomic<pid_t> m_pid {0};
};

struct Answer
{
    int status = 0; ///< 0: the connection ended without a complete answer
    std::string seal;
    bool closes = false;
};
/// Sends one request on \p connection and reads its answer.
Answer call(Connection &connection, const std::string &method, const std::string &host, const std::string &path,
            const std::string &id, int deadlineMs, const std::string &body);

} // namespace review
