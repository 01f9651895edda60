// Finds the route of a request by binary search.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace jasminemast
{

struct Route;
struct State;

/// The routes of one state, sorted by host and path prefix.
///
/// Precedence: routes for the request's host before routes for any host; then the longest prefix; on equal prefixes a
/// route that lists methods before one that matches all; then the smaller id.
class RouteIndex
{
public:
    explicit RouteIndex(const State &state);
    /// Shares with the index of \p previous the entries whose routes are the same objects in both states.
    RouteIndex(const State &state, const State &previous);

    /// The route for a request; null when none matches. Points into the state's routes.
    [[nodiscard]] const Route *find(std::string_view method, std::string_view path, std::string_view host) const;

private:
    /// The routes of one host and prefix.
    struct Entry
    {
        std::string prefix; ///< host followed by path prefix, in which the first '/' starts the latter
        std::vector<std::shared_ptr<const Route>> routes; ///< in the order in which they are tried
    };
    using EntryPtr = std::shared_ptr<const Entry>;
    struct Node
    {
        EntryPtr entry; ///< never null
        std::size_t parent; ///< index of the node with the longest proper prefix of this one's, or NoEntry
    };
    static constexpr std::size_t NoEntry = static_cast<std::size_t>(-1);

    void addEntry(EntryPtr entry);
    [[nodiscard]] const Route *findKey(std::string_view method, std::string_view key) const;

    std::vector<Node> m_nodes; ///< sorted by prefix, without duplicates
};

} // namespace jasminemast
