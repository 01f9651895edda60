// Sub-commands of the program, and their table.
#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jasminemast
{

/// One sub-command.
struct Command
{
    std::string_view name; ///< words as typed, such as "ticket check"
    std::string_view summary;
    std::string_view usage; ///< arguments and flags
    std::string_view example; ///< one whole command line
    int (*run)(const std::vector<std::string> &arguments); ///< gives the exit status; throws ResultError
};

std::span<const Command> allCommands();

/// A script that makes bash complete sub-commands and flags.
std::string bashCompletion();

/// Runs the sub-command named on the command line and gives the exit status. Errors are printed, never thrown.
int runCommandLine(int argc, char **argv);

// One function for each sub-command; arguments are what the flags left over.
int runNode(const std::vector<std::string> &arguments);
int runStatus(const std::vector<std::string> &arguments);
int runLogbook(const std::vector<std::string> &arguments);
int runTicketCheck(const std::vector<std::string> &arguments);
int runTicketCheckpoint(const std::vector<std::string> &arguments);
int runSettingsCheck(const std::vector<std::string> &arguments);
int runCompletion(const std::vector<std::string> &arguments);
int runVersion(const std::vector<std::string> &arguments);

} // namespace jasminemast
