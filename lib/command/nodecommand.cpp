// Subcommands that run a node or need none: node, settings check, version.
#include "jasminemast/command/command.h"
#include "jasminemast/node/controltask.h"
#include "jasminemast/node/node.h"
#include "jasminemast/node/registrytask.h"
#include "platform/storeclient.h"

#include <curl/curl.h>
#include <gflags/gflags.h>

#include <charconv>
#include <csignal>
#include <iostream>

DEFINE_string(settings, "", "path of the node's settings file");
DEFINE_string(memory, "", "megabytes that the process may use in all, unless the settings say so; 88 if empty");

namespace jasminemast
{

namespace
{

NodeSettings settingsFromFlag()
{
    if (FLAGS_settings.empty()) {
        throw ResultError(ResultCode::UsageError, "--settings=FILE is missing");
    }
    return readNodeSettings(FLAGS_settings);
}

/// What the command line says about the memory of the machine; \p fallback if it says nothing.
ByteCount memoryFromFlag(ByteCount fallback)
{
    if (FLAGS_memory.empty()) {
        return fallback;
    }
    double count = 0;
    const char *end = FLAGS_memory.data() + FLAGS_memory.size();
    const auto [position, error] = std::from_chars(FLAGS_memory.data(), end, count);
    constexpr double MaxMegabytes = 100'000;
    if (error != std::errc() || position != end || !(count > 0 && count <= MaxMegabytes)) {
        throw ResultError(ResultCode::UsageError, "--memory=" + FLAGS_memory + " is not a number of megabytes");
    }
    return megabytes(count);
}

/// Returns the control plane that follows the platform's registry if configured, or else the one that applies tickets.
std::unique_ptr<ControlPlane> makeControlPlane(const ControlContext &context)
{
    if (!context.settings.registry.address.empty()) {
        return std::make_unique<RegistryTask>(context, [&loop = context.loop](const std::string &address) {
            return std::make_unique<platform::StoreClient>(loop, address);
        });
    }
    return std::make_unique<ControlTask>(context.loop, context.clock, context.settings, context.incarnation,
                                         context.links, context.metrics);
}

} // namespace

int runNode(const std::vector<std::string> & /*arguments*/)
{
    NodeSettings settings = settingsFromFlag();
    settings.memory.platform = memoryFromFlag(settings.memory.platform);
    std::signal(SIGPIPE, SIG_IGN);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    Loop loop;
    const SystemClock clock;
    Node node(loop, clock, std::move(settings), &makeControlPlane);
    node.followSettings(FLAGS_settings);
    node.run();
    return 0;
}

int runSettingsCheck(const std::vector<std::string> & /*arguments*/)
{
    const NodeSettings settings = settingsFromFlag();
    std::cout << "settings of host " << settings.self.host << " are valid\n";
    return 0;
}

int runVersion(const std::vector<std::string> & /*arguments*/)
{
    std::cout << "jasminemast " << JASMINEMAST_VERSION << '\n';
    return 0;
}

} // namespace jasminemast
