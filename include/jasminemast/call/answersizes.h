// How large the answers of a route are, as far as seen beside one target.
#pragma once

#include "jasminemast/support/ids.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace jasminemast
{

/// Smoothed sizes. At most a bounded number of routes is remembered.
class AnswerSizes
{
public:
    /// An answer of \p route said that it has \p bytes.
    void observe(const RouteId &route, std::uint64_t bytes);
    /// Size to expect of the next one; 0 for a route without an answer so far.
    [[nodiscard]] std::uint64_t expected(const RouteId &route) const;

private:
    std::map<RouteId, std::uint64_t> m_bytes;
};

} // namespace jasminemast
