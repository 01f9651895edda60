// The cases that the program plays.
#pragma once

#include "platform.h"

namespace review
{

struct CaseOptions
{
    std::string program; ///< the project's program
    std::string folder; ///< of the case, for record.txt
    std::string temporary;
    bool trouble = true;
};

struct RoutePlan
{
    std::string name;
    std::string host;
    std::string prefix;
    std::string kind;
    int timeoutMs;
    std::string service;
    int attempts = 2;
};

/// The text of `op/config`.
std::string configuration(const std::string &version, const std::vector<RoutePlan> &routes,
                          const std::vector<std::string> &services, int idleTimeoutMs = 15'000);

/// A server's entry in the store, with the state `ready`.
std::string serverEntry(const std::string &ip, const std::string &service, const std::string &zone, unsigned slots);

int runSlowReaders(const CaseOptions &options);
int runHeadAnswers(const CaseOptions &options);
int runManyHeaders(const CaseOptions &options);
int runTwoLengths(const CaseOptions &options);

} // namespace review
