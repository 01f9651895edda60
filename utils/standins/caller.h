// A caller that offers bounded load, checks every answer and never sends a request twice by itself.
#pragma once

#include <cstdint>
#include <iosfwd>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace jasminemast::standin
{

struct CallerSettings
{
    std::vector<std::string> baseUrls; ///< "http://address:port", used in turn
    std::vector<std::string> getPaths;
    std::vector<std::string> postPaths;
    double postShare = 0; ///< share of the calls that are POST, 0 to 1
    std::uint64_t count = 1; ///< calls in all
    double rate = 0; ///< calls a second; 0 sends as fast as concurrency allows
    unsigned concurrency = 1; ///< calls in flight at most
    unsigned postBytes = 64;
    std::optional<unsigned> deadlineMs; ///< sent as Jasminemast-Deadline-Ms
    unsigned timeoutMs = 30'000; ///< after this the caller gives up
    std::string idPrefix = "c";
    std::uint64_t seed = 1;
};

/// How one call came out, as the caller saw it.
enum class CallOutcome {
    Whole, ///< the answer to this request, complete and intact
    NotRun, ///< refused with the promise that it was not run
    Unknown, ///< refused without that promise
    Failed, ///< any other status
    Broken, ///< no answer, or one that ended before its length
    Wrong, ///< an answer that belongs to another request or is damaged
};

struct CallRecord
{
    std::string id;
    std::string method;
    std::string path;
    std::string base;
    long status = 0; ///< 0: no answer
    std::string outcomeHeader; ///< Jasminemast-Outcome
    std::string ticketHeader; ///< Jasminemast-Ticket
    std::string codeHeader; ///< Jasminemast-Code
    std::string detail; ///< why the answer is not whole
    CallOutcome outcome = CallOutcome::Broken;
    std::uint64_t bytes = 0;
    std::int64_t startedMs = 0; ///< milliseconds since the epoch
    std::int64_t microseconds = 0; ///< from sending to the last byte
};

nlohmann::json toJson(const CallRecord &record);

/// Counts by outcome and the spread of the times of whole answers.
nlohmann::json summarize(const std::vector<CallRecord> &records, double seconds);

/// Makes all calls and returns one record for each.
std::vector<CallRecord> runCalls(const CallerSettings &settings);

/// Runs `jasminemast-standin load`: records to --record, the summary to standard output.
int runLoad();

} // namespace jasminemast::standin
