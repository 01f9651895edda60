// Requests of operators.
#include "jasminemast/node/operatorapi.h"

#include "jasminemast/config/checkpoint.h"
#include "jasminemast/config/ticketcheck.h"

#include <nlohmann/json.hpp>

namespace jasminemast
{

namespace
{

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusUnavailable = 503;
const HttpHeaders MetricsHeaders = {{"Content-Type", "text/plain; version=0.0.4"}};
const HttpHeaders JsonHeaders = {{"Content-Type", "application/json"}};

/// Details may quote bytes of a ticket; invalid UTF-8 in them is replaced.
std::string dumpJson(const nlohmann::json &json)
{
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

} // namespace

OperatorApi::OperatorApi(Loop &loop, const Clock &clock, const NodeSettings &settings, const ControlPlane &control,
                         Metrics &metrics, std::function<void()> updateGauges)
    : m_clock(clock)
    , m_settings(settings)
    , m_control(control)
    , m_metrics(metrics)
    , m_updateGauges(std::move(updateGauges))
    , m_server(
          loop, {settings.self.address, settings.operatorPort}, HttpServerLimits {},
          [this](const std::shared_ptr<HttpExchange> &exchange) { handle(exchange); },
          [&metrics](ResultCode code) { metrics.count(Counter::InputRefused, code); })
{
}

void OperatorApi::handle(const std::shared_ptr<HttpExchange> &exchange) const
{
    const std::string_view path = exchange->request().path();
    if (path == "/v1/status") {
        const bool fleet = exchange->request().query("scope") == "fleet";
        exchange->respond(StatusOk, JsonHeaders, fleet ? fleetJson() : statusJson());
    } else if (path == "/v1/tickets") {
        exchange->respond(StatusOk, JsonHeaders, logbookJson());
    } else if (path == "/v1/tickets/check") {
        exchange->respond(StatusOk, JsonHeaders, checkJson(exchange->request().body));
    } else if (path == "/v1/checkpoint") {
        respondCheckpoint(*exchange);
    } else if (path == "/v1/ready" || path == m_settings.readyPath) {
        const bool ready = m_control.isReady();
        exchange->respond(ready ? StatusOk : StatusUnavailable, JsonHeaders, ready ? "true\n" : "false\n");
    } else if (path == "/metrics") {
        m_updateGauges();
        exchange->respond(StatusOk, MetricsHeaders, m_metrics.render());
    } else {
        exchange->respond(StatusNotFound, JsonHeaders, "{\"error\":\"no such page\"}\n");
    }
}

std::string OperatorApi::statusJson() const
{
    const StatePtr state = m_control.current();
    nlohmann::json json;
    json["host"] = m_settings.self.host.value();
    json["zone"] = m_settings.self.zone.value();
    json["region"] = m_settings.self.region.value();
    json["number"] = state->number.value();
    json["ticketDigest"] = state->ticketDigest.hex();
    json["stateDigest"] = state->stateDigest.hex();
    json["ready"] = m_control.isReady();
    json["degraded"] = m_control.readiness() == Readiness::Degraded;
    json["acceptedNumber"] = m_control.acceptedNumber().value();
    json["reader"] = m_control.isReader();
    if (auto upstream = m_control.upstream(m_clock.now()); !upstream.is_null()) {
        json["upstream"] = std::move(upstream);
    }
    return dumpJson(json);
}

std::string OperatorApi::checkJson(const std::string &ticket) const
{
    return dumpJson(ticketCheckJson(checkTicket(m_control.current(), ticket)));
}

void OperatorApi::respondCheckpoint(HttpExchange &exchange) const
{
    try {
        exchange.respond(StatusOk, JsonHeaders, checkpointJson());
    } catch (const ResultError &error) {
        const nlohmann::json json = {{"code", number(error.code())}, {"detail", error.detail()}};
        exchange.respond(StatusUnavailable, JsonHeaders, dumpJson(json));
    }
}

std::string OperatorApi::checkpointJson() const
{
    const auto &entries = m_control.logbook().entries();
    auto json = nlohmann::json::array();
    for (CheckpointValue &value : makeCheckpoint(*m_control.current(), {entries.begin(), entries.end()})) {
        json.push_back({{"key", std::move(value.key)}, {"value", std::move(value.value)}});
    }
    return dumpJson(json);
}

std::string OperatorApi::fleetJson() const
{
    auto json = nlohmann::json::parse(statusJson());
    json["zones"] = m_control.zones(m_clock.now());
    return dumpJson(json);
}

std::string OperatorApi::logbookJson() const
{
    auto json = nlohmann::json::array();
    for (const LogEntry &entry : m_control.logbook().entries()) {
        nlohmann::json item;
        item["number"] = entry.head.number.value();
        item["digest"] = entry.head.digest.hex();
        item["verdict"] = entry.code == ResultCode::Ok ? "accepted" : "refused";
        item["code"] = number(entry.code);
        item["detail"] = entry.detail;
        item["inForceAt"] = std::chrono::duration_cast<Milliseconds>(entry.inForceAt.time_since_epoch()).count();
        json.push_back(std::move(item));
    }
    return dumpJson(json);
}

} // namespace jasminemast
