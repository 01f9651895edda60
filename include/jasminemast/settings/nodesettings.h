// The settings of one node, read from a JSON file and fully checked before the node opens any port.
#pragma once

#include "jasminemast/call/waycosts.h"
#include "jasminemast/net/linkpool.h"
#include "jasminemast/settings/jsonreader.h"
#include "jasminemast/spread/settings.h"
#include "jasminemast/support/bytecount.h"
#include "jasminemast/support/ids.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace jasminemast
{

/// A host of the fleet, from the platform's host list or the settings.
struct HostRecord
{
    HostId host;
    RegionId region;
    ZoneId zone;
    std::string address; ///< IP address to which this node connects

    bool operator==(const HostRecord &) const = default;
};

/// Names of HTTP headers between callers, nodes and targets. A header with an empty name is neither sent nor read.
struct HeaderNames
{
    std::string deadline = "Jasminemast-Deadline-Ms"; ///< milliseconds for which the sender still waits
    std::string requestId; ///< id of a request; targets repeat it in their response
    std::string expectedEndpoint; ///< id of the only endpoint that may run the request
    std::string callerService; ///< service of the target that sent the request to its node
    std::string notRun; ///< in a response: the target did not run the request
    std::string load; ///< in a response: the target's load, as in parseTargetLoad()
    std::string warmUp; ///< in a response: milliseconds for which the target still warms up
};

/// Memory that the process may use in all.
struct MemorySettings
{
    ByteCount machine; ///< as the settings file says; zero: it doesn't
    /// As the command line says; the default is that of the users' smallest machines.
    ByteCount platform {88'000'000};

    [[nodiscard]] ByteCount limit() const
    {
        return machine > ByteCount() ? machine : platform;
    }
};

/// Limits and timing of calls.
struct CallSettings
{
    std::size_t maxRequestBytes = 24U << 20U;
    Milliseconds defaultDeadline {10'000};
    Milliseconds uploadTimeout {3'000}; ///< as in HttpServerLimits
    HeaderNames headers;
    bool probeTargets = true; ///< read the health page of the targets on the node's host
    double retryShare = 0.1; ///< retries allowed per call of a service, on average
    double retryBurst = 100; ///< max retries of one service in a burst
    double patientQueuePerSlot = 1; ///< as in AdmissionLimits
    WayCosts ways; ///< of calls to targets outside the node's availability zone
    std::uint32_t freeRefusals = 0; ///< refusals by other nodes that do not count as attempts of a call
};

/// The platform registry, which contains the configuration and the targets.
struct RegistrySettings
{
    std::string address; ///< "IP:PORT"; empty: configSource and hostList are read instead
    std::map<ZoneId, RegionId> regions; ///< region of each availability zone
};

/// How a node drains and exits after SIGTERM.
struct DrainSettings
{
    Milliseconds serve {0}; ///< time during which the node's target still receives new calls
    Milliseconds linger {500}; ///< time during which callers are still served, so that they notice the draining
    Milliseconds grace {0}; ///< calls that are still open after this time end; 0: the node waits until none is open
    Milliseconds flush {250}; ///< after the grace time, the last responses may be written for this long
};

/// All settings of a node.
struct NodeSettings
{
    HostRecord self;
    std::uint16_t callerPort = 0;
    std::uint16_t operatorPort = 0;
    std::string readyPath = "/v1/ready"; ///< path of the readiness page on the operator port
    std::uint16_t linkPort = 0; ///< TCP links and UDP datagrams; the same on every host
    std::string configSource; ///< URL of the platform's configuration service
    std::string hostList; ///< URL of the platform's host list
    RegionId storeRegion; ///< region of the configuration service
    std::string targetAddress; ///< IP address of the node's target
    std::uint16_t targetPort = 0; ///< port of the node's only target; 0: the ports of its endpoints
    ServiceId targetService; ///< service of the node's target; empty: unknown
    RegistrySettings registry;
    DrainSettings drain;
    std::vector<HostRecord> seeds;
    LinkSettings links;
    CallSettings calls;
    MemorySettings memory;
    SpreadSettings control;

    /// Copies from \p changed what a running node can change: calls, memory, draining, the target's service and the
    /// registry.
    /// Identity, ports, links and configuration distribution stay the same.
    void applyReloadable(const NodeSettings &changed);
};

/// Parses and checks settings.
/// Adds every known key to \p catalogue unless that is null.
/// \throws ResultError with a 1xxx code; the detail names the path and what was expected.
NodeSettings parseNodeSettings(std::string_view text, SettingCatalogue *catalogue = nullptr);

/// Reads and parses the settings file at \p path.
/// \throws ResultError like parseNodeSettings(), or with SettingsUnreadable.
NodeSettings readNodeSettings(const std::string &path);

} // namespace jasminemast
