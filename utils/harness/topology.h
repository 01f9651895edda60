// Regions, zones and hosts of a test fleet, and the settings file of each node.
#pragma once

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace jasminemast::harness
{

struct ZonePlan
{
    std::string name;
    std::string region;
    unsigned number = 1; ///< second octet of the hosts' addresses, 1 to 15
};

struct HostPlan
{
    std::string name;
    std::string address;
    std::size_t zone = 0; ///< index in Topology::zones
};

/// Ports of a fleet. Fleets that run at the same time need different bases.
struct PortPlan
{
    std::uint16_t base = 7000;

    [[nodiscard]] std::uint16_t caller() const
    {
        return base;
    }
    [[nodiscard]] std::uint16_t operators() const
    {
        return base + 1;
    }
    [[nodiscard]] std::uint16_t link() const
    {
        return base + 2;
    }
    [[nodiscard]] std::uint16_t target() const
    {
        return base + 3;
    }
    [[nodiscard]] std::uint16_t configSource() const
    {
        return base + 4;
    }
    [[nodiscard]] std::uint16_t hostList() const
    {
        return base + 5;
    }
    [[nodiscard]] std::uint16_t zoneLinkAdmin() const
    {
        return base + 6;
    }
    /// Port of the host list as the zone with \p number sees it, with relay addresses.
    [[nodiscard]] std::uint16_t hostListView(unsigned number) const
    {
        return base + 10 + number;
    }
};

struct Topology
{
    static constexpr const char *PlatformAddress = "127.0.0.10";

    std::vector<ZonePlan> zones;
    std::vector<HostPlan> hosts;
    std::string storeRegion; ///< region of the configuration service
    PortPlan ports;
    std::chrono::microseconds zoneDelay {500}; ///< one way, between zones of one region
    std::chrono::microseconds regionDelay {20'000}; ///< one way, between regions
    /// Other zones and the platform are reached at relay addresses of the zone link, a stand-in for the network between
    /// zones that adds delay, counts bytes and can drop traffic.
    bool throughZoneLink = false;
    nlohmann::json extraSettings = nlohmann::json::object(); ///< merged into every settings file

    /// Builds a fleet of \p regions regions (at most 6) with \p zonesPerRegion zones of \p hostsPerZone hosts each.
    static Topology make(unsigned regions, unsigned zonesPerRegion, unsigned hostsPerZone, std::uint16_t portBase);

    [[nodiscard]] const ZonePlan &zoneOf(const HostPlan &host) const
    {
        return zones[host.zone];
    }
    /// Content of the host list service.
    [[nodiscard]] nlohmann::json hostListJson() const;
    /// For each zone, the address at which the host list serves that zone's view.
    [[nodiscard]] nlohmann::json viewsJson() const;
    /// Addresses that the zone link relays to.
    [[nodiscard]] nlohmann::json zoneLinkJson() const;
    /// Settings file of the node on \p host.
    [[nodiscard]] nlohmann::json settingsJson(const HostPlan &host) const;
    [[nodiscard]] std::string configSourceUrl() const;
    [[nodiscard]] std::string hostListUrl() const;
    [[nodiscard]] std::string callerUrl(const HostPlan &host) const;
    [[nodiscard]] std::string operatorUrl(const HostPlan &host) const;
    [[nodiscard]] std::string targetUrl(const HostPlan &host) const;

private:
    [[nodiscard]] std::string platformAddressFor(const ZonePlan &zone) const;
    /// Address at which nodes of zone \p viewer reach \p host: its relay address unless both are in one zone.
    [[nodiscard]] std::string addressFrom(const HostPlan &host, const ZonePlan &fromZone) const;
};

} // namespace jasminemast::harness
