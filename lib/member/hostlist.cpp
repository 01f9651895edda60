// Parses and indexes the platform's host list.
#include "jasminemast/member/hostlist.h"

#include "jasminemast/support/result.h"

#include <nlohmann/json.hpp>
#include <set>

namespace jasminemast
{

namespace
{

constexpr std::size_t MaxHosts = 20'000;
constexpr std::size_t MaxHostListTextLength = 64;

[[noreturn]] void refuse(const std::string &detail)
{
    throw ResultError(ResultCode::HostListMalformed, detail);
}

std::string textField(const nlohmann::json &object, const char *key)
{
    const auto field = object.find(key);
    if (field == object.end() || !field->is_string()) {
        refuse(std::string("host without text field ") + key);
    }
    auto text = field->get<std::string>();
    if (text.empty() || text.size() > MaxHostListTextLength) {
        refuse(std::string("empty or overlong field ") + key);
    }
    return text;
}

HostEntry parseHost(const nlohmann::json &object)
{
    if (!object.is_object()) {
        refuse("host is not an object");
    }
    HostEntry entry;
    entry.host = HostId(textField(object, "host"));
    entry.region = RegionId(textField(object, "region"));
    entry.zone = ZoneId(textField(object, "zone"));
    entry.address = textField(object, "address");
    const auto state = textField(object, "state");
    if (state != "live" && state != "leaving") {
        refuse("unknown host state " + state);
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
    const auto document = nlohmann::json::parse(bytes, nullptr, false);
    if (!document.is_array()) {
        refuse("host list is not a JSON array");
    }
    if (document.size() > MaxHosts) {
        refuse("host list holds too many hosts");
    }
    std::vector<HostEntry> entries;
    entries.reserve(document.size());
    for (const auto &object : document) {
        entries.push_back(parseHost(object));
    }
    return HostList(entries);
}

} // namespace jasminemast
