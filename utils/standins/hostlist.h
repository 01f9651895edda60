// Stand-in for the platform's host list, which can lag and can show each zone the relay addresses of the other zones.
#pragma once

#include "watchserver.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace jasminemast::standin
{

/// How the list is served to one zone.
struct HostView
{
    std::string zone;
    unsigned number = 0; ///< the second octet of the zone's addresses, 1 to 15
    std::string listen; ///< address and port that serve this view
};

/// Parses a views file: `[{"zone", "number", "listen"}]`.
/// \throws std::exception for any other content.
std::vector<HostView> parseHostViews(const std::string &text);

/// Replaces the address 127.Z.a.b of each host in another zone by its relay address 127.(16*V+Z).a.b, where V is the
/// number of the zone of \p view.
nlohmann::json rewriteHosts(const nlohmann::json &hosts, const HostView &view);

/// Serves `GET` and `PUT /v1/hosts`, `GET /admin/stats`, `POST /admin/fault`; each view serves `GET /v1/hosts`.
class HostListServer
{
public:
    HostListServer(EventLoop &loop, const sockaddr_in &address, const std::vector<HostView> &views, Milliseconds lag);

    /// Replaces the list without the lag.
    void replace(const std::string &hosts);
    [[nodiscard]] std::uint16_t port() const
    {
        return m_server.port();
    }

private:
    void handle(const HttpExchangePtr &exchange);
    void handleView(const HttpExchangePtr &exchange, const HostView &view);
    void put(const HttpExchangePtr &exchange);

    EventLoop &m_loop;
    Milliseconds m_lag;
    WatchServer m_watchServer;
    HttpServer m_server;
    std::vector<std::unique_ptr<HttpServer>> m_viewServers;
};

/// Runs `jasminemast-standin host-list` until SIGINT or SIGTERM.
int runHostList();

} // namespace jasminemast::standin
