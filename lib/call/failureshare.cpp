// Moving average over attempts, which decays while there are none.
#include "jasminemast/call/failureshare.h"

#include <cmath>

namespace jasminemast
{

namespace
{

/// The latest attempt has a weight of one over this number.
constexpr double Smoothing = 16;

} // namespace

double FailureShare::value(TimePoint now) const
{
    return m_value * std::exp2(-std::chrono::duration<double>(now - m_recordedAt) / HalfLife);
}

void FailureShare::record(bool isFailure, TimePoint now)
{
    // Successes alone lower the average; time only counts while there are none.
    const Duration gap = now - m_recordedAt;
    const double before = gap > HalfLife ? value(now) : m_value;
    m_value = before + ((isFailure ? 1 : 0) - before) / Smoothing;
    m_recordedAt = now;
}

} // namespace jasminemast
