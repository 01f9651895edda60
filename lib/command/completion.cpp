// Generates shell completion from the table of subcommands.
#include "jasminemast/command/command.h"
#include "jasminemast/support/result.h"

#include <iostream>
#include <sstream>

namespace jasminemast
{

namespace
{

/// Returns the flags of a usage line without their values.
std::string flagsIn(std::string_view usage)
{
    std::string flags = "--help";
    for (std::size_t start = usage.find("--"); start != std::string_view::npos; start = usage.find("--", start + 1)) {
        const std::size_t end = usage.find_first_of(" ]|=", start);
        flags += ' ';
        flags += usage.substr(start, end == std::string_view::npos ? end : end - start);
        if (end != std::string_view::npos && usage[end] == '=') {
            flags += '=';
        }
    }
    return flags;
}

} // namespace

std::string bashCompletion()
{
    std::ostringstream out;
    out << "_jasminemast() {\n"
           "    local current=\"${COMP_WORDS[COMP_CWORD]}\" line=\"${COMP_LINE#* }\" words=\"\"\n"
           "    compopt -o nospace 2>/dev/null\n"
           "    case \"$line\" in\n";
    std::string firstWords;
    for (const Command &command : allCommands()) {
        out << "    \"" << command.name << " \"*) words=\"" << flagsIn(command.usage) << "\" ;;\n";
        const std::size_t space = command.name.find(' ');
        if (space != std::string_view::npos) {
            out << "    \"" << command.name.substr(0, space + 1) << "\"*) words+=\" " << command.name.substr(space + 1)
                << "\" ;;&\n";
        }
        firstWords += std::string(command.name.substr(0, space)) + " ";
    }
    out << "    *\" \"*) ;;\n"
        << "    *) words=\"" << firstWords << "\" ;;\n"
        << "    esac\n"
           "    mapfile -t COMPREPLY < <(compgen -W \"$words\" -- \"$current\")\n"
           "}\n"
           "complete -F _jasminemast jasminemast\n";
    return out.str();
}

int runCompletion(const std::vector<std::string> &arguments)
{
    if (arguments.size() != 1 || arguments[0] != "bash") {
        throw ResultError(ResultCode::UsageError, "expected: completion bash");
    }
    std::cout << bashCompletion();
    return 0;
}

} // namespace jasminemast
