// The schema of the "control" section.
#include "jasminemast/settings/controlsettings.h"

namespace jasminemast
{

namespace
{

constexpr std::uint64_t MaxHosts = 20'000;
constexpr Milliseconds MaxInterval {600'000};

void readCount(JsonReader &reader, const char *key, std::uint64_t min, unsigned &count)
{
    count = static_cast<unsigned>(reader.number(key, min, MaxHosts, count));
}

void readInterval(JsonReader &reader, const char *key, Milliseconds &interval)
{
    interval = reader.milliseconds(key, Milliseconds(1), MaxInterval, interval);
}

void readMembership(JsonReader &reader, MembershipSettings &membership)
{
    readInterval(reader, "ackTimeoutMs", membership.ackTimeout);
    readInterval(reader, "suspicionTimeoutMs", membership.suspicionTimeout);
    readCount(reader, "indirectProbes", 0, membership.indirectProbes);
    readCount(reader, "rumourRepeats", 1, membership.rumourRepeats);
}

void readService(JsonReader &reader, SpreadSettings &settings)
{
    constexpr double MinCallsPerSecond = 1;
    constexpr double MaxCallsPerSecond = 1'000'000;
    settings.serviceCallsPerSecond
        = reader.real("serviceCallsPerSecond", MinCallsPerSecond, MaxCallsPerSecond, settings.serviceCallsPerSecond);
    readCount(reader, "fleetSizeFloor", 1, settings.fleetSizeFloor);
    readCount(reader, "fleetSizeUnknown", 1, settings.fleetSizeUnknown);
    readInterval(reader, "watchWaitMs", settings.watchWait);
}

} // namespace

SpreadSettings readControlSettings(JsonReader reader)
{
    SpreadSettings settings;
    readCount(reader, "readersPerZone", 1, settings.readersPerZone);
    readCount(reader, "awayReadersPerZone", 1, settings.awayReadersPerZone);
    readCount(reader, "standbysPerZone", 0, settings.standbysPerZone);
    readCount(reader, "announceFanout", 1, settings.announceFanout);
    readCount(reader, "regionAnnounceCount", 1, settings.regionAnnounceCount);
    readCount(reader, "regionPushCount", 0, settings.regionPushCount);
    readInterval(reader, "regionFallbackDelayMs", settings.regionFallbackDelay);
    readInterval(reader, "askDelayMs", settings.askDelay);
    readInterval(reader, "readerHeartbeatMs", settings.readerHeartbeat);
    readInterval(reader, "readerTimeoutMs", settings.readerTimeout);
    readInterval(reader, "antiEntropyIntervalMs", settings.antiEntropyInterval);
    readCount(reader, "outsideShare", 1, settings.outsideShare);
    readInterval(reader, "reportIntervalMs", settings.reportInterval);
    readInterval(reader, "summaryStaleAfterMs", settings.summaryStaleAfter);
    readInterval(reader, "joinWaitMs", settings.joinWait);
    readCount(reader, "joinPeers", 1, settings.joinPeers);
    readInterval(reader, "pauseThresholdMs", settings.pauseThreshold);
    readInterval(reader, "pullTimeoutMs", settings.pullTimeout);
    readCount(reader, "maxPullsServed", 1, settings.maxPullsServed);
    readCount(reader, "maxSnapshotsServed", 1, settings.maxSnapshotsServed);
    readService(reader, settings);
    readMembership(reader, settings.membership);
    reader.finish();
    if (settings.readerTimeout <= settings.readerHeartbeat) {
        reader.fail(ResultCode::SettingsOutOfRange, "readerTimeoutMs", "more than readerHeartbeatMs");
    }
    return settings;
}

} // namespace jasminemast
