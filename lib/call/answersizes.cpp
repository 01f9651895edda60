// Smoothed sizes of answers.
#include "jasminemast/call/answersizes.h"

namespace jasminemast
{

namespace
{

/// The newest answer counts for one part in this many.
constexpr std::uint64_t SmoothingParts = 8;
/// Several times as many routes as lead to one service; beyond this the sizes are learnt anew.
constexpr std::size_t MostRoutes = 1'000;

} // namespace

void AnswerSizes::observe(const RouteId &route, std::uint64_t bytes)
{
    if (m_bytes.size() >= MostRoutes && !m_bytes.contains(route)) {
        m_bytes.clear();
    }
    const auto [place, isNew] = m_bytes.try_emplace(route, bytes);
    if (!isNew) {
        place->second = (place->second * (SmoothingParts - 1) + bytes) / SmoothingParts;
    }
}

std::uint64_t AnswerSizes::expected(const RouteId &route) const
{
    const auto found = m_bytes.find(route);
    return found == m_bytes.end() ? 0 : found->second;
}

} // namespace jasminemast
