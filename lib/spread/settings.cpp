// Reads the "control" section of the settings.
#include "jasminemast/spread/settings.h"

#include "jasminemast/support/result.h"

#include <functional>
#include <map>
#include <nlohmann/json.hpp>

namespace jasminemast
{

namespace
{

using Setter = std::function<void(const nlohmann::json &)>;

constexpr std::int64_t MaxCount = 100'000;
constexpr std::int64_t MaxMilliseconds = 3'600'000;

[[noreturn]] void refuse(const std::string &detail)
{
    throw ResultError(ResultCode::ControlSettingsInvalid, detail);
}

std::int64_t integer(const nlohmann::json &value, std::int64_t least, std::int64_t most)
{
    if (!value.is_number_integer()) {
        refuse("not an integer: " + value.dump());
    }
    const auto number = value.get<std::int64_t>();
    if (number < least || number > most) {
        refuse("out of range: " + value.dump());
    }
    return number;
}

Setter count(unsigned &field, unsigned least)
{
    return [&field, least](const nlohmann::json &value) {
        field = static_cast<unsigned>(integer(value, least, MaxCount));
    };
}

Setter milliseconds(Milliseconds &field)
{
    return [&field](const nlohmann::json &value) {
        field = Milliseconds(integer(value, 1, MaxMilliseconds));
    };
}

std::map<std::string, Setter> setters(SpreadSettings &settings)
{
    auto &member = settings.membership;
    return {
        {"storeRegion",
         [&settings](const nlohmann::json &value) {
             if (!value.is_string()) {
                 refuse("storeRegion is not a text");
             }
             settings.storeRegion = RegionId(value.get<std::string>());
         }},
        {"readersPerZone", count(settings.readersPerZone, 1)},
        {"awayReadersPerZone", count(settings.awayReadersPerZone, 1)},
        {"standbysPerZone", count(settings.standbysPerZone, 0)},
        {"announceFanout", count(settings.announceFanout, 1)},
        {"regionAnnounceCount", count(settings.regionAnnounceCount, 1)},
        {"regionPushCount", count(settings.regionPushCount, 0)},
        {"regionFallbackDelayMs", milliseconds(settings.regionFallbackDelay)},
        {"askDelayMs", milliseconds(settings.askDelay)},
        {"watchWaitMs", milliseconds(settings.watchWait)},
        {"readerHeartbeatMs", milliseconds(settings.readerHeartbeat)},
        {"readerTimeoutMs", milliseconds(settings.readerTimeout)},
        {"antiEntropyIntervalMs", milliseconds(settings.antiEntropyInterval)},
        {"outsideShare", count(settings.outsideShare, 1)},
        {"reportIntervalMs", milliseconds(settings.reportInterval)},
        {"summaryStaleAfterMs", milliseconds(settings.summaryStaleAfter)},
        {"joinWaitMs", milliseconds(settings.joinWait)},
        {"joinPeers", count(settings.joinPeers, 1)},
        {"pauseThresholdMs", milliseconds(settings.pauseThreshold)},
        {"pullTimeoutMs", milliseconds(settings.pullTimeout)},
        {"maxPullsServed", count(settings.maxPullsServed, 1)},
        {"maxSnapshotsServed", count(settings.maxSnapshotsServed, 1)},
        {"serviceCallsPerSecond",
         [&settings](const nlohmann::json &value) {
             settings.serviceCallsPerSecond = static_cast<double>(integer(value, 1, MaxCount));
         }},
        {"fleetSizeFloor", count(settings.fleetSizeFloor, 1)},
        {"fleetSizeUnknown", count(settings.fleetSizeUnknown, 1)},
        {"probeIntervalMs", milliseconds(member.probeInterval)},
        {"ackTimeoutMs", milliseconds(member.ackTimeout)},
        {"suspicionTimeoutMs", milliseconds(member.suspicionTimeout)},
        {"indirectProbes", count(member.indirectProbes, 0)},
        {"rumourRepeats", count(member.rumourRepeats, 1)},
    };
}

} // namespace

SpreadSettings parseSpreadSettings(const nlohmann::json &section)
{
    if (!section.is_object()) {
        refuse("the section is not an object");
    }
    SpreadSettings settings;
    const auto known = setters(settings);
    for (const auto &[key, value] : section.items()) {
        const auto setter = known.find(key);
        if (setter == known.end()) {
            refuse("unknown key " + key);
        }
        setter->second(value);
    }
    return settings;
}

} // namespace jasminemast
