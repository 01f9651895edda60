// Sub-commands that read back what the fleet runs: status and logbook.
#include "jasminemast/command/command.h"
#include "jasminemast/command/operatorclient.h"
#include "jasminemast/support/result.h"

#include <gflags/gflags.h>

#include <ctime>
#include <iomanip>
#include <iostream>

DEFINE_string(node, "", "operator address of a node, ADDRESS:PORT");
DEFINE_bool(fleet, false, "show the whole fleet as this node knows it");
DEFINE_bool(json, false, "print JSON");

namespace jasminemast
{

namespace
{

constexpr int DigestWidth = 10;

std::string requireNode()
{
    if (FLAGS_node.empty()) {
        throw ResultError(ResultCode::UsageError, "--node=ADDRESS:PORT is missing");
    }
    return FLAGS_node;
}

std::string localTime(std::int64_t millisecondsSinceEpoch)
{
    constexpr std::int64_t MillisecondsPerSecond = 1'000;
    const std::time_t seconds = millisecondsSinceEpoch / MillisecondsPerSecond;
    std::tm parts {};
    localtime_r(&seconds, &parts);
    std::ostringstream text;
    text << std::put_time(&parts, "%Y-%m-%d %H:%M:%S") << '.' << std::setw(3) << std::setfill('0')
         << millisecondsSinceEpoch % MillisecondsPerSecond;
    return text.str();
}

std::string shortDigest(const nlohmann::json &digest)
{
    return digest.get<std::string>().substr(0, 8);
}

void printLogbookLine(const nlohmann::json &entry)
{
    std::cout << std::setw(7) << std::right << entry.at("number").get<std::uint64_t>() << "  " << std::left
              << std::setw(DigestWidth) << shortDigest(entry.at("digest")) << std::setw(10)
              << entry.at("verdict").get<std::string>() << std::setw(25)
              << localTime(entry.at("inForceAt").get<std::int64_t>());
    if (entry.at("code") != 0) {
        std::cout << entry.at("code") << ' ' << entry.at("detail").get<std::string>();
    }
    std::cout << '\n';
}

void printNode(const nlohmann::json &status)
{
    std::cout << "host " << status.at("host").get<std::string>() << " in zone " << status.at("zone").get<std::string>()
              << ": ticket " << status.at("number") << " (" << shortDigest(status.at("ticketDigest")) << "), state "
              << shortDigest(status.at("stateDigest"))
              << (status.at("ready").get<bool>() ? ", ready\n" : ", not ready\n");
}

} // namespace

int runStatus(const std::vector<std::string> & /*arguments*/)
{
    const auto status = fetchFromNode(requireNode(), FLAGS_fleet ? "/v1/status?scope=fleet" : "/v1/status");
    if (FLAGS_json) {
        std::cout << status.dump(2) << '\n';
        return 0;
    }
    printNode(status);
    return 0;
}

int runLogbook(const std::vector<std::string> & /*arguments*/)
{
    const auto logbook = fetchFromNode(requireNode(), "/v1/tickets");
    if (FLAGS_json) {
        std::cout << logbook.dump(2) << '\n';
        return 0;
    }
    std::cout << " ticket  digest    verdict   in force here            reason\n";
    for (const auto &entry : logbook) {
        printLogbookLine(entry);
    }
    return 0;
}

} // namespace jasminemast
