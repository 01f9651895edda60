// Renders zone summaries as JSON.
#include "jasminemast/node/fleetstatus.h"

#include <iomanip>
#include <sstream>

namespace jasminemast
{

namespace
{

std::string formatHex(std::uint64_t value)
{
    std::ostringstream text;
    text << std::hex << std::setw(16) << std::setfill('0') << value;
    return text.str();
}

nlohmann::json summaryJson(const ZoneSummary &summary)
{
    nlohmann::json json;
    json["ageMs"] = summary.age.count();
    json["liveHosts"] = summary.liveHosts;
    json["reportingHosts"] = summary.reportingHosts;
    json["lowest"] = summary.lowest.value();
    json["highest"] = summary.highest.value();
    json["stateDigestPrefix"] = formatHex(summary.stateDigestPrefix);
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
        const auto summary = core.zoneSummary(zone, now);
        auto json = summary ? summaryJson(*summary) : nlohmann::json::object();
        json["zone"] = zone.value();
        json["known"] = core.zoneKnown(zone, now);
        zones.push_back(std::move(json));
    }
    return zones;
}

} // namespace jasminemast
