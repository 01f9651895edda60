// Measures the cost of control traffic: reads counters before and after a period without calls or tickets.
#include "harness/httpcall.h"
#include "measures.h"

#include <algorithm>
#include <unistd.h>

namespace jasminemast::harness
{

using nlohmann::json;

namespace
{

/// Bytes that the platform sent to zones of other regions, which are billed ("paid").
double paidBytesFromPlatform(const json &zoneLinkBytes)
{
    constexpr unsigned PlatformZone = 15;
    double sum = 0;
    for (const json &pair : zoneLinkBytes.at("pairs")) {
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
    const std::string statsUrl = fleet.topology().configSourceUrl() + "/admin/stats";
    const std::vector<pid_t> ids = fleet.nodeIds();
    const auto totalCpuSeconds = [&ids] {
        double sum = 0;
        for (const pid_t id : ids) {
            sum += cpuSeconds(id);
        }
        return sum;
    };
    const double cpuBefore = totalCpuSeconds();
    const std::uint64_t loopbackBefore = loopbackBytes();
    const json zoneLinkBefore = fleet.zoneLinkBytes();
    const auto callsBefore = getJson(statsUrl).at("calls").get<std::uint64_t>();
    sleep(settings.seconds);
    const double cpuUsed = totalCpuSeconds() - cpuBefore;
    const auto loopbackUsed = static_cast<double>(loopbackBytes() - loopbackBefore);
    const json zoneLinkAfter = fleet.zoneLinkBytes();
    const json sourceStats = getJson(statsUrl);
    std::uint64_t largestResident = 0;
    for (const pid_t id : ids) {
        largestResident = std::max(largestResident, residentBytes(id));
    }
    const auto increase = [&](const char *key) {
        return static_cast<double>(zoneLinkAfter.at(key).get<std::uint64_t>()
                                   - zoneLinkBefore.at(key).get<std::uint64_t>());
    };
    const double nodeSeconds = static_cast<double>(settings.seconds) * static_cast<double>(ids.size());
    return {{"seconds", settings.seconds},
            {"paidBytesPerSecond", increase("paidBytes") / settings.seconds},
            {"paidFromPlatformBytesPerSecond",
             (paidBytesFromPlatform(zoneLinkAfter) - paidBytesFromPlatform(zoneLinkBefore)) / settings.seconds},
            {"zoneToZoneBytesPerSecond", increase("unpaidBytes") / settings.seconds},
            {"corePercentPerNode", 100 * cpuUsed / nodeSeconds},
            {"loopbackBytesPerNodePerSecond", loopbackUsed / nodeSeconds},
            {"largestResidentBytes", largestResident},
            {"sourceCallsPerSecond",
             static_cast<double>(sourceStats.at("calls").get<std::uint64_t>() - callsBefore) / settings.seconds},
            {"waitingWatches", sourceStats.at("waitingWatches")}};
}

} // namespace jasminemast::harness
