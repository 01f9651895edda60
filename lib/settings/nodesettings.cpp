// The schema of node settings.
#include "jasminemast/settings/nodesettings.h"

#include "jasminemast/settings/jsonreader.h"

#include <fstream>
#include <sstream>

namespace jasminemast
{

namespace
{

using std::chrono_literals::operator""ms;

constexpr std::uint64_t MaxPort = 65'535;

HostRecord readHost(JsonReader &reader)
{
    HostRecord host;
    host.host = HostId(reader.string("host"));
    host.region = RegionId(reader.string("region"));
    host.zone = ZoneId(reader.string("zone"));
    host.address = reader.ipAddress("address");
    return host;
}

std::uint16_t readPort(JsonReader &reader, const char *key)
{
    return static_cast<std::uint16_t>(reader.number(key, 1, MaxPort));
}

std::string readUrl(JsonReader &reader, const char *key)
{
    std::string url = reader.string(key);
    if (!url.starts_with("http://") || url.ends_with("/")) {
        reader.fail(ResultCode::SettingsOutOfRange, key, "http://ADDRESS:PORT without a trailing slash");
    }
    return url;
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

NodeSettings parseNodeSettings(std::string_view json)
{
    const auto parsed = nlohmann::json::parse(json, nullptr, false);
    if (parsed.is_discarded()) {
        throw ResultError(ResultCode::SettingsNotJson, "/: expected JSON");
    }
    JsonReader reader(parsed, "");
    NodeSettings settings;
    settings.self = readHost(reader);
    settings.callerPort = readPort(reader, "callerPort");
    settings.operatorPort = readPort(reader, "operatorPort");
    settings.linkPort = readPort(reader, "linkPort");
    settings.configSource = readUrl(reader, "configSource");
    settings.hostList = readUrl(reader, "hostList");
    settings.storeRegion = RegionId(reader.string("storeRegion"));
    settings.targetAddress = reader.has("targetAddress") ? reader.ipAddress("targetAddress") : settings.self.address;
    for (JsonReader &seed : reader.objects("seeds")) {
        settings.seeds.push_back(readHost(seed));
        seed.finish();
    }
    settings.links = readLinks(reader.object("links"));
    settings.calls = readCalls(reader.object("calls"));
    reader.finish();
    checkPorts(reader, settings);
    return settings;
}

NodeSettings readNodeSettings(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf())) {
        throw ResultError(ResultCode::SettingsUnreadable, path);
    }
    return parseNodeSettings(text.str());
}

} // namespace jasminemast
