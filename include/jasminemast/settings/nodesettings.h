// The settings of one node, read from a JSON file and checked whole before anything opens.
#pragma once

#include "jasminemast/net/linkpool.h"
#include "jasminemast/settings/jsonreader.h"
#include "jasminemast/spread/settings.h"
#include "jasminemast/support/ids.h"

#include <cstdint>
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

/// Bounds and timing of calls.
struct CallSettings
{
    std::size_t maxRequestBytes = 24U << 20U;
    Milliseconds defaultDeadline {10'000};
};

/// Everything that a node is told at its start.
struct NodeSettings
{
    HostRecord self;
    std::uint16_t callerPort = 0;
    std::uint16_t operatorPort = 0;
    std::uint16_t linkPort = 0; ///< TCP links and UDP datagrams; the same on every host
    std::string configSource; ///< URL of the platform's configuration service
    std::string hostList; ///< URL of the platform's host list
    RegionId storeRegion; ///< region in which the configuration service stands
    std::string targetAddress; ///< IP number of the target beside this node
    std::vector<HostRecord> seeds;
    LinkSettings links;
    CallSettings calls;
    SpreadSettings control;
};

/// Parses and checks settings.
/// Adds every key that settings may hold to \p catalogue unless that is null.
/// \throws ResultError with a 1xxx code that names the path and what was expected.
NodeSettings parseNodeSettings(std::string_view text, SettingCatalogue *catalogue = nullptr);

/// Reads and parses the settings file at \p path.
/// \throws ResultError as parseNodeSettings, or with SettingsUnreadable.
NodeSettings readNodeSettings(const std::string &path);

} // namespace jasminemast
