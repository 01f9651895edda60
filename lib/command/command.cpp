// The table of subcommands and their dispatch.
#include "jasminemast/command/command.h"

#include "jasminemast/support/result.h"

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <iomanip>
#include <iostream>
#include <optional>

DECLARE_bool(help);
DECLARE_bool(helpfull);
DECLARE_bool(version);

namespace jasminemast
{

namespace
{

constexpr std::array Commands = {
    Command {"node", "run the node of this host", "--settings=FILE [--memory=MEGABYTES]",
             "jasminemast node --settings=/etc/jasminemast/node.json --memory=256", &runNode},
    Command {"status", "show which ticket is in force, or follow one until it is in force everywhere",
             "--node=ADDRESS:PORT [--fleet] [--watch --ticket=NUMBER [--timeout=SECONDS]] [--json]",
             "jasminemast status --node=127.1.0.1:7001 --watch --ticket=42 --timeout=30", &runStatus},
    Command {"logbook", "show every ticket with its verdict", "--node=ADDRESS:PORT [--json]",
             "jasminemast logbook --node=127.1.0.1:7001", &runLogbook},
    Command {"ticket check", "show what a ticket would change, before it is accepted",
             "--file=TICKET (--node=ADDRESS:PORT | --tickets=DIRECTORY) [--json]",
             "jasminemast ticket check --file=42.json --node=127.1.0.1:7001", &runTicketCheck},
    Command {"ticket checkpoint", "print or write the values of a checkpoint, to be published in their order",
             "--node=ADDRESS:PORT [--out=DIRECTORY]",
             "jasminemast ticket checkpoint --node=127.1.0.1:7001 --out=checkpoint", &runTicketCheckpoint},
    Command {"settings check", "check a settings file without starting anything", "--settings=FILE",
             "jasminemast settings check --settings=node.json", &runSettingsCheck},
    Command {"completion", "print a completion script for bash", "bash", "source <(jasminemast completion bash)",
             &runCompletion},
    Command {"version", "print the version", "", "jasminemast version", &runVersion},
};

void printOverview(std::ostream &out)
{
    constexpr int NameWidth = 18;
    out << "usage: jasminemast COMMAND [FLAGS]\n\ncommands:\n";
    for (const Command &command : Commands) {
        out << "  " << std::left << std::setw(NameWidth) << command.name << command.summary << '\n';
    }
    out << "\n'jasminemast COMMAND --help' explains one command.\n";
}

void printHelp(const Command &command)
{
    std::cout << command.summary << "\n\nusage: jasminemast " << command.name << ' ' << command.usage
              << "\n\nexample:\n  " << command.example << '\n';
}

/// Returns the command whose name starts the command line, preferring two-word names.
const Command *findCommand(const std::vector<std::string> &words)
{
    const std::string first = words.empty() ? "" : words[0];
    const std::string firstTwo = words.size() < 2 ? first : first + " " + words[1];
    for (const std::string &name : {firstTwo, first}) {
        const auto *found = std::find_if(Commands.begin(), Commands.end(),
                                         [&name](const Command &command) { return command.name == name; });
        if (found != Commands.end()) {
            return found;
        }
    }
    return nullptr;
}

std::vector<std::string> leadingWords(int argc, char **argv)
{
    std::vector<std::string> words;
    for (int i = 1; i < argc && argv[i][0] != '-'; ++i) {
        words.emplace_back(argv[i]);
    }
    return words;
}

int runAndReportErrors(const Command &command, const std::vector<std::string> &arguments)
{
    try {
        return command.run(arguments);
    } catch (const ResultError &error) {
        std::cerr << "jasminemast: " << number(error.code()) << ' ' << error.what() << '\n';
        return resultInfo(error.code()).exitStatus;
    } catch (const nlohmann::json::exception &error) {
        std::cerr << "jasminemast: " << number(ResultCode::NodeAnswerInvalid) << ' ' << error.what() << '\n';
        return resultInfo(ResultCode::NodeAnswerInvalid).exitStatus;
    } catch (const std::exception &error) {
        std::cerr << "jasminemast: " << number(ResultCode::InternalError) << ' ' << error.what() << '\n';
        return resultInfo(ResultCode::InternalError).exitStatus;
    }
}

} // namespace

std::span<const Command> allCommands()
{
    return Commands;
}

int runCommandLine(int argc, char **argv)
{
    const Command *command = findCommand(leadingWords(argc, argv));
    gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
    if (command == nullptr) {
        const bool helpRequested = FLAGS_help || FLAGS_helpfull;
        printOverview(helpRequested ? std::cout : std::cerr);
        return helpRequested ? 0 : resultInfo(ResultCode::UsageError).exitStatus;
    }
    if (FLAGS_help || FLAGS_helpfull) {
        printHelp(*command);
        return 0;
    }
    const auto commandWords = 1 + std::count(command->name.begin(), command->name.end(), ' ');
    const std::vector<std::string> arguments(argv + 1 + commandWords, argv + argc);
    return runAndReportErrors(*command, arguments);
}

} // namespace jasminemast
