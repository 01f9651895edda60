// Parsing of tickets and their fold into a state.
#include "jasminemast/config/ticket.h"

#include <nlohmann/json.hpp>

#include <initializer_list>

namespace jasminemast
{

namespace
{

using Json = nlohmann::json;

[[noreturn]] void fail(ResultCode code, const std::string &path, const std::string &what)
{
    throw ResultError(code, path + ": " + what);
}

/// Refuses text nested deeper than the limit before the parser recurses into it.
void checkDepth(std::string_view bytes)
{
    std::size_t depth = 0;
    bool inString = false;
    bool escaped = false;
    for (const char c : bytes) {
        if (inString) {
            inString = escaped || c != '"';
            escaped = !escaped && c == '\\';
            continue;
        }
        if (c == '"') {
            inString = true;
            escaped = false;
        } else if (c == '{' || c == '[') {
            ++depth;
        } else if ((c == '}' || c == ']') && depth > 0) {
            --depth;
        }
        if (depth > TicketLimits::MaxDepth) {
            fail(ResultCode::TicketTooDeep, "/", "more than " + std::to_string(TicketLimits::MaxDepth) + " levels");
        }
    }
}

void checkKeys(const Json &object, const std::string &path, std::initializer_list<std::string_view> known)
{
    if (!object.is_object()) {
        fail(ResultCode::TicketWrongType, path, "expected an object");
    }
    for (const auto &item : object.items()) {
        if (std::find(known.begin(), known.end(), item.key()) == known.end()) {
            fail(ResultCode::TicketUnknownKey, path + "/" + item.key(), "unknown key");
        }
    }
}

const Json &required(const Json &object, const std::string &path, const char *key)
{
    const auto found = object.find(key);
    if (found == object.end()) {
        fail(ResultCode::TicketWrongType, path + "/" + key, "missing");
    }
    return *found;
}

std::string readName(const Json &value, const std::string &path)
{
    if (!value.is_string()) {
        fail(ResultCode::TicketWrongType, path, "expected a string");
    }
    const auto &name = value.get_ref<const std::string &>();
    if (name.empty() || name.size() > TicketLimits::MaxNameLength) {
        fail(ResultCode::TicketWrongType, path, "expected 1 to 128 characters");
    }
    return name;
}

std::uint64_t readNumber(const Json &value, const std::string &path, std::uint64_t least, std::uint64_t most)
{
    if (!value.is_number_unsigned()) {
        fail(ResultCode::TicketWrongType, path, "expected a whole number");
    }
    const auto number = value.get<std::uint64_t>();
    if (number < least || number > most) {
        fail(ResultCode::TicketWrongType, path, "expected " + std::to_string(least) + " to " + std::to_string(most));
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

std::vector<std::string> readNames(const Json &value, const std::string &path)
{
    if (!value.is_array()) {
        fail(ResultCode::TicketWrongType, path, "expected an array");
    }
    std::vector<std::string> names;
    for (std::size_t i = 0; i < value.size(); ++i) {
        names.push_back(readName(value[i], path + "/" + std::to_string(i)));
    }
    return names;
}

Route readRoute(const RouteId &id, const Json &value, const std::string &path)
{
    constexpr std::uint64_t MaxTimeoutMs = 600'000;
    constexpr std::uint64_t DefaultTimeoutMs = 10'000;
    checkKeys(value, path, {"pathPrefix", "methods", "service", "repeatable", "timeoutMs"});
    Route route;
    route.id = id;
    route.pathPrefix = readName(required(value, path, "pathPrefix"), path + "/pathPrefix");
    if (route.pathPrefix.front() != '/') {
        fail(ResultCode::TicketWrongType, path + "/pathPrefix", "expected a leading '/'");
    }
    route.service = ServiceId(readName(required(value, path, "service"), path + "/service"));
    if (value.contains("methods")) {
        route.methods = readNames(value["methods"], path + "/methods");
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
    for (std::string &name : readNames(required(value, path, "endpoints"), path + "/endpoints")) {
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
    if (!ticket.contains(key)) {
        return section;
    }
    const std::string path = std::string("/") + key;
    const Json &objects = ticket[key];
    if (!objects.is_object()) {
        fail(ResultCode::TicketWrongType, path, "expected an object");
    }
    for (const auto &item : objects.items()) {
        const std::string itemPath = path + "/" + item.key();
        const Id id(readName(Json(item.key()), itemPath));
        if (item.value().is_null()) {
            section.emplace(id, std::nullopt);
            continue;
        }
        section.emplace(id, read(id, item.value(), itemPath));
    }
    return section;
}

Digest readDigest(const Json &value, const std::string &path, ResultCode code)
{
    const auto digest = value.is_string() ? Digest::fromHex(value.get_ref<const std::string &>()) : std::nullopt;
    if (!digest) {
        fail(code, path, "expected 64 lower-case hexadecimal digits");
    }
    return *digest;
}

template<class Map, class Section>
void foldSection(Map &objects, const Section &section)
{
    for (const auto &[id, object] : section) {
        if (!object) {
            objects.erase(id);
            continue;
        }
        using Object = typename Map::mapped_type::element_type;
        objects[id] = std::make_shared<Object>(*object);
    }
}

void checkReferences(const State &state)
{
    for (const auto &[id, route] : state.routes) {
        if (!state.services.contains(route->service)) {
            fail(ResultCode::TicketRouteWithoutService, "/routes/" + id.value(), "service " + route->service.value());
        }
    }
    for (const auto &[id, service] : state.services) {
        for (const EndpointId &endpoint : service->endpoints) {
            if (!state.endpoints.contains(endpoint)) {
                fail(ResultCode::TicketServiceWithoutEndpoint, "/services/" + id.value(),
                     "endpoint " + endpoint.value());
            }
        }
    }
}

State foldTicket(const State &before, const Ticket &ticket)
{
    State after = before;
    foldSection(after.endpoints, ticket.endpoints);
    foldSection(after.services, ticket.services);
    foldSection(after.routes, ticket.routes);
    if (after.endpoints.size() + after.services.size() + after.routes.size() > TicketLimits::MaxObjects) {
        fail(ResultCode::TicketTooManyObjects, "/", "more than " + std::to_string(TicketLimits::MaxObjects));
    }
    checkReferences(after);
    after.stateDigest = computeStateDigest(after);
    return after;
}

State foldChecked(const State &before, TicketNumber number, std::string_view bytes)
{
    const Ticket ticket = parseTicket(bytes);
    if (ticket.number != number) {
        fail(ResultCode::TicketWrongNumber, "/number", "expected " + std::to_string(number.value()));
    }
    if (ticket.previous != before.ticketDigest) {
        fail(ResultCode::TicketWrongPrevious, "/previous", "expected " + before.ticketDigest.hex());
    }
    return foldTicket(before, ticket);
}

} // namespace

Ticket parseTicket(std::string_view bytes)
{
    if (bytes.size() > TicketLimits::MaxBytes) {
        fail(ResultCode::TicketTooLarge, "/", std::to_string(bytes.size()) + " bytes");
    }
    checkDepth(bytes);
    const Json json = Json::parse(bytes, nullptr, false);
    if (json.is_discarded()) {
        fail(ResultCode::TicketNotJson, "/", "cannot be parsed");
    }
    checkKeys(json, "", {"number", "previous", "routes", "services", "endpoints"});
    Ticket ticket;
    ticket.number = TicketNumber(readNumber(required(json, "", "number"), "/number", 1, UINT64_MAX));
    ticket.previous = readDigest(required(json, "", "previous"), "/previous", ResultCode::TicketWrongType);
    ticket.routes = readSection<RouteId, Route>(json, "routes", readRoute);
    ticket.services = readSection<ServiceId, Service>(json, "services", readService);
    ticket.endpoints = readSection<EndpointId, Endpoint>(json, "endpoints", readEndpoint);
    return ticket;
}

Verdict applyTicket(const StatePtr &before, TicketNumber number, std::string_view bytes)
{
    Verdict verdict;
    State after = *before;
    try {
        after = foldChecked(*before, number, bytes);
    } catch (const ResultError &error) {
        verdict.code = error.code();
        verdict.detail = error.detail();
    }
    after.number = number;
    after.ticketDigest = sha256(bytes);
    verdict.state = std::make_shared<const State>(std::move(after));
    return verdict;
}

Head parseHead(std::string_view bytes)
{
    constexpr std::size_t MaxHeadBytes = 1024;
    const ResultCode code = ResultCode::AcceptedMalformed;
    if (bytes.size() > MaxHeadBytes) {
        fail(code, "/", "too large");
    }
    const Json json = Json::parse(bytes, nullptr, false);
    if (!json.is_object() || !json.contains("number") || !json.contains("digest")) {
        fail(code, "/", "expected number and digest");
    }
    if (!json["number"].is_number_unsigned()) {
        fail(code, "/number", "expected a whole number");
    }
    Head head;
    head.number = TicketNumber(json["number"].get<std::uint64_t>());
    head.digest = readDigest(json["digest"], "/digest", code);
    return head;
}

} // namespace jasminemast
