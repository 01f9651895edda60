// The schema of node settings.
#include "jasminemast/settings/nodesettings.h"

#include "jasminemast/settings/controlsettings.h"
#include "jasminemast/settings/jsonreader.h"
#include "jasminemast/settings/settingsjson.h"

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
    if (links.silenceLimit < links.heartbeatInterval * 2) {
        reader.fail(ResultCode::SettingsOutOfRange, "silenceMs", "at least twice heartbeatMs");
    }
    reader.finish();
    return links;
}

CallSettings readCalls(JsonReader reader)
{
    constexpr std::uint64_t MostRequestBytes = 256U << 20U;
    CallSettings calls;
    calls.maxRequestBytes = reader.number("maxRequestBytes", 1, MostRequestBytes, calls.maxRequestBytes);
    calls.defaultDeadline = reader.milliseconds("defaultDeadlineMs", 1ms, 600'000ms, calls.defaultDeadline);
    reader.finish();
    return calls;
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

NodeSettings parseNodeSettings(std::string_view text, SettingCatalogue *catalogue)
{
    JsonReader reader(parseSettingsJson(text), "", catalogue);
    NodeSettings settings;
    settings.self = readHost(reader);
    settings.callerPort = reader.port("callerPort");
    settings.operatorPort = reader.port("operatorPort");
    settings.linkPort = reader.port("linkPort");
    settings.configSource = reader.url("configSource");
    settings.hostList = reader.url("hostList");
    settings.storeRegion = RegionId(reader.string("storeRegion"));
    settings.targetAddress = reader.ipAddress("targetAddress", settings.self.address);
    for (JsonReader &seed : reader.objects("seeds")) {
        settings.seeds.push_back(readHost(seed));
        seed.finish();
    }
    settings.links = readLinks(reader.object("links"));
    settings.calls = readCalls(reader.object("calls"));
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
