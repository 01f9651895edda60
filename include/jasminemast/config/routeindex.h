// Finds the route of a request in the time of one binary search.
#pragma once

#include <cstddef>
#include <memory>
#include <string_view>
#include <vector>

namespace jasminemast
{

struct Route;
struct State;

/// The routes of one state, ordered by prefix.
///
/// The longest prefix wins; on one prefix a route that names its methods goes before one that admits all, and then the
/// smaller id.
class RouteIndex
{
public:
    explicit RouteIndex(const State &state);

    /// The route for a request; null when none matches. Valid as long as the state's routes.
    [[nodiscard]] const Route *find(std::string_view method, std::string_view path) const;

private:
    /// The routes of one prefix.
    struct Entry
    {
        std::string_view prefix;
        std::vector<std::shared_ptr<const Route>> routes; ///< in the order in which they are tried
        std::size_t parent; ///< entry of the longest shorter prefix of this prefix; NoEntry if there is none
    };
    static constexpr std::size_t NoEntry = static_cast<std::size_t>(-1);

    void addEntry(std::string_view prefix);

    std::vector<Entry> m_entries; ///< ascending prefixes, each once
};

} // namespace jasminemast
