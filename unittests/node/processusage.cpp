// Reads /proc.
#include "processusage.h"

#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <utility>

namespace jasminemast::fleet
{

namespace
{

/// Reading the resident memory is cheap, walking through all descriptors is not.
constexpr std::chrono::milliseconds SampleInterval {2};
constexpr int SamplesPerSocketScan = 25;

std::size_t residentBytes(pid_t process)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

/// What each descriptor of the process refers to.
std::vector<std::string> descriptorTargets(pid_t process)
{
    std::vector<std::string> targets;
    std::error_code error; // the process may end meanwhile
    std::filesystem::directory_iterator position("/proc/" + std::to_string(process) + "/fd", error);
    while (!error && position != std::filesystem::directory_iterator()) {
        std::error_code unreadable;
        targets.push_back(std::filesystem::read_symlink(position->path(), unreadable).string());
        position.increment(error);
    }
    return targets;
}

std::size_t parseHex(const std::string &text)
{
    std::size_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value, 16);
    return value;
}

/// Sum of the receive queues of the TCP sockets that \p targets name.
std::size_t unreadBytes(const std::vector<std::string> &targets)
{
    constexpr const char *Listening = "0A"; // its receive queue counts connections
    const std::set<std::string> open(targets.begin(), targets.end());
    std::ifstream table("/proc/net/tcp");
    std::string line;
    std::getline(table, line);
    std::size_t sum = 0;
    while (std::getline(table, line)) {
        std::istringstream fields(line);
        std::string slot, local, remote, state, queues, timer, retransmits, user, timeout, inode;
        fields >> slot >> local >> remote >> state >> queues >> timer >> retransmits >> user >> timeout >> inode;
        if (state != Listening && open.contains("socket:[" + inode + "]")) {
            sum += parseHex(queues.substr(queues.find(':') + 1));
        }
    }
    return sum;
}

} // namespace

UsageMonitor::UsageMonitor(std::vector<pid_t> processes)
    : m_processes(std::move(processes))
    , m_peaks(m_processes.size())
    , m_thread([this] { run(); })
{
}

UsageMonitor::~UsageMonitor()
{
    stop();
}

std::vector<ProcessUsage> UsageMonitor::stop()
{
    m_isStopping = true;
    if (m_thread.joinable()) {
        m_thread.join();
    }
    return m_peaks;
}

void UsageMonitor::run()
{
    std::vector<std::size_t> unread(m_processes.size());
    for (int sample = 0; !m_isStopping; ++sample) {
        for (std::size_t i = 0; i < m_processes.size(); ++i) {
            ProcessUsage &peak = m_peaks[i];
            if (sample % SamplesPerSocketScan == 0) {
                const std::vector<std::string> targets = descriptorTargets(m_processes[i]);
                unread[i] = unreadBytes(targets);
                peak.descriptors = std::max(peak.descriptors, targets.size());
                peak.unreadBytes = std::max(peak.unreadBytes, unread[i]);
            }
            const std::size_t resident = residentBytes(m_processes[i]);
            peak.residentBytes = std::max(peak.residentBytes, resident);
            peak.memoryBytes = std::max(peak.memoryBytes, resident + unread[i]);
        }
        std::this_thread::sleep_for(SampleInterval);
    }
}

} // namespace jasminemast::fleet
