// Node processes, and the stand-ins for platform and targets.
#include "fleet.h"

#include "jasminemast/config/ticket.h"

#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <deque>
#include <fstream>
#include <iostream>
#include <stdexcept>
#include <utility>

namespace jasminemast::fleet
{

namespace
{

constexpr std::uint16_t CallerPort = 7000;
constexpr std::uint16_t OperatorPort = 7001;
constexpr std::uint16_t LinkPort = 7002;
constexpr std::uint16_t TargetPort = 7003;
constexpr std::uint16_t PlatformPort = 7004;
constexpr int MaxReadyPolls = 200;
constexpr int NeverReady = -1000; ///< recorded as an exit status if the restarted node does not become ready
constexpr Milliseconds ReadyPollInterval {50};
constexpr Milliseconds StatePollInterval {10};
constexpr Milliseconds LongPollTime {5'000};
constexpr std::uint64_t MaxServiceMs = 20;
constexpr std::uint64_t MaxTimeoutMs = 600'000; ///< the longest that a route may have
constexpr unsigned StatusOk = 200;
constexpr unsigned StatusNotFound = 404;
constexpr std::size_t PrintedLogLines = 60;

std::string hostName(std::size_t host)
{
    return "h" + std::to_string(host);
}

/// A new directory, whose name no earlier fleet has used.
std::filesystem::path makeDirectory()
{
    std::string name = (std::filesystem::temp_directory_path() / "jasminemast-fleet-XXXXXX").string();
    if (::mkdtemp(name.data()) == nullptr) {
        throw std::runtime_error("cannot create " + name);
    }
    return name;
}

/// The exit status, or the negative number of the signal that ended the process.
int exitStatus(int waitStatus)
{
    return WIFEXITED(waitStatus) ? WEXITSTATUS(waitStatus) : -WTERMSIG(waitStatus);
}

} // namespace

Fleet::Fleet(std::size_t hosts, FleetOptions options)
    : m_addressPrefix("127." + std::to_string(64 + ::getpid() % 128) + "." + std::to_string(::getpid() / 128 % 256)
                      + ".")
    , m_directory(makeDirectory())
    , m_options(std::move(options))
    , m_nodes(hosts, 0)
{
    HttpServerLimits targetLimits;
    targetLimits.maxBodyBytes = m_options.targetMaxBodyBytes;
    for (std::size_t host = 0; host < hosts; ++host) {
        auto target = std::make_unique<Target>();
        target->server = std::make_unique<HttpServer>(
            m_loop, SocketAddress {address(host), TargetPort}, targetLimits,
            [this, host](const std::shared_ptr<HttpExchange> &exchange) { handleTargetRequest(host, exchange); },
            [](ResultCode) {});
        m_targets.push_back(std::move(target));
    }
    publishConfiguration();
    m_platform = std::make_unique<HttpServer>(
        m_loop, SocketAddress {address(0), PlatformPort}, HttpServerLimits {},
        [this](const std::shared_ptr<HttpExchange> &exchange) { handlePlatformRequest(exchange); }, [](ResultCode) {});
}

Fleet::~Fleet()
{
    for (std::size_t host = 0; host < m_nodes.size(); ++host) {
        if (m_nodes[host] != 0) {
            killNode(host);
        }
    }
    if (!m_keepsDirectory) {
        std::filesystem::remove_all(m_directory);
    }
}

std::string Fleet::address(std::size_t host) const
{
    return m_addressPrefix + std::to_string(host + 1);
}

SocketAddress Fleet::callerAddress(std::size_t host) const
{
    return {address(host), CallerPort};
}

void Fleet::publishConfiguration()
{
    nlohmann::json ticket;
    nlohmann::json hosts = nlohmann::json::array();
    m_ticketDigest = Digest {}.hex();
    ticket["routes"]["all"] = {{"pathPrefix", "/"}, {"service", "all"}};
    for (std::size_t host = 0; host < m_nodes.size(); ++host) {
        const std::string name = hostName(host);
        ticket["services"]["all"]["endpoints"].push_back(name);
        ticket["endpoints"][name] = {{"host", name}, {"port", TargetPort}, {"slots", m_options.targetSlots}};
        ticket["services"][name]["endpoints"].push_back(name);
        ticket["routes"][name] = {{"pathPrefix", "/" + name + "/"}, {"service", name}, {"timeoutMs", MaxTimeoutMs}};
        hosts.push_back(
            {{"host", name}, {"region", "r"}, {"zone", "z"}, {"address", address(host)}, {"state", "live"}});
    }
    m_platformValues["/v1/hosts"] = hosts.dump();
    acceptTicket(ticket);
}

void Fleet::acceptTicket(const nlohmann::json &ticket)
{
    nlohmann::json numbered = ticket;
    numbered["number"] = ++m_ticketNumber;
    numbered["previous"] = m_ticketDigest;
    const std::string bytes = numbered.dump();
    m_ticketDigest = sha256(bytes).hex();
    m_platformValues["/v1/kv/tickets/" + std::to_string(m_ticketNumber)] = bytes;
    m_platformValues["/v1/kv/accepted"]
        = nlohmann::json {{"number", m_ticketNumber}, {"digest", m_ticketDigest}}.dump();
    ++m_platformIndex;
    for (const auto &poll : std::exchange(m_polls, {})) {
        respondToPoll(poll);
    }
}

unsigned Fleet::publishTicket(const std::string &changes)
{
    acceptTicket(nlohmann::json::parse(changes));
    return m_ticketNumber;
}

void Fleet::respondToPoll(const std::shared_ptr<HttpExchange> &exchange)
{
    const auto found = m_platformValues.find(std::string(exchange->request().path()));
    const bool known = found != m_platformValues.end();
    exchange->respond(known ? StatusOk : StatusNotFound, {{"X-Index", std::to_string(m_platformIndex)}},
                      known ? found->second : std::string());
}

void Fleet::handlePlatformRequest(const std::shared_ptr<HttpExchange> &exchange)
{
    if (exchange->request().query("index") != std::to_string(m_platformIndex)) {
        respondToPoll(exchange);
        return;
    }
    m_polls.push_back(exchange);
    runLater(LongPollTime, [this, exchange] {
        if (std::erase(m_polls, exchange) > 0) {
            respondToPoll(exchange);
        }
    });
}

void Fleet::handleTargetRequest(std::size_t host, const std::shared_ptr<HttpExchange> &exchange)
{
    Target &target = *m_targets[host];
    if (exchange->request().path() == "/health") {
        exchange->respond(StatusOk, {}, nlohmann::json {{"state", target.health}, {"load", 0}}.dump());
        return;
    }
    const std::string key(exchange->request().path().substr(1));
    ++m_runsByCall[key];
    ++target.runs;
    const std::string &body = exchange->request().body;
    if (!body.empty()) {
        m_bodyDigests[key].push_back(sha256(body).hex());
    }
    if (target.isWithholding) {
        target.withheld.push_back(exchange);
        return;
    }
    runLater(Milliseconds(m_random.nextBelow(MaxServiceMs)), [this, exchange] { respond(exchange); });
}

void Fleet::respond(const std::shared_ptr<HttpExchange> &exchange)
{
    const std::string key(exchange->request().path().substr(1));
    const std::size_t paddingBytes = std::stoul(exchange->request().query("padding"));
    exchange->respond(StatusOk, {}, responseFor(key, paddingBytes));
}

void Fleet::runLater(Milliseconds delay, std::function<void()> work)
{
    std::erase_if(m_timers, [](const auto &timer) { return !timer->isActive(); });
    // Posted, because the work may start another timer, which destroys this one.
    m_timers.push_back(std::make_unique<Timer>(m_loop, [this, work = std::move(work)] { m_loop.post(work); }));
    m_timers.back()->start(delay);
}

bool Fleet::start()
{
    for (std::size_t host = 0; host < m_nodes.size(); ++host) {
        startNode(host);
    }
    return awaitReady();
}

bool Fleet::awaitReady()
{
    for (int poll = 0; poll < MaxReadyPolls; ++poll) {
        std::size_t ready = 0;
        for (std::size_t host = 0; host < m_nodes.size(); ++host) {
            ready += isReady(host) ? 1 : 0;
        }
        if (ready == m_nodes.size()) {
            return true;
        }
        runFor(ReadyPollInterval);
    }
    return false;
}

HttpClientRequest Fleet::operatorRequest(std::size_t host, const std::string &path) const
{
    HttpClientRequest request;
    request.url = "http://" + address(host) + ":" + std::to_string(OperatorPort) + path;
    return request;
}

bool Fleet::isReady(std::size_t host)
{
    bool ready = false;
    m_client.fetch(operatorRequest(host, "/v1/ready"),
                   [this, &ready](const HttpClientResult &, unsigned status, const HttpHeaders &, const std::string &) {
                       ready = status == StatusOk;
                       m_loop.stop();
                   });
    m_loop.run();
    return ready;
}

void Fleet::startNode(std::size_t host)
{
    const std::string platform = "http://" + address(0) + ":" + std::to_string(PlatformPort);
    nlohmann::json settings = {{"host", hostName(host)},
                               {"region", "r"},
                               {"zone", "z"},
                               {"address", address(host)},
                               {"callerPort", CallerPort},
                               {"operatorPort", OperatorPort},
                               {"linkPort", LinkPort},
                               {"configSource", platform},
                               {"hostList", platform},
                               {"storeRegion", "r"}};
    const auto own = m_options.settings.find(host);
    if (own != m_options.settings.end()) {
        settings.merge_patch(nlohmann::json::parse(own->second));
    }
    const std::string file = (m_directory / (hostName(host) + ".json")).string();
    replaceSettingsFile(host, settings.dump());
    const std::string flag = "--settings=" + file;
    const std::string log = (m_directory / (hostName(host) + ".log")).string();
    const pid_t child = ::fork();
    if (child == 0) {
        // Nodes end with the test process, even if it is killed.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int out = ::open(log.c_str(), O_CREAT | O_APPEND | O_WRONLY | O_CLOEXEC, 0600);
        ::dup2(out, STDERR_FILENO);
        if (m_options.maxDescriptors > 0) {
            const rlimit limit {m_options.maxDescriptors, m_options.maxDescriptors};
            ::setrlimit(RLIMIT_NOFILE, &limit);
        }
        ::execl(JASMINEMAST_BINARY, JASMINEMAST_BINARY, "node", flag.c_str(), "--logtostderr", nullptr);
        ::_exit(127);
    }
    m_nodes[host] = child;
}

void Fleet::changeSettings(std::size_t host, const std::string &settings)
{
    std::ifstream file(m_directory / (hostName(host) + ".json"));
    nlohmann::json changed = nlohmann::json::parse(file);
    changed.merge_patch(nlohmann::json::parse(settings));
    replaceSettingsFile(host, changed.dump());
}

void Fleet::replaceSettingsFile(std::size_t host, const std::string &text)
{
    const std::filesystem::path written = m_directory / (hostName(host) + ".new");
    std::ofstream(written) << text;
    std::filesystem::rename(written, m_directory / (hostName(host) + ".json"));
}

void Fleet::watchExit(std::size_t host)
{
    const sockaddr_in system = toSystemAddress({address(host), LinkPort});
    Descriptor probe(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    if (::connect(probe.get(), reinterpret_cast<const sockaddr *>(&system), sizeof(system)) != 0) {
        throw std::runtime_error("the node accepts no links");
    }
    m_exitProbes[host] = std::move(probe);
}

bool Fleet::isExiting(std::size_t host) const
{
    std::array<char, 1024> sent; // the node's greeting
    ssize_t size = 0;
    do {
        size = ::recv(m_exitProbes.at(host).get(), sent.data(), sent.size(), MSG_DONTWAIT);
    } while (size > 0);
    return size == 0 || errno == ECONNRESET;
}

std::size_t Fleet::countLogged(std::size_t host, std::string_view text) const
{
    std::ifstream log(m_directory / (hostName(host) + ".log"));
    std::size_t lines = 0;
    for (std::string line; std::getline(log, line);) {
        lines += line.find(text) != std::string::npos ? 1 : 0;
    }
    return lines;
}

std::vector<std::string> Fleet::bodyDigestsOf(const std::string &key) const
{
    const auto found = m_bodyDigests.find(key);
    return found == m_bodyDigests.end() ? std::vector<std::string>() : found->second;
}

bool Fleet::isNodeRunning(std::size_t host) const
{
    siginfo_t info {};
    // Leaves the process waitable.
    const int failed = ::waitid(P_PID, static_cast<id_t>(m_nodes[host]), &info, WEXITED | WNOHANG | WNOWAIT);
    return failed == 0 && info.si_pid == 0;
}

void Fleet::signalNode(std::size_t host, int signal)
{
    // kill(0) would signal the test's own process group.
    if (m_nodes[host] != 0) {
        ::kill(m_nodes[host], signal);
    }
}

void Fleet::killNode(std::size_t host)
{
    signalNode(host, SIGKILL);
    int status = 0;
    ::waitpid(m_nodes[host], &status, 0);
    // Otherwise the node has ended before the signal.
    if (exitStatus(status) != -SIGKILL) {
        reportExit(host, exitStatus(status));
    }
}

void Fleet::reportExit(std::size_t host, int status)
{
    if (status == 0) {
        return;
    }
    m_keepsDirectory = true;
    const std::filesystem::path path = m_directory / (hostName(host) + ".log");
    std::cerr << "node " << host << " (process " << m_nodes[host] << ") ended with status " << status
              << "; end of its log, kept as " << path << ":\n";
    std::ifstream log(path);
    std::deque<std::string> lines;
    for (std::string line; std::getline(log, line);) {
        lines.push_back(line);
        if (lines.size() > PrintedLogLines) {
            lines.pop_front();
        }
    }
    for (const std::string &line : lines) {
        std::cerr << "  " << line << '\n';
    }
}

void Fleet::killAndRestartNode(std::size_t host)
{
    killNode(host);
    startNode(host);
}

void Fleet::restartNode(std::size_t host)
{
    if (m_restarting.empty()) {
        m_restarting.insert(host);
        signalNode(host, SIGTERM);
        awaitExit(host);
    }
}

void Fleet::finishRestart()
{
    while (!m_restarting.empty()) {
        runFor(ReadyPollInterval);
    }
}

void Fleet::awaitExit(std::size_t host)
{
    int status = 0;
    if (::waitpid(m_nodes[host], &status, WNOHANG) == 0) {
        runLater(ReadyPollInterval, [this, host] { awaitExit(host); });
        return;
    }
    m_exitStatuses.push_back(exitStatus(status));
    reportExit(host, m_exitStatuses.back());
    startNode(host);
    awaitRestarted(host, MaxReadyPolls);
}

void Fleet::awaitRestarted(std::size_t host, int pollsLeft)
{
    if (pollsLeft == 0) {
        m_exitStatuses.push_back(NeverReady);
        m_restarting.erase(host);
        return;
    }
    const auto handler
        = [this, host, pollsLeft](const HttpClientResult &, unsigned status, const HttpHeaders &, const std::string &) {
              if (status == StatusOk) {
                  m_restarting.erase(host);
                  return;
              }
              runLater(ReadyPollInterval, [this, host, pollsLeft] { awaitRestarted(host, pollsLeft - 1); });
          };
    m_client.fetch(operatorRequest(host, "/v1/ready"), handler);
}

int Fleet::waitForNode(std::size_t host)
{
    int status = 0;
    // The stand-ins go on serving while the node finishes its calls.
    while (::waitpid(m_nodes[host], &status, WNOHANG) == 0) {
        runFor(ReadyPollInterval);
    }
    reportExit(host, exitStatus(status));
    m_nodes[host] = 0;
    return exitStatus(status);
}

void Fleet::setHealth(std::size_t host, const std::string &state)
{
    m_targets[host]->health = state;
}

void Fleet::withholdResponses(std::size_t host)
{
    m_targets[host]->isWithholding = true;
}

void Fleet::releaseResponses(std::size_t host)
{
    m_targets[host]->isWithholding = false;
    for (const auto &exchange : std::exchange(m_targets[host]->withheld, {})) {
        respond(exchange);
    }
}

std::size_t Fleet::acceptedAt(std::size_t host)
{
    std::size_t accepted = 0;
    const auto handler
        = [this, &accepted](const HttpClientResult &, unsigned, const HttpHeaders &, const std::string &metrics) {
              const std::string label = "\njasminemast_attempts_running ";
              const std::size_t found = metrics.find(label);
              if (found != std::string::npos) {
                  accepted = std::stoul(metrics.substr(found + label.size()));
              }
              m_loop.stop();
          };
    m_client.fetch(operatorRequest(host, "/metrics"), handler);
    m_loop.run();
    return accepted;
}

void Fleet::runFor(Milliseconds duration)
{
    Timer timer(m_loop, [this] { m_loop.stop(); });
    timer.start(duration);
    m_loop.run();
}

void Fleet::awaitState(const std::function<bool()> &isReached)
{
    while (!isReached()) {
        runFor(StatePollInterval);
    }
}

} // namespace jasminemast::fleet
