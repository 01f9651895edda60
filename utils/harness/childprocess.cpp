// Starts children with fork and exec and keeps their ids in a table that a signal handler may read.
#include "childprocess.h"

#include <array>
#include <atomic>
#include <cerrno>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <stdlib.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <system_error>
#include <thread>
#include <unistd.h>
#include <utility>

namespace jasminemast::harness
{

namespace
{

using std::chrono::milliseconds;

constexpr std::size_t MaxChildren = 2048;
constexpr int SignalExitBase = 128;
constexpr milliseconds PollInterval {5};

/// Process ids of the running children; 0 marks a free slot. Read by the signal handler.
std::array<std::atomic<pid_t>, MaxChildren> children {};

void registerChild(pid_t id)
{
    for (std::atomic<pid_t> &slot : children) {
        pid_t freeSlot = 0;
        if (slot.compare_exchange_strong(freeSlot, id)) {
            return;
        }
    }
}

void unregisterChild(pid_t id)
{
    for (std::atomic<pid_t> &slot : children) {
        pid_t expected = id;
        slot.compare_exchange_strong(expected, 0);
    }
}

void killChildren(int signal)
{
    for (const std::atomic<pid_t> &slot : children) {
        const pid_t id = slot.load();
        if (id > 0) {
            ::kill(id, SIGKILL);
        }
    }
    _exit(SignalExitBase + signal);
}

[[noreturn]] void executeProgram(const std::vector<std::string> &arguments, const std::string &logPath)
{
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = open(logPath.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    std::vector<char *> argv;
    argv.reserve(arguments.size() + 1);
    for (const std::string &argument : arguments) {
        argv.push_back(const_cast<char *>(argument.c_str()));
    }
    argv.push_back(nullptr);
    execv(argv[0], argv.data());
    _exit(SignalExitBase - 1);
}

} // namespace

ChildProcess::ChildProcess(const std::vector<std::string> &arguments, const std::string &logPath)
    : m_id(fork())
{
    if (m_id < 0) {
        throw std::system_error(errno, std::generic_category(), "fork");
    }
    if (m_id == 0) {
        executeProgram(arguments, logPath);
    }
    registerChild(m_id);
}

ChildProcess::~ChildProcess()
{
    kill();
}

ChildProcess::ChildProcess(ChildProcess &&other) noexcept
    : m_id(std::exchange(other.m_id, -1))
    , m_status(other.m_status)
{
}

ChildProcess &ChildProcess::operator=(ChildProcess &&other) noexcept
{
    if (this != &other) {
        kill();
        m_id = std::exchange(other.m_id, -1);
        m_status = other.m_status;
    }
    return *this;
}

void ChildProcess::signal(int signal)
{
    if (m_id > 0 && !m_status) {
        ::kill(m_id, signal);
    }
}

void ChildProcess::kill()
{
    constexpr milliseconds KillLimit {10'000};
    if (m_id <= 0 || m_status) {
        return;
    }
    signal(SIGKILL);
    waitFor(KillLimit);
}

std::optional<int> ChildProcess::terminate(milliseconds limit)
{
    signal(SIGTERM);
    const std::optional<int> status = waitFor(limit);
    kill();
    return status;
}

std::optional<int> ChildProcess::waitFor(milliseconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (isRunning()) {
        if (std::chrono::steady_clock::now() >= end) {
            return std::nullopt;
        }
        std::this_thread::sleep_for(PollInterval);
    }
    return m_status;
}

bool ChildProcess::isRunning()
{
    if (m_id <= 0 || m_status) {
        return false;
    }
    int status = 0;
    if (waitpid(m_id, &status, WNOHANG) != m_id) {
        return true;
    }
    m_status = WIFSIGNALED(status) ? SignalExitBase + WTERMSIG(status) : WEXITSTATUS(status);
    unregisterChild(m_id);
    return false;
}

std::string runToEnd(const std::vector<std::string> &arguments, milliseconds limit)
{
    std::string path = "/tmp/jasminemast-output-XXXXXX";
    const int descriptor = mkstemp(path.data());
    if (descriptor < 0) {
        throw std::system_error(errno, std::generic_category(), "mkstemp");
    }
    close(descriptor);
    ChildProcess child(arguments, path);
    const std::optional<int> status = child.waitFor(limit);
    std::ifstream file(path);
    std::string output {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    unlink(path.c_str());
    if (status != 0) {
        const std::string end = status ? "exited with status " + std::to_string(*status) : "timed out";
        throw std::runtime_error(arguments[0] + " " + arguments.at(1) + " " + end + ": " + output);
    }
    return output;
}

void killChildrenOnSignals()
{
    std::signal(SIGINT, killChildren);
    std::signal(SIGTERM, killChildren);
}

} // namespace jasminemast::harness
