// Share of a target's latest attempts that it turned away or answered with a failure.
#pragma once

#include "jasminemast/support/clock.h"

namespace jasminemast
{

/// The node beside a target sees all of its responses, while each entry node sees few.
///
/// Invariant: between 0 and 1; 0 until the target has failed.
class FailureShare
{
public:
    void record(bool isFailure, TimePoint now);
    /// Without attempts, it falls by half in each half-life.
    [[nodiscard]] double value(TimePoint now) const;

    static constexpr Duration HalfLife = std::chrono::seconds(2);

private:
    double m_value = 0;
    TimePoint m_recordedAt;
};

} // namespace jasminemast
