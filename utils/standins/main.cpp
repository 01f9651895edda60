// Replaces the platform, targets, callers or the network between zones in tests: one sub-command per process.
#include "caller.h"
#include "configsource.h"
#include "hostlist.h"
#include "target.h"
#include "zonelink.h"

#include <array>
#include <gflags/gflags.h>
#include <iostream>
#include <string_view>

namespace
{

struct SubCommand
{
    std::string_view name;
    int (*run)();
};

constexpr std::array<SubCommand, 5> SubCommands {{
    {"config-source", jasminemast::standin::runConfigSource},
    {"host-list", jasminemast::standin::runHostList},
    {"target", jasminemast::standin::runTarget},
    {"zone-link", jasminemast::standin::runZoneLink},
    {"load", jasminemast::standin::runLoad},
}};

int runSubCommand(std::string_view name)
{
    for (const SubCommand &command : SubCommands) {
        if (command.name == name) {
            return command.run();
        }
    }
    std::cerr << "unknown sub-command " << name << '\n';
    return 2;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("jasminemast-standin <config-source|host-list|target|zone-link|load> [flags]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (argc != 2) {
        std::cerr << gflags::ProgramUsage() << '\n';
        return 2;
    }
    try {
        return runSubCommand(argv[1]);
    } catch (const std::exception &error) {
        std::cerr << "jasminemast-standin " << argv[1] << ": " << error.what() << '\n';
        return 1;
    }
}
