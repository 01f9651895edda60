// Parses and indexes the platform's host list.
#include "jasminemast/member/hostlist.h"

#include "jasminemast/support/jsondepth.h"
#include "jasminemast/support/result.h"

#include <nlohmann/json.hpp>
#include <set>

namespace jasminemast
{

namespace
{

constexpr std::size_t MaxHosts = 20'000;
constexpr std::size_t MaxFieldLength = 64;
constexpr std::size_t MaxLevels = 32; // of nested objects and arrays; the list needs two

[[noreturn]] void throwMalformed(const std::string &detail)
{
    throw ResultError(ResultCode::HostListMalformed, detail);
}

std::string stringField(const nlohmann::json &object, const char *key)
{
    const auto field = object.find(key);
    if (field == object.end() || !field->is_string()) {
        throwMalformed(std::string("host lacks string field ") + key);
    }
    auto value = field->get<std::string>();
    if (value.empty() || value.size() > MaxFieldLength) {
        throwMalformed(std::string("empty or too long field ") + key);
    }
    return value;
}

HostEntry parseHost(const nlohmann::json &object)
{
    if (!object.is_object()) {
        throwMalformed("host is not an object");
    }
    HostEntry entry;
    entry.host = HostId(stringField(object, "host"));
    entry.region = RegionId(stringField(object, "region"));
    entry.zone = ZoneId(stringField(object, "zone"));
    entry.address = stringField(object, "address");
    const auto state = stringField(object, "state");
    if (state != "live" && state != "leaving") {
        throwMalformed("unknown host state " + state);
    }
    entry.leaving = state == "leaving";
    return entry;
}

} // namespace

HostList::HostList(const std::vector<HostEntry> &entries)
{
    for (const auto &entry : entries) {
        m_entries.insert_or_assign(entry.host, entry);
    }
}

const HostEntry *HostList::find(const HostId &host) const
{
    const auto found = m_entries.find(host);
    return found == m_entries.end() ? nullptr : &found->second;
}

std::vector<HostId> HostList::inZone(const ZoneId &zone) const
{
    std::vector<HostId> hosts;
    for (const auto &[host, entry] : m_entries) {
        if (entry.zone == zone) {
            hosts.push_back(host);
        }
    }
    return hosts;
}

std::vector<HostId> HostList::inRegion(const RegionId &region) const
{
    std::vector<HostId> hosts;
    for (const auto &[host, entry] : m_entries) {
        if (entry.region == region) {
            hosts.push_back(host);
        }
    }
    return hosts;
}

std::vector<ZoneId> HostList::zones() const
{
    std::set<ZoneId> zones;
    for (const auto &[host, entry] : m_entries) {
        zones.insert(entry.zone);
    }
    return {zones.begin(), zones.end()};
}

HostList parseHostList(std::string_view bytes)
{
    if (isNestedDeeper(bytes, MaxLevels)) {
        throwMalformed("host list is nested too deeply");
    }
    const auto document = nlohmann::json::parse(bytes, nullptr, false);
    if (!document.is_array()) {
        throwMalformed("host list is not a JSON array");
    }
    if (document.size() > MaxHosts) {
        throwMalformed("host list has too many hosts");
    }
    std::vector<HostEntry> entries;
    entries.reserve(document.size());
    for (const auto &object : document) {
        entries.push_back(parseHost(object));
    }
    return HostList(entries);
}

} // namespace jasminemast
