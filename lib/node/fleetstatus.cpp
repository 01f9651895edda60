// Renders zone summaries as JSON.
#include "jasminemast/node/fleetstatus.h"

namespace jasminemast
{

namespace
{

nlohmann::json summaryJson(const ZoneSummary &summary)
{
    nlohmann::json json;
    json["ageMs"] = summary.age.count();
    json["reporter"] = summary.reporter.value();
    json["liveHosts"] = summary.liveHosts;
    json["reportingHosts"] = summary.reportingHosts;
    json["lowest"] = summary.lowest.value();
    json["highest"] = summary.highest.value();
    json["stateDigest"] = summary.stateDigest.hex();
    json["divergentHosts"] = summary.divergentHosts;
    json["laggards"] = nlohmann::json::array();
    for (const Laggard &laggard : summary.laggards) {
        json["laggards"].push_back({{"host", laggard.host.value()}, {"number", laggard.number.value()}});
    }
    json["dead"] = nlohmann::json::array();
    for (const HostId &host : summary.dead) {
        json["dead"].push_back(host.value());
    }
    return json;
}

} // namespace

nlohmann::json fleetZones(const SpreadCore &core, TimePoint now)
{
    auto zones = nlohmann::json::array();
    for (const ZoneId &zone : core.topology().hostList().zones()) {
        const auto summary = core.zone(zone, now);
        auto json = summary ? summaryJson(*summary) : nlohmann::json::object();
        json["zone"] = zone.value();
        json["known"] = core.zoneKnown(zone, now);
        zones.push_back(std::move(json));
    }
    return zones;
}

} // namespace jasminemast
