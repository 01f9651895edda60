// Parses tickets from JSON and checks every limit that does not depend on the state.
#include "jasminemast/config/ticket.h"
#include "strictjson.h"

#include <algorithm>
#include <initializer_list>
#include <unordered_set>

namespace jasminemast
{

namespace
{

using Json = nlohmann::json;

[[noreturn]] void fail(ResultCode code, const std::string &path, const std::string &what)
{
    throw ResultError(code, path + ": " + what);
}

void checkObject(const Json &value, const std::string &path)
{
    if (!value.is_object()) {
        fail(ResultCode::TicketWrongType, path, "expected an object");
    }
}

void checkKeys(const Json &object, const std::string &path, std::initializer_list<std::string_view> known)
{
    checkObject(object, path);
    for (const auto &item : object.items()) {
        if (std::find(known.begin(), known.end(), item.key()) == known.end()) {
            fail(ResultCode::TicketUnknownKey, childPath(path, item.key()), "unknown key");
        }
    }
}

const Json &required(const Json &object, const std::string &path, const char *key)
{
    const auto found = object.find(key);
    if (found == object.end()) {
        fail(ResultCode::TicketWrongType, childPath(path, key), "missing");
    }
    return *found;
}

/// True if \p text contains a control character: U+0000 to U+001F or U+007F to U+009F.
bool hasControlCharacter(std::string_view text)
{
    bool isAfterC2 = false;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (byte < 0x20 || byte == 0x7F || (isAfterC2 && byte < 0xA0)) {
            return true;
        }
        isAfterC2 = byte == 0xC2;
    }
    return false;
}

void checkName(std::string_view name, const std::string &path, std::size_t maxLength)
{
    if (name.empty() || name.size() > maxLength) {
        fail(ResultCode::TicketBadName, path, "expected 1 to " + std::to_string(maxLength) + " bytes");
    }
    if (hasControlCharacter(name)) {
        fail(ResultCode::TicketBadName, path, "control character");
    }
}

const std::string &readString(const Json &value, const std::string &path)
{
    if (!value.is_string()) {
        fail(ResultCode::TicketWrongType, path, "expected a string");
    }
    return value.get_ref<const std::string &>();
}

std::string readName(const Json &value, const std::string &path)
{
    const std::string &name = readString(value, path);
    checkName(name, path, TicketLimits::MaxNameLength);
    return name;
}

std::string readPathPrefix(const Json &value, const std::string &path)
{
    const std::string &prefix = readString(value, path);
    checkName(prefix, path, TicketLimits::MaxPathLength);
    if (prefix.front() != '/' || prefix.find_first_of(" ?#") != std::string::npos) {
        fail(ResultCode::TicketBadName, path, "expected a leading '/' and neither space, '?' nor '#'");
    }
    return prefix;
}

std::string readMethod(const Json &value, const std::string &path)
{
    const std::string &method = readString(value, path);
    checkName(method, path, TicketLimits::MaxMethodLength);
    if (method.find_first_not_of("ABCDEFGHIJKLMNOPQRSTUVWXYZ-_") != std::string::npos) {
        fail(ResultCode::TicketBadName, path, "expected an upper-case HTTP method");
    }
    return method;
}

std::uint64_t readNumber(const Json &value, const std::string &path, std::uint64_t min, std::uint64_t max)
{
    if (!value.is_number_unsigned()) {
        fail(ResultCode::TicketWrongType, path, "expected a whole number");
    }
    const auto number = value.get<std::uint64_t>();
    if (number < min || number > max) {
        fail(ResultCode::TicketWrongType, path, "expected " + std::to_string(min) + " to " + std::to_string(max));
    }
    return number;
}

bool readBool(const Json &value, const std::string &path)
{
    if (!value.is_boolean()) {
        fail(ResultCode::TicketWrongType, path, "expected true or false");
    }
    return value.get<bool>();
}

/// Reads an array of strings that are all different.
std::vector<std::string> readSet(const Json &value, const std::string &path,
                                 std::string (*readItem)(const Json &, const std::string &))
{
    if (!value.is_array()) {
        fail(ResultCode::TicketWrongType, path, "expected an array");
    }
    std::vector<std::string> items;
    std::unordered_set<std::string_view> seen;
    items.reserve(value.size());
    for (const Json &item : value) {
        const std::string itemPath = childPath(path, std::to_string(items.size()));
        items.push_back(readItem(item, itemPath));
        if (!seen.insert(items.back()).second) {
            fail(ResultCode::TicketDuplicateItem, itemPath, items.back());
        }
    }
    return items;
}

Route readRoute(const RouteId &id, const Json &value, const std::string &path)
{
    constexpr std::uint64_t MaxTimeoutMs = 600'000;
    constexpr std::uint64_t DefaultTimeoutMs = 10'000;
    checkKeys(value, path, {"pathPrefix", "methods", "service", "repeatable", "timeoutMs"});
    Route route;
    route.id = id;
    route.pathPrefix = readPathPrefix(required(value, path, "pathPrefix"), path + "/pathPrefix");
    route.service = ServiceId(readName(required(value, path, "service"), path + "/service"));
    if (value.contains("methods")) {
        route.methods = readSet(value["methods"], path + "/methods", readMethod);
        if (route.methods.size() > TicketLimits::MaxMethods) {
            fail(ResultCode::TicketWrongType, path + "/methods",
                 "expected up to " + std::to_string(TicketLimits::MaxMethods));
        }
    }
    if (value.contains("repeatable")) {
        route.repeatable = readBool(value["repeatable"], path + "/repeatable");
    }
    route.timeout = Milliseconds(DefaultTimeoutMs);
    if (value.contains("timeoutMs")) {
        route.timeout = Milliseconds(readNumber(value["timeoutMs"], path + "/timeoutMs", 1, MaxTimeoutMs));
    }
    return route;
}

Service readService(const ServiceId &id, const Json &value, const std::string &path)
{
    checkKeys(value, path, {"endpoints"});
    Service service;
    service.id = id;
    std::vector<std::string> names = readSet(required(value, path, "endpoints"), path + "/endpoints", readName);
    service.endpoints.reserve(names.size());
    for (std::string &name : names) {
        service.endpoints.emplace_back(std::move(name));
    }
    return service;
}

Endpoint readEndpoint(const EndpointId &id, const Json &value, const std::string &path)
{
    constexpr std::uint64_t MaxPort = 65'535;
    constexpr std::uint64_t MaxSlots = 10'000;
    checkKeys(value, path, {"host", "port", "slots", "draining"});
    Endpoint endpoint;
    endpoint.id = id;
    endpoint.host = HostId(readName(required(value, path, "host"), path + "/host"));
    endpoint.port = static_cast<std::uint16_t>(readNumber(required(value, path, "port"), path + "/port", 1, MaxPort));
    endpoint.slots = static_cast<unsigned>(readNumber(required(value, path, "slots"), path + "/slots", 1, MaxSlots));
    if (value.contains("draining")) {
        endpoint.draining = readBool(value["draining"], path + "/draining");
    }
    return endpoint;
}

template<class Id, class Object>
std::map<Id, std::optional<Object>> readSection(const Json &ticket, const char *key,
                                                Object (*read)(const Id &, const Json &, const std::string &))
{
    std::map<Id, std::optional<Object>> section;
    const auto objects = ticket.find(key);
    if (objects == ticket.end()) {
        return section;
    }
    const std::string path = childPath("", key);
    checkObject(*objects, path);
    for (const auto &item : objects->items()) {
        const std::string itemPath = childPath(path, item.key());
        checkName(item.key(), itemPath, TicketLimits::MaxNameLength);
        const Id id(item.key());
        if (item.value().is_null()) {
            section.emplace_hint(section.end(), id, std::nullopt);
            continue;
        }
        section.emplace_hint(section.end(), id, read(id, item.value(), itemPath));
    }
    return section;
}

Digest readDigest(const Json &value, const std::string &path)
{
    const auto digest = Digest::fromHex(readString(value, path));
    if (!digest) {
        fail(ResultCode::TicketWrongType, path, "expected 64 lower-case hexadecimal digits");
    }
    return *digest;
}

Head readHead(std::string_view bytes)
{
    constexpr std::size_t MaxHeadBytes = 1024;
    constexpr std::size_t MaxHeadDepth = 4;
    if (bytes.size() > MaxHeadBytes) {
        fail(ResultCode::TicketTooLarge, "", "more than " + std::to_string(MaxHeadBytes) + " bytes");
    }
    const Json json = parseStrictJson(bytes, MaxHeadDepth);
    checkObject(json, "");
    Head head;
    head.number = TicketNumber(readNumber(required(json, "", "number"), "/number", 1, TicketLimits::MaxNumber));
    head.digest = readDigest(required(json, "", "digest"), "/digest");
    return head;
}

} // namespace

Ticket parseTicket(std::string_view bytes)
{
    if (bytes.size() > TicketLimits::MaxBytes) {
        fail(ResultCode::TicketTooLarge, "", std::to_string(bytes.size()) + " bytes");
    }
    const Json json = parseStrictJson(bytes, TicketLimits::MaxDepth);
    checkKeys(json, "", {"number", "previous", "routes", "services", "endpoints"});
    Ticket ticket;
    ticket.number = TicketNumber(readNumber(required(json, "", "number"), "/number", 1, TicketLimits::MaxNumber));
    ticket.previous = readDigest(required(json, "", "previous"), "/previous");
    ticket.routes = readSection<RouteId, Route>(json, "routes", readRoute);
    ticket.services = readSection<ServiceId, Service>(json, "services", readService);
    ticket.endpoints = readSection<EndpointId, Endpoint>(json, "endpoints", readEndpoint);
    return ticket;
}

Head parseHead(std::string_view bytes)
{
    try {
        return readHead(bytes);
    } catch (const ResultError &error) {
        throw ResultError(ResultCode::AcceptedMalformed, error.detail());
    }
}

} // namespace jasminemast
