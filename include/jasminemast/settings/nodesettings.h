// The settings of one node, read from a JSON file and checked whole before anything opens.
#pragma once

#include "jasminemast/net/linkpool.h"
#include "jasminemast/settings/jsonreader.h"
#include "jasminemast/spread/settings.h"
#include "jasminemast/support/ids.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace jasminemast
{

/// A host of the system as the platform's host list or the settings name it.
struct HostRecord
{
    HostId host;
    RegionId region;
    ZoneId zone;
    std::string address; ///< IP number as this node dials it

    bool operator==(const HostRecord &) const = default;
};

/// Names of the headers between callers, nodes and targets. An empty name: the header is neither sent nor understood.
struct HeaderNames
{
    std::string deadline = "Jasminemast-Deadline-Ms"; ///< milliseconds that the sender still waits
    std::string requestId; ///< names one request; targets repeat it in their answer
    std::string expectedEndpoint; ///< id of the endpoint that alone may run the request
    std::string callerService; ///< service beside whose target the request began
    std::string notRun; ///< in an answer: the target did not run the request
};

/// Bounds and timing of calls.
struct CallSettings
{
    std::size_t maxRequestBytes = 24U << 20U;
    Milliseconds defaultDeadline {10'000};
    HeaderNames headers;
    bool probeTargets = true; ///< read the health page of the targets beside the node
    double retryShare = 0.1; ///< of a service's calls, that may be sent to a second target
    double retryBurst = 100; ///< most further attempts of one service at once
    std::uint32_t freeRefusals = 0; ///< refusals by other nodes that count as no attempt of a call
};

/// A platform registry that holds the configuration and the targets.
struct RegistrySettings
{
    std::string address; ///< "IP:PORT"; empty: tickets and host list are read instead
    std::map<ZoneId, RegionId> regions; ///< region of each availability zone
};

/// How a node leaves after SIGTERM.
struct DrainSettings
{
    Milliseconds serve {0}; ///< for how long the target beside the node goes on taking calls
    Milliseconds linger {500}; ///< callers have this long to hear that the node leaves; until then they are served
    Milliseconds grace {0}; ///< the node exits after this time, whatever is open; 0: once all is answered
};

/// Everything that a node is told at its start.
struct NodeSettings
{
    HostRecord self;
    std::uint16_t callerPort = 0;
    std::uint16_t operatorPort = 0;
    std::string readyPath = "/v1/ready"; ///< page on the operator port that tells whether the node takes calls
    std::uint16_t linkPort = 0; ///< TCP links and UDP datagrams; the same on every host
    std::string configSource; ///< URL of the platform's configuration service
    std::string hostList; ///< URL of the platform's host list
    RegionId storeRegion; ///< region in which the configuration service stands
    std::string targetAddress; ///< IP number of the target beside this node
    std::uint16_t targetPort = 0; ///< port of the only target beside this node; 0: as its endpoints say
    ServiceId targetService; ///< service of the target beside this node; empty: not told
    RegistrySettings registry;
    DrainSettings drain;
    std::vector<HostRecord> seeds;
    LinkSettings links;
    CallSettings calls;
    SpreadSettings control;

    /// Takes over from \p changed what a running node can change: calls, draining, the target's service and the
    /// registry. Identity, ports, links and the way configuration spreads stay as they are.
    void applyReloadable(const NodeSettings &changed);
};

/// Parses and checks settings.
/// Adds every key that settings may hold to \p catalogue unless that is null.
/// \throws ResultError with a 1xxx code that names the path and what was expected.
NodeSettings parseNodeSettings(std::string_view text, SettingCatalogue *catalogue = nullptr);

/// Reads and parses the settings file at \p path.
/// \throws ResultError as parseNodeSettings, or with SettingsUnreadable.
NodeSettings readNodeSettings(const std::string &path);

} // namespace jasminemast
