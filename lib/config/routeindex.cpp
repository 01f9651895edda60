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

struct KeyedRoute
{
    std::string key;
    std::shared_ptr<const Route> route;
};

bool isTriedBefore(const KeyedRoute &left, const KeyedRoute &right)
{
    if (const int order = left.key.compare(right.key); order != 0) {
        return order < 0;
    }
    if (left.route->methods.empty() != right.route->methods.empty()) {
        return right.route->methods.empty();
    }
    return left.route->id < right.route->id;
}

} // namespace

RouteIndex::RouteIndex(const State &state)
{
    std::vector<KeyedRoute> routes;
    routes.reserve(state.routes.size());
    for (const auto &[id, route] : state.routes) {
        routes.push_back({makeKey(*route), route});
    }
    std::sort(routes.begin(), routes.end(), isTriedBefore);
    m_entries.reserve(routes.size());
    for (KeyedRoute &item : routes) {
        if (m_entries.empty() || m_entries.back().prefix != item.key) {
            addEntry(std::move(item.key));
        }
        m_entries.back().routes.push_back(std::move(item.route));
    }
}

void RouteIndex::addEntry(std::string prefix)
{
    // Entries are sorted, so every proper prefix of this one is the preceding entry or one of its ancestors.
    std::size_t parent = m_entries.empty() ? NoEntry : m_entries.size() - 1;
    while (parent != NoEntry && !prefix.starts_with(m_entries[parent].prefix)) {
        parent = m_entries[parent].parent;
    }
    m_entries.push_back({std::move(prefix), {}, parent});
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
        = std::upper_bound(m_entries.begin(), m_entries.end(), path,
                           [](std::string_view wanted, const Entry &entry) { return wanted < entry.prefix; });
    auto candidate = above == m_entries.begin() ? NoEntry : static_cast<std::size_t>(above - m_entries.begin()) - 1;
    for (; candidate != NoEntry; candidate = m_entries[candidate].parent) {
        const Entry &entry = m_entries[candidate];
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
