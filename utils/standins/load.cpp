// The command-line interface of the caller.
#include "caller.h"

#include <chrono>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <sstream>
#include <stdexcept>

DEFINE_string(base, "", "load: base URLs, separated by commas");
DEFINE_string(get_paths, "/", "load: paths for GET, separated by commas");
DEFINE_string(post_paths, "/", "load: paths for POST, separated by commas");
DEFINE_double(post_share, 0, "load: share of the calls that are POST, 0 to 1");
DEFINE_uint64(count, 1, "load: total number of calls");
DEFINE_double(rate, 0, "load: calls per second; 0 is as fast as concurrency allows");
DEFINE_uint32(concurrency, 1, "load: maximum number of calls in flight");
DEFINE_uint32(post_bytes, 64, "load: length of each POST body");
DEFINE_int32(deadline_ms, -1, "load: deadline sent with each call; negative sends none");
DEFINE_uint32(timeout_ms, 30'000, "load: time after which the caller aborts a call");
DEFINE_string(id_prefix, "c", "load: prefix of each call's id");
DEFINE_uint64(seed, 1, "load: seed of the random choice of methods and paths, and of POST bodies");
DEFINE_string(record, "", "load: output file, one JSON object per line and call");

namespace jasminemast::standin
{

namespace
{

std::vector<std::string> splitList(const std::string &text)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    std::string part;
    while (std::getline(stream, part, ',')) {
        parts.push_back(part);
    }
    return parts;
}

CallerSettings settingsFromFlags()
{
    CallerSettings settings;
    settings.baseUrls = splitList(FLAGS_base);
    settings.getPaths = splitList(FLAGS_get_paths);
    settings.postPaths = splitList(FLAGS_post_paths);
    settings.postShare = FLAGS_post_share;
    settings.count = FLAGS_count;
    settings.rate = FLAGS_rate;
    settings.concurrency = FLAGS_concurrency;
    settings.postBytes = FLAGS_post_bytes;
    settings.timeoutMs = FLAGS_timeout_ms;
    settings.idPrefix = FLAGS_id_prefix;
    settings.seed = FLAGS_seed;
    if (FLAGS_deadline_ms >= 0) {
        settings.deadlineMs = static_cast<unsigned>(FLAGS_deadline_ms);
    }
    if (settings.baseUrls.empty()) {
        throw std::invalid_argument("--base is missing");
    }
    return settings;
}

} // namespace

int runLoad()
{
    const CallerSettings settings = settingsFromFlags();
    const auto startTime = std::chrono::steady_clock::now();
    const std::vector<CallRecord> records = runCalls(settings);
    const double seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - startTime).count();
    if (!FLAGS_record.empty()) {
        std::ofstream file(FLAGS_record);
        for (const CallRecord &record : records) {
            file << toJson(record).dump() << '\n';
        }
        if (!file.flush()) {
            throw std::runtime_error("can't write " + FLAGS_record);
        }
    }
    std::cout << summarize(records, seconds).dump() << '\n';
    return 0;
}

} // namespace jasminemast::standin
