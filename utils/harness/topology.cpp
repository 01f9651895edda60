// Address plan of a test fleet: host n (from 0) of zone number Z has the address 127.Z.(n / 250).(n % 250 + 1).
// With the zone link, zone V reaches other zones at relay addresses that start with 127.(16 * V + Z).
#include "topology.h"

#include <array>

namespace jasminemast::harness
{

namespace
{

constexpr unsigned RelayOctetStride = 16; ///< second octet of relay addresses from zone V to zone Z: 16 * V + Z
constexpr unsigned PlatformZoneNumber = 15; ///< takes the place of Z in relay addresses of the platform
constexpr std::size_t MaxSeeds = 6;
constexpr std::array<const char *, 6> RegionNames = {"lombardy", "veneto", "piedmont", "jylland", "sjaelland", "fyn"};

std::string url(const std::string &address, std::uint16_t port)
{
    return "http://" + address + ":" + std::to_string(port);
}

} // namespace

Topology Topology::make(unsigned regions, unsigned zonesPerRegion, unsigned hostsPerZone, std::uint16_t portBase)
{
    constexpr unsigned HostsPerOctet = 250;
    Topology topology;
    topology.ports.base = portBase;
    topology.storeRegion = RegionNames[0];
    for (unsigned zone = 0; zone < regions * zonesPerRegion; ++zone) {
        const std::string region = RegionNames.at(zone / zonesPerRegion);
        const std::string name = region + "-" + std::to_string(zone % zonesPerRegion + 1);
        topology.zones.push_back({name, region, zone + 1});
        for (unsigned host = 0; host < hostsPerZone; ++host) {
            const std::string address = "127." + std::to_string(zone + 1) + "." + std::to_string(host / HostsPerOctet)
                + "." + std::to_string(host % HostsPerOctet + 1);
            topology.hosts.push_back({name + "-h" + std::to_string(host + 1), address, zone});
        }
    }
    return topology;
}

nlohmann::json Topology::hostListJson() const
{
    auto json = nlohmann::json::array();
    for (const HostPlan &host : hosts) {
        json.push_back({{"host", host.name},
                        {"region", zoneOf(host).region},
                        {"zone", zoneOf(host).name},
                        {"address", host.address},
                        {"state", "live"}});
    }
    return json;
}

nlohmann::json Topology::viewsJson() const
{
    auto json = nlohmann::json::array();
    for (const ZonePlan &zone : zones) {
        const std::string listen = std::string(PlatformAddress) + ":" + std::to_string(ports.hostListView(zone.number));
        json.push_back({{"zone", zone.name}, {"number", zone.number}, {"listen", listen}});
    }
    return json;
}

nlohmann::json Topology::zoneLinkJson() const
{
    const auto endpointText = [](const std::string &address, std::uint16_t port) {
        return address + ":" + std::to_string(port);
    };
    nlohmann::json json = {{"hosts", nlohmann::json::array()}, {"zones", nlohmann::json::array()}};
    json["platform"] = {endpointText(PlatformAddress, ports.configSource())};
    for (const ZonePlan &zone : zones) {
        json["zones"].push_back({{"number", zone.number}, {"region", zone.region}});
        json["platform"].push_back(endpointText(PlatformAddress, ports.hostListView(zone.number)));
    }
    for (const HostPlan &host : hosts) {
        json["hosts"].push_back(endpointText(host.address, ports.link()));
    }
    return json;
}

nlohmann::json Topology::settingsJson(const HostPlan &host) const
{
    const ZonePlan &zone = zoneOf(host);
    const std::string platform = platformAddressFor(zone);
    const std::uint16_t hostListPort = throughZoneLink ? ports.hostListView(zone.number) : ports.hostList();
    nlohmann::json json = {{"host", host.name},
                           {"region", zone.region},
                           {"zone", zone.name},
                           {"address", host.address},
                           {"callerPort", ports.caller()},
                           {"operatorPort", ports.operators()},
                           {"linkPort", ports.link()},
                           {"configSource", url(platform, ports.configSource())},
                           {"hostList", url(platform, hostListPort)},
                           {"storeRegion", storeRegion},
                           {"targetAddress", host.address}};
    json["seeds"] = nlohmann::json::array();
    std::vector<unsigned> seedsOfZone(zones.size());
    const std::size_t seedsPerZone = 1 + MaxSeeds / (zones.size() + 1);
    for (const HostPlan &other : hosts) {
        if (other.name == host.name || seedsOfZone[other.zone] >= seedsPerZone) {
            continue;
        }
        ++seedsOfZone[other.zone];
        json["seeds"].push_back({{"host", other.name},
                                 {"region", zoneOf(other).region},
                                 {"zone", zoneOf(other).name},
                                 {"address", addressFrom(other, zone)}});
    }
    json.update(extraSettings);
    return json;
}

std::string Topology::platformAddressFor(const ZonePlan &zone) const
{
    if (!throughZoneLink) {
        return PlatformAddress;
    }
    return "127." + std::to_string(RelayOctetStride * zone.number + PlatformZoneNumber) + ".0.10";
}

std::string Topology::addressFrom(const HostPlan &host, const ZonePlan &fromZone) const
{
    if (!throughZoneLink || zoneOf(host).number == fromZone.number) {
        return host.address;
    }
    const std::size_t hostOctets = host.address.find('.', host.address.find('.') + 1);
    return "127." + std::to_string(RelayOctetStride * fromZone.number + zoneOf(host).number)
        + host.address.substr(hostOctets);
}

std::string Topology::configSourceUrl() const
{
    return url(PlatformAddress, ports.configSource());
}

std::string Topology::hostListUrl() const
{
    return url(PlatformAddress, ports.hostList());
}

std::string Topology::callerUrl(const HostPlan &host) const
{
    return url(host.address, ports.caller());
}

std::string Topology::operatorUrl(const HostPlan &host) const
{
    return url(host.address, ports.operators());
}

std::string Topology::targetUrl(const HostPlan &host) const
{
    return url(host.address, ports.target());
}

} // namespace jasminemast::harness
