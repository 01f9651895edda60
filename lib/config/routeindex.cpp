// Longest-prefix search over sorted prefixes.
#include "jasminemast/config/routeindex.h"

#include "jasminemast/config/state.h"

#include <algorithm>

namespace jasminemast
{

namespace
{

bool matchesMethod(const Route &route, std::string_view method)
{
    return route.methods.empty()
        || std::find(route.methods.begin(), route.methods.end(), method) != route.methods.end();
}

std::string makeKey(const Route &route)
{
    return route.host + route.pathPrefix;
}

bool isTriedBefore(const RoutePtr &left, const RoutePtr &right)
{
    if (left->methods.empty() != right->methods.empty()) {
        return right->methods.empty();
    }
    return left->id < right->id;
}

/// A route that is in only one of two states.
struct RouteChange
{
    std::string key;
    RoutePtr route;
    bool isAdded;
};

/// The differences between two states, sorted by key.
std::vector<RouteChange> findChanges(const State::RouteMap &before, const State::RouteMap &after)
{
    std::vector<RouteChange> changes;
    auto oldItem = before.begin();
    auto newItem = after.begin();
    while (oldItem != before.end() || newItem != after.end()) {
        const bool isRemoved = newItem == after.end() || (oldItem != before.end() && oldItem->first < newItem->first);
        const bool isAdded = oldItem == before.end() || (newItem != after.end() && newItem->first < oldItem->first);
        const bool isSame = !isRemoved && !isAdded && oldItem->second == newItem->second;
        if (!isAdded) {
            if (!isSame) {
                changes.push_back({makeKey(*oldItem->second), oldItem->second, false});
            }
            ++oldItem;
        }
        if (!isRemoved) {
            if (!isSame) {
                changes.push_back({makeKey(*newItem->second), newItem->second, true});
            }
            ++newItem;
        }
    }
    std::sort(changes.begin(), changes.end(),
              [](const RouteChange &left, const RouteChange &right) { return left.key < right.key; });
    return changes;
}

} // namespace

RouteIndex::RouteIndex(const State &state)
    : RouteIndex(state, State())
{
}

RouteIndex::RouteIndex(const State &state, const State &previous)
{
    const bool isIndexed = previous.routeIndex != nullptr;
    const std::vector<Node> none;
    const std::vector<Node> &shared = isIndexed ? previous.routeIndex->m_nodes : none;
    const auto changes = findChanges(isIndexed ? previous.routes : State::RouteMap(), state.routes);
    auto change = changes.begin();
    // Adds the entry that the next changes, which have one key, lead to from its routes before.
    const auto addChanged = [&](std::vector<RoutePtr> routes) {
        const std::string &key = change->key;
        for (; change != changes.end() && change->key == key; ++change) {
            if (change->isAdded) {
                routes.push_back(change->route);
            } else {
                std::erase(routes, change->route);
            }
        }
        if (!routes.empty()) {
            std::sort(routes.begin(), routes.end(), isTriedBefore);
            addEntry(std::make_shared<const Entry>(Entry {key, std::move(routes)}));
        }
    };
    m_nodes.reserve(shared.size() + changes.size());
    for (const Node &node : shared) {
        while (change != changes.end() && change->key < node.entry->prefix) {
            addChanged({});
        }
        if (change != changes.end() && change->key == node.entry->prefix) {
            addChanged(node.entry->routes);
        } else {
            addEntry(node.entry);
        }
    }
    while (change != changes.end()) {
        addChanged({});
    }
}

void RouteIndex::addEntry(EntryPtr entry)
{
    // Entries are sorted, so every proper prefix of this one is the preceding entry or one of its ancestors.
    std::size_t parent = m_nodes.empty() ? NoEntry : m_nodes.size() - 1;
    while (parent != NoEntry && !entry->prefix.starts_with(m_nodes[parent].entry->prefix)) {
        parent = m_nodes[parent].parent;
    }
    m_nodes.push_back({std::move(entry), parent});
}

const Route *RouteIndex::find(std::string_view method, std::string_view path, std::string_view host) const
{
    if (!host.empty()) {
        if (const Route *route = findKey(method, std::string(host) + std::string(path))) {
            return route;
        }
    }
    return findKey(method, path);
}

const Route *RouteIndex::findKey(std::string_view method, std::string_view path) const
{
    const auto above
        = std::upper_bound(m_nodes.begin(), m_nodes.end(), path,
                           [](std::string_view wanted, const Node &node) { return wanted < node.entry->prefix; });
    auto candidate = above == m_nodes.begin() ? NoEntry : static_cast<std::size_t>(above - m_nodes.begin()) - 1;
    for (; candidate != NoEntry; candidate = m_nodes[candidate].parent) {
        const Entry &entry = *m_nodes[candidate].entry;
        if (!path.starts_with(entry.prefix)) {
            continue;
        }
        for (const std::shared_ptr<const Route> &route : entry.routes) {
            if (matchesMethod(*route, method)) {
                return route.get();
            }
        }
    }
    return nullptr;
}

} // namespace jasminemast
