// Compares what callers saw with what targets ran, call by call.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace jasminemast::harness
{

/// The result of the comparison. Each list holds call ids.
struct Judgement
{
    std::uint64_t calls = 0;
    std::uint64_t whole = 0;
    std::vector<std::string> lost; ///< no whole answer and no refusal that says what became of the call
    std::vector<std::string> doubled; ///< POST that began more than once
    std::vector<std::string> falseNotRun; ///< refused as not run although a target began it
    std::vector<std::string> wrong; ///< damaged, or another call's answer

    [[nodiscard]] bool isClean() const
    {
        return lost.empty() && doubled.empty() && falseNotRun.empty() && wrong.empty();
    }
};

/// \p records are the caller's, \p runs come from every target's ledger.
Judgement judgeCalls(const std::vector<nlohmann::json> &records, const std::vector<nlohmann::json> &runs);

/// Reads a file of one JSON object a line.
std::vector<nlohmann::json> readJsonLines(const std::string &path);

} // namespace jasminemast::harness
