// The platform's list of hosts, which may lag, and which may show each zone the addresses it can dial.
#pragma once

#include "watchserver.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace jasminemast::standin
{

/// One zone's own view of the list.
struct HostView
{
    std::string zone;
    unsigned number = 0; ///< the second octet of the zone's addresses, 1 to 15
    std::string listen; ///< where this view is served
};

/// Parses a views file: `[{"zone", "number", "listen"}]`.
/// \throws std::exception for any other content.
std::vector<HostView> parseHostViews(const std::string &text);

/// The list as zone \p viewer dials it: the address 127.Z.a.b of another zone becomes 127.(16*V+Z).a.b.
nlohmann::json rewriteHosts(const nlohmann::json &hosts, const HostView &viewer);

/// `GET` and `PUT /v1/hosts`, `GET /admin/stats`, `POST /admin/fault`; each view serves `GET /v1/hosts`.
class HostListServer
{
public:
    HostListServer(EventLoop &loop, const sockaddr_in &address, const std::vector<HostView> &views, Milliseconds lag);

    /// Replaces the list at once.
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
    WatchServer m_watches;
    HttpServer m_server;
    std::vector<std::unique_ptr<HttpServer>> m_viewServers;
};

/// Runs `jasminemast-standin host-list` until a signal ends it.
int runHostList();

} // namespace jasminemast::standin
