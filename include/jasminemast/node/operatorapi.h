// The HTTP interface for operators of one node.
#pragma once

#include "jasminemast/net/httpserver.h"
#include "jasminemast/node/directcontrol.h"
#include "jasminemast/support/metrics.h"

#include <functional>

namespace jasminemast
{

/// Answers /v1/status, /v1/tickets, /v1/ready and /metrics.
class OperatorApi
{
public:
<<<<<<< HEAD
    /// \p metrics gives the text of /metrics.
    OperatorApi(Loop &loop, const NodeSettings &settings, const DirectControl &control,
                std::function<std::string()> metrics);
=======
    /// \p updateGauges is called before metrics are rendered.
    OperatorApi(Loop &loop, const NodeSettings &settings, const DirectControl &control, Metrics &metrics,
                std::function<void()> updateGauges);
>>>>>>> main

private:
    void handle(const std::shared_ptr<HttpExchange> &exchange) const;
    [[nodiscard]] std::string statusJson() const;
    [[nodiscard]] std::string logbookJson() const;

    const NodeSettings &m_settings;
    const DirectControl &m_control;
<<<<<<< HEAD
    std::function<std::string()> m_metrics;
=======
    Metrics &m_metrics;
    std::function<void()> m_updateGauges;
>>>>>>> main
    HttpServer m_server;
};

} // namespace jasminemast
