// JSON representation of the run log.
#include "runlog.h"

namespace jasminemast::standin
{

namespace
{

const char *endName(RunEnd end)
{
    switch (end) {
    case RunEnd::Running:
        return "running";
    case RunEnd::Answered:
        return "answered";
    case RunEnd::Cancelled:
        return "cancelled";
    case RunEnd::Expired:
        return "expired";
    case RunEnd::Unanswered:
        return "unanswered";
    }
    return "unknown";
}

} // namespace

nlohmann::json toJson(const Run &run)
{
    return {{"callId", run.callId},
            {"method", run.method},
            {"path", run.path},
            {"startedMs", run.startedMs},
            {"finishedMs", run.finishedMs},
            {"finishedWork", run.finishedWork},
            {"whileDraining", run.whileDraining},
            {"end", endName(run.end)}};
}

std::string RunLog::toJsonLines() const
{
    std::string text;
    for (const Run &run : m_runs) {
        text += toJson(run).dump();
        text += '\n';
    }
    return text;
}

} // namespace jasminemast::standin
