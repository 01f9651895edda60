// Splits a node's share of the fleet's limit into burst and rate.
#include "jasminemast/spread/servicebudget.h"

#include <algorithm>

namespace jasminemast
{

namespace
{

constexpr double MinShare = 1.01; ///< a bucket of less than one token would never permit a call
constexpr double MaxShare = 100.0; ///< calls per second; one node never needs more

} // namespace

ServiceBudget::ServiceBudget(double callsPerSecond, std::size_t fleetSize)
    : m_callsPerSecond(callsPerSecond)
{
    resize(fleetSize);
    m_tokens = m_burst;
}

void ServiceBudget::resize(std::size_t fleetSize)
{
    const auto nodes = static_cast<double>(std::max<std::size_t>(fleetSize, 1));
    const double share = std::clamp(m_callsPerSecond / nodes, MinShare, MaxShare);
    m_burst = std::max(1.0, share / 2);
    m_rate = share - m_burst;
    m_tokens = std::min(m_tokens, m_burst);
}

bool ServiceBudget::take(TimePoint now)
{
    const std::chrono::duration<double> elapsed = now - m_refilledAt;
    m_refilledAt = now;
    m_tokens = std::min(m_burst, m_tokens + elapsed.count() * m_rate);
    if (m_tokens < 1.0) {
        return false;
    }
    m_tokens -= 1.0;
    return true;
}

} // namespace jasminemast
