// Compares two states object by object.
#include "jasminemast/config/diff.h"

#include "objectjson.h"

#include <map>
#include <set>
#include <tuple>

namespace jasminemast
{

namespace
{

using Json = nlohmann::json;

std::string fieldText(const Json &object, const std::string &field)
{
    const auto found = object.find(field);
    return found == object.end() ? "null" : found->dump();
}

std::vector<FieldChange> diffFields(const Json &before, const Json &after)
{
    std::set<std::string> names;
    for (const Json *object : {&before, &after}) {
        for (const auto &item : object->items()) {
            names.insert(item.key());
        }
    }
    std::vector<FieldChange> changes;
    for (const std::string &name : names) {
        FieldChange change {name, fieldText(before, name), fieldText(after, name)};
        if (change.before != change.after) {
            changes.push_back(std::move(change));
        }
    }
    return changes;
}

template<class Map>
void diffObjects(ObjectKind kind, const Map &before, const Map &after, std::vector<ObjectChange> &changes)
{
    auto oldItem = before.begin();
    auto newItem = after.begin();
    while (oldItem != before.end() || newItem != after.end()) {
        const bool isRemoved = newItem == after.end() || (oldItem != before.end() && oldItem->first < newItem->first);
        const bool isAdded = oldItem == before.end() || (newItem != after.end() && newItem->first < oldItem->first);
        if (isRemoved) {
            changes.push_back({ChangeKind::Removed, kind, oldItem->first.value(), {}});
            ++oldItem;
            continue;
        }
        if (isAdded) {
            changes.push_back({ChangeKind::Added, kind, newItem->first.value(), {}});
            ++newItem;
            continue;
        }
        const bool isSame = oldItem->second == newItem->second || *oldItem->second == *newItem->second;
        if (!isSame) {
            auto fields = diffFields(toJson(*oldItem->second), toJson(*newItem->second));
            changes.push_back({ChangeKind::Changed, kind, newItem->first.value(), std::move(fields)});
        }
        ++oldItem;
        ++newItem;
    }
}

void findUnusableServices(const State &state, std::vector<std::string> &oddities)
{
    for (const auto &[id, service] : state.services) {
        bool isUsable = false;
        for (const EndpointId &endpoint : service->endpoints) {
            isUsable = isUsable || !state.endpoints.at(endpoint)->draining;
        }
        if (!isUsable) {
            oddities.push_back("service " + id.value() + " has no endpoint that takes calls");
        }
    }
}

void findUnusedOrDuplicateEndpoints(const State &state, std::vector<std::string> &oddities)
{
    std::set<EndpointId> used;
    for (const auto &[id, service] : state.services) {
        used.insert(service->endpoints.begin(), service->endpoints.end());
    }
    std::map<std::pair<HostId, std::uint16_t>, EndpointId> ports;
    for (const auto &[id, endpoint] : state.endpoints) {
        if (!used.contains(id)) {
            oddities.push_back("endpoint " + id.value() + " belongs to no service");
        }
        const auto [other, isNew] = ports.emplace(std::pair(endpoint->host, endpoint->port), id);
        if (!isNew) {
            oddities.push_back("endpoints " + other->second.value() + " and " + id.value()
                               + " are the same port of host " + endpoint->host.value());
        }
    }
}

/// True when the route is chosen for one of its methods or, if it lists none, for a method that no route lists.
bool isReachable(const State &state, const Route &route)
{
    static constexpr std::string_view UnnamedMethod = "*";
    const std::vector<std::string> any {std::string(UnnamedMethod)};
    const std::vector<std::string> &methods = route.methods.empty() ? any : route.methods;
    for (const std::string &method : methods) {
        const Route *chosen = state.findRoute(method, route.pathPrefix);
        if (chosen != nullptr && chosen->id == route.id) {
            return true;
        }
    }
    return false;
}

void findShadowedRoutes(const State &state, std::vector<std::string> &oddities)
{
    for (const auto &[id, route] : state.routes) {
        if (!isReachable(state, *route)) {
            oddities.push_back("route " + id.value() + " is never chosen: another route has its prefix and methods");
        }
    }
}

} // namespace

std::vector<ObjectChange> diffStates(const State &before, const State &after)
{
    std::vector<ObjectChange> changes;
    diffObjects(ObjectKind::Route, before.routes, after.routes, changes);
    diffObjects(ObjectKind::Service, before.services, after.services, changes);
    diffObjects(ObjectKind::Endpoint, before.endpoints, after.endpoints, changes);
    return changes;
}

std::vector<std::string> findOddities(const State &state)
{
    std::vector<std::string> oddities;
    findShadowedRoutes(state, oddities);
    findUnusableServices(state, oddities);
    findUnusedOrDuplicateEndpoints(state, oddities);
    return oddities;
}

std::string_view changeName(ChangeKind change)
{
    switch (change) {
    case ChangeKind::Added:
        return "added";
    case ChangeKind::Changed:
        return "changed";
    case ChangeKind::Removed:
        return "removed";
    }
    return "unknown";
}

std::string_view objectName(ObjectKind kind)
{
    switch (kind) {
    case ObjectKind::Route:
        return "route";
    case ObjectKind::Service:
        return "service";
    case ObjectKind::Endpoint:
        return "endpoint";
    }
    return "unknown";
}

} // namespace jasminemast
