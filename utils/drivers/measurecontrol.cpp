// Control cost: counters before and after a quiet stretch.
#include "harness/httpcall.h"
#include "measures.h"

#include <algorithm>
#include <unistd.h>

namespace jasminemast::harness
{

using nlohmann::json;

namespace
{

/// Bytes that the platform has sent over paid links.
double paidFromPlatform(const json &link)
{
    constexpr unsigned PlatformZone = 15;
    double sum = 0;
    for (const json &pair : link.at("pairs")) {
        if (pair.at("from") == PlatformZone && pair.at("paid") == true) {
            sum += pair.at("tcpBytes").get<double>();
        }
    }
    return sum;
}

} // namespace

json measureControl(const MeasureSettings &settings, Fleet &fleet)
{
    constexpr unsigned SettleSeconds = 3;
    sleep(SettleSeconds);
    const std::string statistics = fleet.topology().configSourceUrl() + "/admin/stats";
    const std::vector<pid_t> ids = fleet.nodeIds();
    const auto processorTime = [&ids] {
        double sum = 0;
        for (const pid_t id : ids) {
            sum += processorSeconds(id);
        }
        return sum;
    };
    const double processorBefore = processorTime();
    const std::uint64_t loopbackBefore = loopbackBytes();
    const json linkBefore = fleet.zoneLinkBytes();
    const auto callsBefore = getJson(statistics).at("calls").get<std::uint64_t>();
    sleep(settings.seconds);
    const double processor = processorTime() - processorBefore;
    const auto loopback = static_cast<double>(loopbackBytes() - loopbackBefore);
    const json linkAfter = fleet.zoneLinkBytes();
    const json source = getJson(statistics);
    std::uint64_t largest = 0;
    for (const pid_t id : ids) {
        largest = std::max(largest, residentBytes(id));
    }
    const auto grown = [&](const char *key) {
        return static_cast<double>(linkAfter.at(key).get<std::uint64_t>() - linkBefore.at(key).get<std::uint64_t>());
    };
    const double nodeSeconds = static_cast<double>(settings.seconds) * static_cast<double>(ids.size());
    return {{"seconds", settings.seconds},
            {"paidBytesPerSecond", grown("paidBytes") / settings.seconds},
            {"paidFromPlatformBytesPerSecond",
             (paidFromPlatform(linkAfter) - paidFromPlatform(linkBefore)) / settings.seconds},
            {"zoneToZoneBytesPerSecond", grown("unpaidBytes") / settings.seconds},
            {"corePercentPerNode", 100 * processor / nodeSeconds},
            {"loopbackBytesPerNodePerSecond", loopback / nodeSeconds},
            {"largestResidentBytes", largest},
            {"sourceCallsPerSecond",
             static_cast<double>(source.at("calls").get<std::uint64_t>() - callsBefore) / settings.seconds},
            {"waitingWatches", source.at("waitingWatches")}};
}

} // namespace jasminemast::harness
