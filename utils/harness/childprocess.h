// Child processes of the harness: started, signalled and always ended by their id.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace jasminemast::harness
{

/// One child. Its destructor ends it.
class ChildProcess
{
public:
    /// Starts \p arguments[0]; both output streams go to the file \p logPath.
    /// \throws std::system_error when it can't be started.
    ChildProcess(const std::vector<std::string> &arguments, const std::string &logPath);
    ~ChildProcess();
    ChildProcess(ChildProcess &&other) noexcept;
    ChildProcess &operator=(ChildProcess &&other) noexcept;
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    /// Sends \p signal unless the child has ended.
    void signal(int signal);
    /// SIGKILL, and waits for the end.
    void kill();
    /// SIGTERM, then SIGKILL when \p limit passes first. Returns the exit status as waitFor() does.
    std::optional<int> terminate(std::chrono::milliseconds limit);
    /// The exit status once the child has ended, 128 + signal when a signal ended it; nothing after \p limit.
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

/// Runs a program to its end and returns its standard output.
/// \throws std::runtime_error when it fails or \p limit passes.
std::string runToEnd(const std::vector<std::string> &arguments, std::chrono::milliseconds limit);

/// Ends every child of this program when SIGINT or SIGTERM arrives, then exits.
void endChildrenOnSignals();

} // namespace jasminemast::harness
