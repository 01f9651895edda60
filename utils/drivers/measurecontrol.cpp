// Control cost: counters before and after a quiet stretch.
#include "harness/httpcall.h"
#include "measures.h"

#include <algorithm>
#include <unistd.h>

namespace jasminemast::harness
{

using nlohmann::json;

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
    const json linkBefore = fleet.zoneLinkBytes();
    const auto callsBefore = getJson(statistics).at("calls").get<std::uint64_t>();
    sleep(settings.seconds);
    const double processor = processorTime() - processorBefore;
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
            {"zoneToZoneBytesPerSecond", grown("unpaidBytes") / settings.seconds},
            {"corePercentPerNode", 100 * processor / nodeSeconds},
            {"largestResidentBytes", largest},
            {"sourceCallsPerSecond",
             static_cast<double>(source.at("calls").get<std::uint64_t>() - callsBefore) / settings.seconds},
            {"waitingWatches", source.at("waitingWatches")}};
}

} // namespace jasminemast::harness
