// The target's own record of every request that it began, by which doubled and lost work is judged.
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
    Answered, ///< the whole answer was handed to the network
    Cancelled, ///< the client left while the work went on
    Expired, ///< the deadline passed while the work went on
    Unanswered, ///< the work was done, but its answer never left whole
};

/// One request that the target began to work on.
struct Run
{
    std::string callId;
    std::string method;
    std::string path;
    std::int64_t startedMs = 0; ///< milliseconds since the epoch
    std::int64_t finishedMs = 0; ///< 0 while it runs
    bool finishedWork = false; ///< the work itself was completed
    bool whileDraining = false; ///< it was begun although the target had announced that it drains
    RunEnd end = RunEnd::Running;
};

nlohmann::json toJson(const Run &run);

/// Every run since the start of the process. References to runs stay valid.
class Ledger
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
    /// One JSON object a line.
    [[nodiscard]] std::string lines() const;

private:
    std::deque<Run> m_runs;
};

} // namespace jasminemast::standin
