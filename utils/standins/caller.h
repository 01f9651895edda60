// A load generator with bounded concurrency that verifies every response and never retries a request.
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
    std::vector<std::string> baseUrls; ///< "http://address:port", used round-robin
    std::vector<std::string> getPaths;
    std::vector<std::string> postPaths;
    double postShare = 0; ///< share of the calls that are POST, 0 to 1
    std::uint64_t count = 1; ///< total number of calls
    double rate = 0; ///< calls per second; 0 sends as fast as concurrency allows
    unsigned concurrency = 1; ///< maximum number of calls in flight
    unsigned postBytes = 64;
    std::optional<unsigned> deadlineMs; ///< sent as Jasminemast-Deadline-Ms
    unsigned timeoutMs = 30'000; ///< time after which the caller aborts the call
    std::string idPrefix = "c";
    std::uint64_t seed = 1;
};

/// The outcome of one call as the caller observed it.
enum class CallOutcome {
    Whole, ///< the response belongs to this request, is complete and its checksum matches
    NotRun, ///< refused with the guarantee that it was not run
    Unknown, ///< refused without that guarantee
    Failed, ///< any other status than 200
    Broken, ///< no response, or one that ended before its Content-Length
    Wrong, ///< the response belongs to another request or is corrupted
};

struct CallRecord
{
    std::string id;
    std::string method;
    std::string path;
    std::string base;
    long status = 0; ///< 0: no response
    std::string outcomeHeader; ///< Jasminemast-Outcome
    std::string ticketHeader; ///< Jasminemast-Ticket
    std::string codeHeader; ///< Jasminemast-Code
    std::string detail; ///< why the outcome is not Whole
    CallOutcome outcome = CallOutcome::Broken;
    std::uint64_t bytes = 0;
    std::int64_t startedMs = 0; ///< milliseconds since the epoch
    std::int64_t microseconds = 0; ///< from sending to the last byte
};

nlohmann::json toJson(const CallRecord &record);

/// Counts by outcome and by status, and latency quantiles of the calls whose outcome is Whole.
nlohmann::json summarize(const std::vector<CallRecord> &records, double seconds);

/// Makes all calls and returns one record per call.
std::vector<CallRecord> runCalls(const CallerSettings &settings);

/// Runs `jasminemast-standin load`: writes records to --record and the summary to standard output.
int runLoad();

} // namespace jasminemast::standin
