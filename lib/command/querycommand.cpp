// Subcommands that query the state of nodes: status and logbook.
#include "jasminemast/command/command.h"
#include "jasminemast/command/fleetstatus.h"
#include "jasminemast/command/operatorclient.h"
#include "jasminemast/support/result.h"

#include <gflags/gflags.h>

#include <ctime>
#include <iomanip>
#include <iostream>
#include <thread>

DEFINE_string(node, "", "operator address of a node, ADDRESS:PORT");
DEFINE_bool(fleet, false, "show the whole fleet as this node knows it");
DEFINE_bool(watch, false, "follow a ticket until it is in force everywhere");
DEFINE_uint64(ticket, 0, "number of the ticket to follow");
DEFINE_uint32(timeout, 60, "seconds to follow a ticket before giving up");
DEFINE_bool(json, false, "print JSON");

namespace jasminemast
{

namespace
{

constexpr int DigestWidth = 10;
constexpr Milliseconds WatchInterval {500};
constexpr const char *FleetPath = "/v1/status?scope=fleet";

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

/// Fetches the fleet status known to the node; nullopt if the node is unreachable.
std::optional<nlohmann::json> tryFetchFleet(const std::string &node)
{
    try {
        return fetchFromNode(node, FleetPath);
    } catch (const ResultError &error) {
        if (error.code() != ResultCode::NodeUnreachable) {
            throw;
        }
        std::cerr << error.what() << '\n';
        return std::nullopt;
    }
}

/// Checks that \p ticket was accepted: a refused ticket uses up its number but is never in force.
/// \throws ResultError with the ticket's code if it was refused.
void requireAccepted(const std::string &node, std::uint64_t ticket)
{
    for (const auto &entry : fetchFromNode(node, "/v1/tickets")) {
        if (entry.at("number") != ticket || entry.at("code") == 0) {
            continue;
        }
        const auto code = resultFromNumber(entry.at("code").get<int>()).value_or(ResultCode::NodeAnswerInvalid);
        throw ResultError(
            code, "ticket " + std::to_string(ticket) + " was refused: " + entry.at("detail").get<std::string>());
    }
}

int watchTicket(const std::string &node)
{
    if (FLAGS_ticket == 0) {
        throw ResultError(ResultCode::UsageError, "--watch needs --ticket=NUMBER");
    }
    const TicketNumber ticket(FLAGS_ticket);
    const SystemClock clock;
    const TimePoint end = clock.now() + std::chrono::seconds(FLAGS_timeout);
    std::string lastProgress = "the node did not answer";
    while (true) {
        if (const auto response = tryFetchFleet(node)) {
            const FleetStatus fleet = parseFleetStatus(*response);
            const std::string progress = formatProgress(fleet, ticket);
            if (progress != lastProgress) {
                std::cerr << progress << std::endl;
            }
            lastProgress = progress;
            if (fleet.isInForceEverywhere(ticket)) {
                requireAccepted(node, FLAGS_ticket);
                std::cout << (FLAGS_json ? response->dump(2) + "\n" : formatFleet(fleet));
                return 0;
            }
        }
        if (clock.now() + WatchInterval > end) {
            throw ResultError(ResultCode::FleetNotReached, lastProgress);
        }
        std::this_thread::sleep_for(WatchInterval);
    }
}

} // namespace

int runStatus(const std::vector<std::string> & /*arguments*/)
{
    const std::string node = requireNode();
    if (FLAGS_watch) {
        return watchTicket(node);
    }
    const auto status = fetchFromNode(node, FLAGS_fleet ? FleetPath : "/v1/status");
    if (FLAGS_json) {
        std::cout << status.dump(2) << '\n';
        return 0;
    }
    if (FLAGS_fleet) {
        std::cout << formatFleet(parseFleetStatus(status));
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
