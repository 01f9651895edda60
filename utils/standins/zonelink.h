// Emulates the links between availability zones by TCP and UDP relays that share one table of delays and faults.
#pragma once

#include "httpserver.h"
#include "tcprelay.h"
#include "udprelay.h"

namespace jasminemast::standin
{

struct ZoneLinkSettings
{
    std::vector<LinkZone> zones;
    std::string platformRegion;
    std::chrono::microseconds zoneDelay {500};
    std::chrono::microseconds regionDelay {20'000};
    std::uint64_t bytesPerSecond = 500'000'000;
    std::vector<sockaddr_in> hosts; ///< link addresses of the nodes: reachable from all other zones by TCP and UDP
    std::vector<sockaddr_in> platform; ///< addresses of the platform: reachable from all zones by TCP
};

/// Runs the relays and serves `GET /admin/bytes` and `POST /admin/pair`.
class ZoneLink
{
public:
    ZoneLink(EventLoop &loop, const sockaddr_in &adminAddress, const ZoneLinkSettings &settings);

    /// Changes links as LinkMatrix::apply() does.
    void apply(const nlohmann::json &request);
    [[nodiscard]] nlohmann::json bytesJson() const
    {
        return m_links.bytesJson();
    }

private:
    void handle(const HttpExchangePtr &exchange);

    LinkMatrix m_links;
    DelayQueue m_queue;
    std::vector<std::unique_ptr<TcpRelay>> m_tcpRelays;
    std::vector<std::unique_ptr<UdpRelay>> m_udpRelays;
    HttpServer m_server;
};

/// Runs `jasminemast-standin zone-link` until SIGINT or SIGTERM.
int runZoneLink();

} // namespace jasminemast::standin
