// Creates the relays and serves their admin pages.
#include "zonelink.h"

#include "flags.h"
#include "jsonhttp.h"
#include "socketaddress.h"

#include <fstream>
#include <gflags/gflags.h>
#include <stdexcept>
#include <sys/resource.h>

DEFINE_string(zones, "",
              "zone-link: file with {\"zones\": [{\"number\", \"region\"}], \"hosts\": [], \"platform\": []}");
DEFINE_string(platform_region, "", "zone-link: region of the platform");
DEFINE_uint32(zone_delay_us, 500, "zone-link: one-way delay between zones of one region");
DEFINE_uint32(region_delay_us, 20'000, "zone-link: one-way delay between regions");
DEFINE_uint64(bytes_per_second, 500'000'000, "zone-link: bandwidth of each direction between two zones");

namespace jasminemast::standin
{

namespace
{

std::vector<sockaddr_in> parseAddresses(const nlohmann::json &texts)
{
    std::vector<sockaddr_in> addresses;
    for (const nlohmann::json &text : texts) {
        addresses.push_back(parseSocketAddress(text.get<std::string>()));
    }
    return addresses;
}

/// Reads the zones and addresses of the file at \p path into \p settings.
void readZonesFile(const std::string &path, ZoneLinkSettings &settings)
{
    std::ifstream file(path);
    if (!file) {
        throw std::runtime_error("can't read " + path);
    }
    const auto content = nlohmann::json::parse(file);
    for (const nlohmann::json &zone : content.at("zones")) {
        settings.zones.push_back({zone.at("number"), zone.at("region")});
    }
    settings.hosts = parseAddresses(content.at("hosts"));
    settings.platform = parseAddresses(content.at("platform"));
}

/// Raises the soft limit to the hard limit, since each relay address and each connection needs several descriptors.
void raiseDescriptorLimit()
{
    rlimit limit {};
    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
}

} // namespace

ZoneLink::ZoneLink(EventLoop &loop, const sockaddr_in &adminAddress, const ZoneLinkSettings &settings)
    : m_links(settings.zones, settings.platformRegion, settings.zoneDelay, settings.regionDelay,
              settings.bytesPerSecond)
    , m_queue(loop)
    , m_server(loop, adminAddress, [this](const HttpExchangePtr &exchange) { handle(exchange); })
{
    for (const LinkZone &source : settings.zones) {
        for (const sockaddr_in &host : settings.hosts) {
            if (zoneOf(host) == source.number) {
                continue;
            }
            const sockaddr_in listenAddress = relayAddress(host, source.number);
            m_tcpRelays.push_back(std::make_unique<TcpRelay>(loop, m_queue, m_links, listenAddress));
            m_udpRelays.push_back(std::make_unique<UdpRelay>(loop, m_queue, m_links, listenAddress));
        }
        for (const sockaddr_in &service : settings.platform) {
            const sockaddr_in listenAddress = relayAddress(service, source.number);
            m_tcpRelays.push_back(std::make_unique<TcpRelay>(loop, m_queue, m_links, listenAddress));
        }
    }
}

void ZoneLink::apply(const nlohmann::json &request)
{
    m_links.apply(request);
    for (const auto &relay : m_tcpRelays) {
        relay->linksChanged();
    }
}

void ZoneLink::handle(const HttpExchangePtr &exchange)
{
    const HttpRequest &request = exchange->request;
    if (request.path == "/admin/bytes" && request.method == "GET") {
        exchange->respond(jsonResponse(200, m_links.bytesJson()));
        return;
    }
    if (request.path != "/admin/pair" || request.method != "POST") {
        exchange->respond(textResponse(404, "no such page"));
        return;
    }
    try {
        apply(parseObject(request.body));
        exchange->respond(jsonResponse(200, nlohmann::json::object()));
    } catch (const std::exception &error) {
        exchange->respond(jsonResponse(400, {{"error", error.what()}}));
    }
}

int runZoneLink()
{
    raiseDescriptorLimit();
    EventLoop loop;
    ZoneLinkSettings settings;
    readZonesFile(FLAGS_zones, settings);
    settings.platformRegion = FLAGS_platform_region;
    settings.zoneDelay = std::chrono::microseconds(FLAGS_zone_delay_us);
    settings.regionDelay = std::chrono::microseconds(FLAGS_region_delay_us);
    settings.bytesPerSecond = FLAGS_bytes_per_second;
    ZoneLink link(loop, parseSocketAddress(FLAGS_listen), settings);
    loop.stopOnSignals();
    loop.run();
    return 0;
}

} // namespace jasminemast::standin
