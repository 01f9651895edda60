// Rules by which a call counts as lost, duplicated, falsely refused or wrongly answered.
#include "callaudit.h"

#include <fstream>
#include <map>
#include <stdexcept>

namespace jasminemast::harness
{

CallAudit auditCalls(const std::vector<nlohmann::json> &records, const std::vector<nlohmann::json> &runs)
{
    std::map<std::string, std::uint64_t> runCounts;
    for (const nlohmann::json &run : runs) {
        ++runCounts[run.at("callId").get<std::string>()];
    }
    CallAudit audit;
    for (const nlohmann::json &record : records) {
        const auto id = record.at("id").get<std::string>();
        const auto result = record.at("result").get<std::string>();
        const std::uint64_t runCount = runCounts[id];
        ++audit.calls;
        if (result == "whole") {
            ++audit.complete;
        }
        // A complete response to a call that no target executed belongs to another call.
        if (result == "wrong" || (result == "whole" && runCount == 0)) {
            audit.wrong.push_back(id);
        }
        if (result == "broken" || result == "failed") {
            audit.lost.push_back(id);
        }
        if (result == "not-run" && runCount > 0) {
            audit.falseNotRun.push_back(id);
        }
        if (record.at("method") == "POST" && runCount > 1) {
            audit.duplicated.push_back(id);
        }
    }
    return audit;
}

std::vector<nlohmann::json> readJsonLines(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        throw std::runtime_error("cannot read " + path);
    }
    std::vector<nlohmann::json> values;
    std::string line;
    while (std::getline(file, line)) {
        values.push_back(nlohmann::json::parse(line));
    }
    return values;
}

} // namespace jasminemast::harness
