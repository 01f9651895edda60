// Memory and descriptors of running processes, counted as the platform counts them.
#pragma once

#include <sys/types.h>

#include <atomic>
#include <cstddef>
#include <string>
#include <thread>
#include <vector>

namespace jasminemast::fleet
{

/// The most that one process has used at a time.
struct ProcessUsage
{
    std::size_t memoryBytes = 0; ///< resident memory and unread bytes together
    std::size_t residentBytes = 0;
    std::size_t unreadBytes = 0; ///< received by the kernel on the process's TCP sockets, and not yet read
    std::size_t descriptors = 0;
};

/// Samples the usage of processes on a thread of its own until it is destroyed.
class UsageMonitor
{
public:
    explicit UsageMonitor(std::vector<pid_t> processes);
    ~UsageMonitor();
    UsageMonitor(const UsageMonitor &) = delete;
    UsageMonitor &operator=(const UsageMonitor &) = delete;

    /// Ends the sampling and returns the peaks, in the order of the processes.
    std::vector<ProcessUsage> stop();

private:
    void run();

    std::vector<pid_t> m_processes;
    std::vector<ProcessUsage> m_peaks; ///< used by the thread until it has ended
    std::atomic<bool> m_isStopping {false};
    std::thread m_thread;
};

} // namespace jasminemast::fleet
