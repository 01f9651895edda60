// Finds the route of a request in the time of one binary search.
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

/// The routes of one state, ordered by prefix.
///
/// Routes of the request's host go before those of any host; then the longest prefix wins; on one prefix a route that
/// names its methods goes before one that admits all, and then the smaller id.
class RouteIndex
{
public:
    explicit RouteIndex(const State &state);

    /// The route for a request; null when none matches. Valid as long as the state's routes.
    [[nodiscard]] const Route *find(std::string_view method, std::string_view path, std::string_view host) const;

private:
    /// The routes of one host and prefix.
    struct Entry
    {
        std::string prefix; ///< host and path prefix; a host holds no '/', with which every path prefix starts
        std::vector<std::shared_ptr<const Route>> routes; ///< in the order in which they are tried
        std::size_t parent; ///< entry of the longest shorter prefix of this prefix; NoEntry if there is none
    };
    static constexpr std::size_t NoEntry = static_cast<std::size_t>(-1);

    void addEntry(std::string prefix);
    [[nodiscard]] const Route *findKey(std::string_view method, std::string_view key) const;

    std::vector<Entry> m_entries; ///< ascending prefixes, each once
};

} // namespace jasminemast
