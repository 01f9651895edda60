// Parsing and formatting of the fleet's status.
#include "jasminemast/command/fleetstatus.h"

#include "jasminemast/support/result.h"

#include <algorithm>
#include <array>
#include <iomanip>
#include <sstream>
#include <tuple>

namespace jasminemast
{

namespace
{

constexpr std::size_t MaxLaggardsShown = 3;
constexpr std::size_t DigestDigits = 8;

std::string stringAt(const nlohmann::json &object, const char *key)
{
    const auto found = object.find(key);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

std::uint64_t numberAt(const nlohmann::json &object, const char *key)
{
    const auto found = object.find(key);
    return found != object.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : 0;
}

constexpr std::array RequiredNumberKeys = {"liveHosts", "reportingHosts", "highest", "divergentHosts"};

bool hasRequiredNumbers(const nlohmann::json &object)
{
    return std::all_of(RequiredNumberKeys.begin(), RequiredNumberKeys.end(), [&object](const char *key) {
        const auto found = object.find(key);
        return found != object.end() && found->is_number_unsigned();
    });
}

std::vector<HostId> laggardsIn(const nlohmann::json &object)
{
    std::vector<HostId> laggards;
    const auto items = object.find("laggards");
    if (items == object.end() || !items->is_array()) {
        return laggards;
    }
    for (const auto &item : *items) {
        if (item.is_object()) {
            laggards.emplace_back(stringAt(item, "host"));
        }
    }
    return laggards;
}

ZoneStatus parseZone(const nlohmann::json &object)
{
    ZoneStatus zone;
    zone.region = RegionId(stringAt(object, "region"));
    zone.zone = ZoneId(stringAt(object, "zone"));
    const auto known = object.find("known");
    zone.known = hasRequiredNumbers(object) && known != object.end() && known->is_boolean() && known->get<bool>();
    zone.nodes = numberAt(object, "liveHosts");
    zone.number = TicketNumber(numberAt(object, "highest"));
    zone.digest = stringAt(object, "stateDigestPrefix");
    zone.age = Milliseconds(static_cast<Milliseconds::rep>(numberAt(object, "ageMs")));
    zone.laggards = laggardsIn(object);
    const std::uint64_t behind = zone.laggards.size() + numberAt(object, "divergentHosts");
    const std::uint64_t reporting = numberAt(object, "reportingHosts");
    zone.inForce = reporting > behind ? reporting - behind : 0;
    return zone;
}

bool isInForceInZone(const ZoneStatus &zone, TicketNumber ticket)
{
    return zone.known && zone.number >= ticket && zone.laggards.empty() && zone.inForce >= zone.nodes;
}

std::string laggardText(const ZoneStatus &zone)
{
    const std::uint64_t behind = zone.nodes > zone.inForce ? zone.nodes - zone.inForce : zone.laggards.size();
    if (behind == 0) {
        return "none";
    }
    std::string text = std::to_string(behind);
    for (std::size_t i = 0; i < std::min(zone.laggards.size(), MaxLaggardsShown); ++i) {
        text += (i == 0 ? ": " : ", ") + zone.laggards[i].value();
    }
    return text + (zone.laggards.size() > MaxLaggardsShown ? ", ..." : "");
}

std::string ageText(Milliseconds age)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(1) << std::chrono::duration<double>(age).count() << " s";
    return text.str();
}

/// Column widths of the table.
struct Columns
{
    int region = 6;
    int zone = 4;
    static constexpr int Count = 7;
    static constexpr int Ticket = 8;
    static constexpr int Digest = 10;
    static constexpr int Age = 9;
};

Columns columnsFor(const FleetStatus &fleet)
{
    Columns columns;
    for (const ZoneStatus &zone : fleet.zones) {
        columns.region = std::max(columns.region, static_cast<int>(zone.region.value().size()));
        columns.zone = std::max(columns.zone, static_cast<int>(zone.zone.value().size()));
    }
    return columns;
}

void formatZone(std::ostream &out, const ZoneStatus &zone, const Columns &columns)
{
    out << std::left << std::setw(columns.region + 2) << zone.region << std::setw(columns.zone + 2) << zone.zone
        << std::right << std::setw(Columns::Count);
    if (!zone.known) {
        out << "-" << std::setw(Columns::Count + 2) << "-" << std::setw(Columns::Ticket) << "-"
            << "  " << std::left << std::setw(Columns::Digest) << "-" << std::right << std::setw(Columns::Age)
            << (zone.age.count() > 0 ? ageText(zone.age) : "-") << "  unknown\n";
        return;
    }
    out << zone.nodes << std::setw(Columns::Count + 2) << zone.inForce << std::setw(Columns::Ticket) << zone.number
        << "  " << std::left << std::setw(Columns::Digest) << zone.digest.substr(0, DigestDigits) << std::right
        << std::setw(Columns::Age) << ageText(zone.age) << "  " << laggardText(zone) << '\n';
}

} // namespace

bool FleetStatus::isInForceEverywhere(TicketNumber ticket) const
{
    return !zones.empty() && std::all_of(zones.begin(), zones.end(), [ticket](const ZoneStatus &zone) {
        return isInForceInZone(zone, ticket);
    });
}

std::uint64_t FleetStatus::nodesInForce(TicketNumber ticket) const
{
    std::uint64_t sum = 0;
    for (const ZoneStatus &zone : zones) {
        sum += zone.known && zone.number >= ticket ? zone.inForce : 0;
    }
    return sum;
}

std::uint64_t FleetStatus::unknownZones() const
{
    return static_cast<std::uint64_t>(
        std::count_if(zones.begin(), zones.end(), [](const ZoneStatus &zone) { return !zone.known; }));
}

FleetStatus parseFleetStatus(const nlohmann::json &response)
{
    FleetStatus fleet;
    const auto zones = response.is_object() ? response.find("zones") : response.end();
    if (zones == response.end() || !zones->is_array()) {
        throw ResultError(ResultCode::NodeAnswerInvalid, "the response has no list of zones");
    }
    for (const auto &item : *zones) {
        if (item.is_object()) {
            fleet.zones.push_back(parseZone(item));
        }
    }
    std::sort(fleet.zones.begin(), fleet.zones.end(), [](const ZoneStatus &left, const ZoneStatus &right) {
        return std::tie(left.region, left.zone) < std::tie(right.region, right.zone);
    });
    for (const ZoneStatus &zone : fleet.zones) {
        fleet.nodes += zone.nodes;
    }
    return fleet;
}

std::string formatFleet(const FleetStatus &fleet)
{
    const Columns columns = columnsFor(fleet);
    std::ostringstream out;
    out << std::left << std::setw(columns.region + 2) << "region" << std::setw(columns.zone + 2) << "zone" << std::right
        << std::setw(Columns::Count) << "nodes" << std::setw(Columns::Count + 2) << "in force"
        << std::setw(Columns::Ticket) << "ticket"
        << "  " << std::left << std::setw(Columns::Digest) << "digest" << std::right << std::setw(Columns::Age) << "age"
        << "  laggards\n";
    TicketNumber highest;
    for (const ZoneStatus &zone : fleet.zones) {
        formatZone(out, zone, columns);
        highest = std::max(highest, zone.known ? zone.number : TicketNumber(0));
    }
    out << formatProgress(fleet, highest) << '\n';
    return out.str();
}

std::string formatProgress(const FleetStatus &fleet, TicketNumber ticket)
{
    std::ostringstream out;
    out << "ticket " << ticket << ": in force on " << fleet.nodesInForce(ticket) << " of " << fleet.nodes << " nodes";
    if (const auto unknown = fleet.unknownZones(); unknown > 0) {
        out << ", " << unknown << (unknown == 1 ? " zone" : " zones") << " unknown";
    }
    return out.str();
}

} // namespace jasminemast
