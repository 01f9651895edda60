// Subcommands for operators who publish tickets: ticket check, ticket checkpoint.
#include "jasminemast/command/command.h"
#include "jasminemast/command/operatorclient.h"
#include "jasminemast/config/ticketcheck.h"

#include <gflags/gflags.h>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>

DECLARE_string(node);
DECLARE_bool(json);
DEFINE_string(file, "", "file that holds the ticket");
DEFINE_string(tickets, "", "directory of the tickets accepted so far, in files 1, 2, ...");
DEFINE_string(out, "", "directory to write the values to, in files named by their keys");

namespace jasminemast
{

namespace
{

std::string readFile(const std::filesystem::path &path)
{
    std::ifstream in(path, std::ios::binary);
    if (!in) {
        throw ResultError(ResultCode::UsageError, path.string() + ": cannot be read");
    }
    return {std::istreambuf_iterator<char>(in), {}};
}

/// Returns the state after applying all tickets in \p directory.
StatePtr applyTicketsIn(const std::filesystem::path &directory)
{
    StatePtr state = emptyState();
    for (std::uint64_t next = 1; std::filesystem::exists(directory / std::to_string(next)); ++next) {
        state = applyTicket(state, TicketNumber(next), readFile(directory / std::to_string(next))).state;
    }
    return state;
}

nlohmann::json checkWithNodeOrDirectory(const std::string &ticket)
{
    if (FLAGS_node.empty() == FLAGS_tickets.empty()) {
        throw ResultError(ResultCode::UsageError, "expected either --node=ADDRESS:PORT or --tickets=DIRECTORY");
    }
    if (!FLAGS_node.empty()) {
        return postToNode(FLAGS_node, "/v1/tickets/check", ticket);
    }
    return ticketCheckJson(checkTicket(applyTicketsIn(FLAGS_tickets), ticket));
}

void printChange(const nlohmann::json &change)
{
    std::cout << "  " << change.at("change").get<std::string>() << ' ' << change.at("kind").get<std::string>() << ' '
              << change.at("id").get<std::string>() << '\n';
    if (!change.contains("fields")) {
        return;
    }
    for (const auto &field : change.at("fields")) {
        std::cout << "      " << field.at("field").get<std::string>() << ": " << field.at("before") << " -> "
                  << field.at("after") << '\n';
    }
}

void printCheck(const nlohmann::json &check)
{
    std::cout << "ticket " << check.at("number") << ", digest " << check.at("digest").get<std::string>() << '\n';
    if (check.at("code") != 0) {
        std::cout << "would be refused: " << check.at("code") << ' ' << check.at("result").get<std::string>() << " ("
                  << check.at("detail").get<std::string>() << ")\n";
        return;
    }
    std::cout << check.at("changes").size() << " changes\n";
    for (const auto &change : check.at("changes")) {
        printChange(change);
    }
    for (const auto &oddity : check.at("oddities")) {
        std::cout << "look at: " << oddity.get<std::string>() << '\n';
    }
}

void writeValue(const std::filesystem::path &directory, const std::string &key, const std::string &value)
{
    const std::filesystem::path path = directory / key;
    std::filesystem::create_directories(path.parent_path());
    std::ofstream out(path, std::ios::binary);
    out << value;
    out.close();
    if (!out) {
        throw ResultError(ResultCode::UsageError, path.string() + ": cannot be written");
    }
    std::cout << path.string() << '\n';
}

} // namespace

int runTicketCheck(const std::vector<std::string> & /*arguments*/)
{
    if (FLAGS_file.empty()) {
        throw ResultError(ResultCode::UsageError, "--file=TICKET is missing");
    }
    const auto check = checkWithNodeOrDirectory(readFile(FLAGS_file));
    if (FLAGS_json) {
        std::cout << check.dump(2) << '\n';
    } else {
        printCheck(check);
    }
    const auto code = resultFromNumber(check.at("code").get<int>());
    return resultInfo(code.value_or(ResultCode::InternalError)).exitStatus;
}

int runTicketCheckpoint(const std::vector<std::string> & /*arguments*/)
{
    if (FLAGS_node.empty()) {
        throw ResultError(ResultCode::UsageError, "--node=ADDRESS:PORT is missing");
    }
    const auto values = fetchFromNode(FLAGS_node, "/v1/checkpoint");
    if (FLAGS_out.empty()) {
        std::cout << values.dump(2) << '\n';
        return 0;
    }
    for (const auto &value : values) {
        writeValue(FLAGS_out, value.at("key").get<std::string>(), value.at("value").get<std::string>());
    }
    return 0;
}

} // namespace jasminemast
