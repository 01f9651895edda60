// Costs of ways and sizes of calls.
#include "jasminemast/call/waycosts.h"

namespace jasminemast
{

namespace
{

constexpr double BytesPerKilobyte = 1'000;
/// The latest call has a weight of one over this number in the mean of its route.
constexpr double SizeSmoothing = 16;

} // namespace

Duration WayCost::of(double bytes) const
{
    const std::chrono::duration<double, std::milli> forBytes(millisecondsPerKilobyte * bytes / BytesPerKilobyte);
    return fixed + std::chrono::duration_cast<Duration>(forBytes);
}

void CallSizes::record(const RouteId &route, std::uint64_t bodyBytes)
{
    if (m_bodyBytes.size() >= MaxRoutes && !m_bodyBytes.contains(route)) {
        m_bodyBytes.clear();
    }
    const auto bytes = static_cast<double>(bodyBytes);
    double &mean = m_bodyBytes.try_emplace(route, bytes).first->second;
    mean += (bytes - mean) / SizeSmoothing;
}

double CallSizes::expectedBytes(const RouteId &route) const
{
    const auto found = m_bodyBytes.find(route);
    return HeadBytes + (found == m_bodyBytes.end() ? 0 : found->second);
}

} // namespace jasminemast
