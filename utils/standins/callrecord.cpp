// JSON representation of the caller's records, and their summary.
#include "caller.h"

#include <algorithm>

namespace jasminemast::standin
{

namespace
{

const char *outcomeName(CallOutcome outcome)
{
    switch (outcome) {
    case CallOutcome::Whole:
        return "whole";
    case CallOutcome::NotRun:
        return "not-run";
    case CallOutcome::Unknown:
        return "unknown";
    case CallOutcome::Failed:
        return "failed";
    case CallOutcome::Broken:
        return "broken";
    case CallOutcome::Wrong:
        return "wrong";
    }
    return "unknown";
}

double quantileMs(const std::vector<std::int64_t> &sorted, double quantile)
{
    constexpr double MicrosecondsPerMillisecond = 1000;
    if (sorted.empty()) {
        return 0;
    }
    const auto index = static_cast<std::size_t>(quantile * static_cast<double>(sorted.size()));
    return static_cast<double>(sorted[std::min(index, sorted.size() - 1)]) / MicrosecondsPerMillisecond;
}

} // namespace

nlohmann::json toJson(const CallRecord &record)
{
    constexpr double MicrosecondsPerMillisecond = 1000;
    nlohmann::json json = {{"id", record.id},
                           {"method", record.method},
                           {"path", record.path},
                           {"base", record.base},
                           {"status", record.status},
                           {"result", outcomeName(record.outcome)},
                           {"outcome", record.outcomeHeader},
                           {"ticket", record.ticketHeader},
                           {"code", record.codeHeader},
                           {"bytes", record.bytes},
                           {"startedMs", record.startedMs},
                           {"ms", static_cast<double>(record.microseconds) / MicrosecondsPerMillisecond}};
    if (!record.detail.empty()) {
        json["detail"] = record.detail;
    }
    return json;
}

nlohmann::json summarize(const std::vector<CallRecord> &records, double seconds)
{
    nlohmann::json results = nlohmann::json::object();
    nlohmann::json statuses = nlohmann::json::object();
    std::vector<std::int64_t> latencies;
    for (const CallRecord &record : records) {
        nlohmann::json &result = results[outcomeName(record.outcome)];
        result = result.is_null() ? 1 : result.get<std::uint64_t>() + 1;
        nlohmann::json &status = statuses[std::to_string(record.status)];
        status = status.is_null() ? 1 : status.get<std::uint64_t>() + 1;
        if (record.outcome == CallOutcome::Whole) {
            latencies.push_back(record.microseconds);
        }
    }
    std::sort(latencies.begin(), latencies.end());
    return {{"calls", records.size()},
            {"whole", latencies.size()},
            {"results", results},
            {"statuses", statuses},
            {"seconds", seconds},
            {"p50Ms", quantileMs(latencies, 0.5)},
            {"p99Ms", quantileMs(latencies, 0.99)},
            {"p999Ms", quantileMs(latencies, 0.999)},
            {"maxMs", quantileMs(latencies, 1)}};
}

} // namespace jasminemast::standin
