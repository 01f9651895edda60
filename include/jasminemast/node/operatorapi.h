// HTTP API of a node for operators.
#pragma once

#include "jasminemast/net/httpserver.h"
#include "jasminemast/node/controlplane.h"
#include "jasminemast/support/metrics.h"

#include <functional>

namespace jasminemast
{

/// Serves /v1/status, /v1/tickets, /v1/tickets/check, /v1/checkpoint, /v1/ready and /metrics.
class OperatorApi
{
public:
    /// \param updateGauges called before metrics are rendered
    OperatorApi(Loop &loop, const Clock &clock, const NodeSettings &settings, const ControlPlane &control,
                Metrics &metrics, std::function<void()> updateGauges);

private:
    void handle(const std::shared_ptr<HttpExchange> &exchange) const;
    [[nodiscard]] std::string statusJson() const;
    [[nodiscard]] std::string fleetJson() const;
    [[nodiscard]] std::string logbookJson() const;
    [[nodiscard]] std::string checkJson(const std::string &ticket) const;
    void respondCheckpoint(HttpExchange &exchange) const;
    [[nodiscard]] std::string checkpointJson() const;

    const Clock &m_clock;
    const NodeSettings &m_settings;
    const ControlPlane &m_control;
    Metrics &m_metrics;
    std::function<void()> m_updateGauges;
    HttpServer m_server;
};

} // namespace jasminemast
