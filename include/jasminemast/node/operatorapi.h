// The HTTP interface for operators of one node.
#pragma once

#include "jasminemast/net/httpserver.h"
#include "jasminemast/node/directcontrol.h"

namespace jasminemast
{

/// Answers /v1/status, /v1/tickets and /v1/ready.
class OperatorApi
{
public:
    /// \p metrics gives the text of /metrics.
    OperatorApi(Loop &loop, const NodeSettings &settings, const DirectControl &control,
                std::function<std::string()> metrics);

private:
    void handle(const std::shared_ptr<HttpExchange> &exchange) const;
    [[nodiscard]] std::string statusJson() const;
    [[nodiscard]] std::string logbookJson() const;

    const NodeSettings &m_settings;
    const DirectControl &m_control;
    std::function<std::string()> m_metrics;
    HttpServer m_server;
};

} // namespace jasminemast
