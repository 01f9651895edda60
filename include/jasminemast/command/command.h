// The table of subcommands, and the functions that run them.
#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jasminemast
{

/// A subcommand.
struct Command
{
    std::string_view name; ///< words as typed, such as "ticket check"
    std::string_view summary;
    std::string_view usage; ///< arguments and flags
    std::string_view example; ///< one complete command line
    int (*run)(const std::vector<std::string> &arguments); ///< returns the exit status; throws ResultError
};

std::span<const Command> allCommands();

/// Returns a bash script that completes subcommands and flags.
std::string bashCompletion();

/// Runs the subcommand named on the command line and returns the exit status. Errors are printed, never thrown.
int runCommandLine(int argc, char **argv);

// One function for each subcommand; \p arguments are the positional arguments after the command's name.
int runNode(const std::vector<std::string> &arguments);
int runStatus(const std::vector<std::string> &arguments);
int runLogbook(const std::vector<std::string> &arguments);
int runTicketCheck(const std::vector<std::string> &arguments);
int runTicketCheckpoint(const std::vector<std::string> &arguments);
int runSettingsCheck(const std::vector<std::string> &arguments);
int runCompletion(const std::vector<std::string> &arguments);
int runVersion(const std::vector<std::string> &arguments);

} // namespace jasminemast
