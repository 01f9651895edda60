// Checks each call: compares the result that the caller recorded with the executions in the targets' run logs.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace jasminemast::harness
{

/// Problems found. Each list holds call ids.
struct CallAudit
{
    std::uint64_t calls = 0;
    std::uint64_t complete = 0; ///< calls with a complete and correct response
    std::vector<std::string> lost; ///< neither a complete response nor a refusal that states the call's outcome
    std::vector<std::string> duplicated; ///< POST that was executed more than once
    std::vector<std::string> falseNotRun; ///< reported as not run although a target started to execute it
    std::vector<std::string> wrong; ///< corrupted response, or that of another call

    [[nodiscard]] bool isClean() const
    {
        return lost.empty() && duplicated.empty() && falseNotRun.empty() && wrong.empty();
    }
};

/// Compares the callers' \p records with \p runs, the run logs of all targets.
CallAudit auditCalls(const std::vector<nlohmann::json> &records, const std::vector<nlohmann::json> &runs);

/// Reads a file with one JSON object per line.
std::vector<nlohmann::json> readJsonLines(const std::string &path);

} // namespace jasminemast::harness
