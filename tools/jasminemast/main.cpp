// Entry point of the program; the subcommands are in lib/command.
#include "jasminemast/command/command.h"

#include <glog/logging.h>

int main(int argc, char **argv)
{
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argv[0]);
    return jasminemast::runCommandLine(argc, argv);
}
