// review-3 CASE PROGRAM FOLDER: plays one case; exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't
// run.
#include "cases.h"

#include <csignal>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <iostream>
#include <unistd.h>

namespace review
{

std::string configuration(const std::string &version, const std::vector<RoutePlan> &routes,
                          const std::vector<std::string> &services, int idleTimeoutMs)
{
    std::string resources;
    for (const RoutePlan &route : routes) {
        resources
            += format(R"({"type-url":"routes","metadata":{"name":"%s"},"spec":{"host":"%s","prefix":"%s","kind":"%s",)"
                      R"("timeout-ms":%d,"target-latency-ms":800,"priority":1,"service":"%s","attempts":%d}},)",
                      route.name.c_str(), route.host.c_str(), route.prefix.c_str(), route.kind.c_str(), route.timeoutMs,
                      route.service.c_str(), route.attempts);
    }
    for (const std::string &service : services) {
        resources += format(R"({"type-url":"services","metadata":{"name":"%s"},"spec":{"health-path":"/healthz",)"
                            R"("max-conns":110,"protocol":"h1","tls":false}},)",
                            service.c_str());
    }
    return "{\"version\":\"" + version + "\",\"resources\":[" + resources
        + format(R"({"type-url":"limits","metadata":{},"spec":{"max-header-bytes":16384,"max-body-bytes":67108864,)"
                 R"("header-timeout-ms":3000,"idle-timeout-ms":%d}}]})",
                 idleTimeoutMs);
}

std::string serverEntry(const std::string &ip, const std::string &service, const std::string &zone, unsigned slots)
{
    return format(R"({"address":"%s:%d","born":%lld,"info":{"service":"%s","version":"v1","zone":"%s","slots":%u},)"
                  R"("status":{"state":"ready","seq":1,"cold-left-ms":0}})",
                  ip.c_str(), ServerPort,
                  static_cast<long long>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                             std::chrono::system_clock::now().time_since_epoch())
                                             .count()),
                  service.c_str(), zone.c_str(), slots);
}

} // namespace review

int main(int argc, char **argv)
{
    const std::map<std::string, int (*)(const review::CaseOptions &)> cases {{"slow-readers", &review::runSlowReaders},
                                                                             {"head-answers", &review::runHeadAnswers},
                                                                             {"many-headers", &review::runManyHeaders},
                                                                             {"two-lengths", &review::runTwoLengths}};
    const auto found = argc == 4 ? cases.find(argv[1]) : cases.end();
    if (found == cases.end()) {
        std::cerr << "usage: review-3 CASE PROGRAM FOLDER\n";
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    std::string pattern = (std::filesystem::temp_directory_path() / "review-3-XXXXXX").string();
    const char *temporary = ::mkdtemp(pattern.data());
    if (temporary == nullptr) {
        return 2;
    }
    const char *trouble = std::getenv("TROUBLE");
    const int result
        = found->second({argv[2], argv[3], temporary, trouble == nullptr || std::strcmp(trouble, "0") != 0});
    if (std::getenv("KEEP") == nullptr) {
        std::error_code ignored;
        std::filesystem::remove_all(temporary, ignored);
    } else {
        std::cerr << temporary << '\n';
    }
    std::cout << (result == 1 ? "broken" : result == 0 ? "held" : "could not run") << '\n';
    return result;
}
