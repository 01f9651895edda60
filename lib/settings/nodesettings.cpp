// The schema of node settings.
#include "jasminemast/settings/nodesettings.h"

#include "jasminemast/settings/controlsettings.h"
#include "jasminemast/settings/jsonreader.h"
#include "jasminemast/settings/settingsjson.h"

#include <algorithm>
#include <fstream>

namespace jasminemast
{

namespace
{

using std::chrono_literals::operator""ms;

HostRecord readHost(JsonReader &reader)
{
    HostRecord host;
    host.host = HostId(reader.string("host"));
    host.region = RegionId(reader.string("region"));
    host.zone = ZoneId(reader.string("zone"));
    host.address = reader.ipAddress("address");
    return host;
}

LinkSettings readLinks(JsonReader reader)
{
    LinkSettings links;
    links.heartbeatInterval = reader.milliseconds("heartbeatMs", 10ms, 60'000ms, links.heartbeatInterval);
    links.silenceLimit = reader.milliseconds("silenceMs", 30ms, 300'000ms, links.silenceLimit);
    links.idleLimit = reader.milliseconds("idleMs", 100ms, 3'600'000ms, links.idleLimit);
    constexpr double MaxMegabitsPerSecond = 100'000;
    constexpr double BytesPerMegabit = 125'000;
    links.rate = ByteRate(reader.real("megabitsPerSecond", 0, MaxMegabitsPerSecond, 0) * BytesPerMegabit);
    if (links.silenceLimit < links.heartbeatInterval * 2) {
        reader.fail(ResultCode::SettingsOutOfRange, "silenceMs", "at least twice heartbeatMs");
    }
    reader.finish();
    return links;
}

HeaderNames readHeaders(JsonReader reader)
{
    HeaderNames headers;
    headers.deadline = reader.string("deadline", headers.deadline);
    headers.requestId = reader.string("requestId", headers.requestId);
    headers.expectedEndpoint = reader.string("expectedEndpoint", headers.expectedEndpoint);
    headers.callerService = reader.string("callerService", headers.callerService);
    headers.notRun = reader.string("notRun", headers.notRun);
    headers.load = reader.string("load", headers.load);
    headers.warmUp = reader.string("warmUp", headers.warmUp);
    reader.finish();
    return headers;
}

WayCost readWayCost(JsonReader &reader, const char *fixedKey, const char *bytesKey)
{
    constexpr double MaxMillisecondsPerKilobyte = 1'000;
    return {reader.milliseconds(fixedKey, 0ms, 60'000ms, 0ms), reader.real(bytesKey, 0, MaxMillisecondsPerKilobyte, 0)};
}

WayCosts readWays(JsonReader reader)
{
    WayCosts ways;
    ways.zone = readWayCost(reader, "zoneMs", "zoneMsPerKilobyte");
    ways.region = readWayCost(reader, "regionMs", "regionMsPerKilobyte");
    ways.isEnabled = ways.zone != WayCost {} || ways.region != WayCost {};
    reader.finish();
    return ways;
}

RegistrySettings readRegistry(JsonReader reader)
{
    RegistrySettings registry;
    const SocketAddress address = reader.socketAddress("address", SocketAddress {});
    registry.address = address.port == 0 ? std::string() : address.toString();
    for (JsonReader &zone : reader.objects("zones")) {
        const ZoneId id(zone.string("zone"));
        registry.regions.emplace(id, RegionId(zone.string("region")));
        zone.finish();
    }
    reader.finish();
    return registry;
}

DrainSettings readDrain(JsonReader reader)
{
    DrainSettings drain;
    drain.serve = reader.milliseconds("serveMs", 0ms, 60'000ms, drain.serve);
    drain.linger = reader.milliseconds("lingerMs", 0ms, 60'000ms, drain.linger);
    drain.grace = reader.milliseconds("graceMs", 0ms, 600'000ms, drain.grace);
    const double killSeconds = reader.real("killSeconds", 0, 600, 0);
    const Milliseconds margin = reader.milliseconds("killMarginMs", 0ms, 60'000ms, 500ms);
    drain.flush = margin / 2;
    if (killSeconds > 0) {
        const auto kill = std::chrono::duration_cast<Milliseconds>(std::chrono::duration<double>(killSeconds));
        drain.grace = std::max(kill - margin, kill / 2);
        drain.flush = (kill - drain.grace) / 2;
    }
    reader.finish();
    return drain;
}

/// Reads "IP:PORT" from \p addressKey, where IP must be \p ip; if absent, reads the port from \p portKey.
std::uint16_t readPort(JsonReader &reader, const char *portKey, const char *addressKey, const std::string &ip)
{
    const SocketAddress address = reader.socketAddress(addressKey, SocketAddress {});
    if (address.port == 0) {
        return reader.port(portKey);
    }
    if (address.ip != ip) {
        reader.fail(ResultCode::SettingsOutOfRange, addressKey, "the IP number of /address");
    }
    return address.port;
}

CallSettings readCalls(JsonReader reader)
{
    constexpr std::uint64_t MaxRequestBytes = 256U << 20U;
    constexpr double MaxRetryBurst = 10'000;
    constexpr std::uint64_t MaxFreeRefusals = 100;
    constexpr double MaxQueuePerSlot = 100;
    CallSettings calls;
    calls.maxRequestBytes = reader.number("maxRequestBytes", 1, MaxRequestBytes, calls.maxRequestBytes);
    calls.defaultDeadline = reader.milliseconds("defaultDeadlineMs", 1ms, 600'000ms, calls.defaultDeadline);
    calls.uploadTimeout = reader.milliseconds("uploadTimeoutMs", 100ms, 600'000ms, calls.uploadTimeout);
    calls.probeTargets = reader.boolean("probeTargets", calls.probeTargets);
    calls.retryShare = reader.real("retryShare", 0, 1, calls.retryShare);
    calls.retryBurst = reader.real("retryBurst", 0, MaxRetryBurst, calls.retryBurst);
    calls.freeRefusals
        = static_cast<std::uint32_t>(reader.number("freeRefusals", 0, MaxFreeRefusals, calls.freeRefusals));
    calls.patientQueuePerSlot = reader.real("patientQueuePerSlot", 1, MaxQueuePerSlot, calls.patientQueuePerSlot);
    calls.headers = readHeaders(reader.object("headers"));
    calls.ways = readWays(reader.object("ways"));
    reader.finish();
    return calls;
}

MemorySettings readMemory(JsonReader reader)
{
    constexpr double MaxMegabytes = 100'000;
    MemorySettings memory;
    memory.machine = megabytes(reader.real("machineMegabytes", 0, MaxMegabytes, 0));
    reader.finish();
    return memory;
}

void readTarget(JsonReader reader, NodeSettings &settings)
{
    const SocketAddress address = reader.socketAddress("address", SocketAddress {});
    settings.targetPort = address.port;
    if (address.port != 0) {
        settings.targetAddress = address.ip;
    }
    settings.targetService = ServiceId(reader.string("service", ""));
    reader.finish();
}

void checkPorts(const JsonReader &reader, const NodeSettings &settings)
{
    if (settings.operatorPort == settings.callerPort) {
        reader.fail(ResultCode::SettingsPortClash, "operatorPort", "another port than callerPort");
    }
    if (settings.linkPort == settings.callerPort || settings.linkPort == settings.operatorPort) {
        reader.fail(ResultCode::SettingsPortClash, "linkPort", "another port than callerPort and operatorPort");
    }
}

} // namespace

void NodeSettings::applyReloadable(const NodeSettings &changed)
{
    calls = changed.calls;
    memory.machine = changed.memory.machine;
    drain = changed.drain;
    targetService = changed.targetService;
    // A node can't switch between the registry and the configuration service while it runs.
    if (registry.address.empty() == changed.registry.address.empty()) {
        registry = changed.registry;
    }
}

NodeSettings parseNodeSettings(std::string_view text, SettingCatalogue *catalogue)
{
    JsonReader reader(parseSettingsJson(text), "", catalogue);
    NodeSettings settings;
    settings.self = readHost(reader);
    settings.callerPort = readPort(reader, "callerPort", "callerAddress", settings.self.address);
    settings.operatorPort = readPort(reader, "operatorPort", "operatorAddress", settings.self.address);
    settings.readyPath = reader.string("readyPath", settings.readyPath);
    settings.linkPort = reader.port("linkPort");
    settings.registry = readRegistry(reader.object("registry"));
    if (settings.registry.address.empty()) {
        settings.configSource = reader.url("configSource");
        settings.hostList = reader.url("hostList");
        settings.storeRegion = RegionId(reader.string("storeRegion"));
    }
    settings.targetAddress = reader.ipAddress("targetAddress", settings.self.address);
    readTarget(reader.object("target"), settings);
    settings.drain = readDrain(reader.object("drain"));
    for (JsonReader &seed : reader.objects("seeds")) {
        settings.seeds.push_back(readHost(seed));
        seed.finish();
    }
    settings.links = readLinks(reader.object("links"));
    settings.calls = readCalls(reader.object("calls"));
    settings.memory = readMemory(reader.object("memory"));
    settings.control = readControlSettings(reader.object("control"));
    settings.control.storeRegion = settings.storeRegion;
    reader.finish();
    checkPorts(reader, settings);
    return settings;
}

NodeSettings readNodeSettings(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::string text(SettingsLimits::MaxBytes + 1, '\0');
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (!file.is_open() || file.bad()) {
        throw ResultError(ResultCode::SettingsUnreadable, path);
    }
    text.resize(static_cast<std::size_t>(file.gcount()));
    return parseNodeSettings(text);
}

} // namespace jasminemast
