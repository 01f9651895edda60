// Stand-in for the platform's configuration service: keys that operators write and nodes read and watch.
#pragma once

#include "watchserver.h"

namespace jasminemast::standin
{

/// Serves `GET` and `PUT /v1/kv/<key>`, `GET /admin/stats`, `POST /admin/fault`.
class ConfigSource
{
public:
    static constexpr std::size_t MaxValueBytes = 1'000'000;

    ConfigSource(EventLoop &loop, const sockaddr_in &address);

    [[nodiscard]] std::uint16_t port() const
    {
        return m_server.port();
    }

private:
    void handle(const HttpExchangePtr &exchange);
    void put(const HttpExchangePtr &exchange, const std::string &key);

    WatchServer m_watchServer;
    HttpServer m_server;
};

/// Runs `jasminemast-standin config-source` until SIGINT or SIGTERM.
int runConfigSource();

} // namespace jasminemast::standin
