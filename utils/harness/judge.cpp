// The rules by which a call counts as lost, doubled or falsely refused.
#include "judge.h"

#include <fstream>
#include <map>
#include <stdexcept>

namespace jasminemast::harness
{

Judgement judgeCalls(const std::vector<nlohmann::json> &records, const std::vector<nlohmann::json> &runs)
{
    std::map<std::string, std::uint64_t> runsOfCall;
    for (const nlohmann::json &run : runs) {
        ++runsOfCall[run.at("callId").get<std::string>()];
    }
    Judgement judgement;
    for (const nlohmann::json &record : records) {
        const auto id = record.at("id").get<std::string>();
        const auto result = record.at("result").get<std::string>();
        const std::uint64_t ran = runsOfCall[id];
        ++judgement.calls;
        if (result == "whole") {
            ++judgement.whole;
        }
        // A whole answer to a call that no target ran can't be its own.
        if (result == "wrong" || (result == "whole" && ran == 0)) {
            judgement.wrong.push_back(id);
        }
        if (result == "broken" || result == "failed") {
            judgement.lost.push_back(id);
        }
        if (result == "not-run" && ran > 0) {
            judgement.falseNotRun.push_back(id);
        }
        if (record.at("method") == "POST" && ran > 1) {
            judgement.doubled.push_back(id);
        }
    }
    return judgement;
}

std::vector<nlohmann::json> readJsonLines(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        throw std::runtime_error("can't read " + path);
    }
    std::vector<nlohmann::json> values;
    std::string line;
    while (std::getline(file, line)) {
        values.push_back(nlohmann::json::parse(line));
    }
    return values;
}

} // namespace jasminemast::harness
