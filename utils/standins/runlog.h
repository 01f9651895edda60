// The target's log of every request that it began to run; tests detect duplicate and lost runs by it.
#pragma once

#include <cstdint>
#include <deque>
#include <nlohmann/json.hpp>
#include <string>

namespace jasminemast::standin
{

/// How a run ended.
enum class RunEnd {
    Running,
    Answered, ///< the complete response was written to the socket
    Cancelled, ///< the client closed the connection during the run
    Expired, ///< the deadline passed during the run
    Unanswered, ///< the run completed, but its response was not sent completely
};

/// One request that the target began to run.
struct Run
{
    std::string callId;
    std::string method;
    std::string path;
    std::int64_t startedMs = 0; ///< milliseconds since the epoch
    std::int64_t finishedMs = 0; ///< 0 during the run
    bool finishedWork = false; ///< the run was completed, whether or not its response was sent
    bool whileDraining = false; ///< it began after the target had reported that it is draining
    RunEnd end = RunEnd::Running;
};

nlohmann::json toJson(const Run &run);

/// Every run since the start of the process. References to runs stay valid.
class RunLog
{
public:
    Run &begin(Run run)
    {
        m_runs.push_back(std::move(run));
        return m_runs.back();
    }
    [[nodiscard]] const std::deque<Run> &runs() const
    {
        return m_runs;
    }
    /// One JSON object per line.
    [[nodiscard]] std::string toJsonLines() const;

private:
    std::deque<Run> m_runs;
};

} // namespace jasminemast::standin
