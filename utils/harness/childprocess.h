// Child processes of the harness, signalled and killed by process id.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace jasminemast::harness
{

/// One child process. The destructor kills it.
class ChildProcess
{
public:
    /// Starts the program \p arguments[0] and appends its standard output and standard error to the file \p logPath.
    /// \throws std::system_error if fork() fails.
    ChildProcess(const std::vector<std::string> &arguments, const std::string &logPath);
    ~ChildProcess();
    ChildProcess(ChildProcess &&other) noexcept;
    ChildProcess &operator=(ChildProcess &&other) noexcept;
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    /// Sends \p signal unless the child has ended.
    void signal(int signal);
    /// Sends SIGKILL and waits until the child has exited.
    void kill();
    /// Sends SIGTERM, then SIGKILL if the child runs longer than \p limit. Returns the exit status as waitFor() does.
    std::optional<int> terminate(std::chrono::milliseconds limit);
    /// Waits for the child and returns its exit status, or 128 + signal number if a signal killed it; nullopt if it
    /// still runs after \p limit.
    std::optional<int> waitFor(std::chrono::milliseconds limit);
    [[nodiscard]] bool isRunning();
    [[nodiscard]] pid_t id() const
    {
        return m_id;
    }

private:
    pid_t m_id = -1; ///< -1 after a move
    std::optional<int> m_status;
};

/// Runs a program until it exits and returns its standard output and standard error.
/// \throws std::runtime_error if it exits with another status than 0 or runs longer than \p limit.
std::string runToEnd(const std::vector<std::string> &arguments, std::chrono::milliseconds limit);

/// Installs handlers for SIGINT and SIGTERM that kill all children, then exit.
void killChildrenOnSignals();

} // namespace jasminemast::harness
