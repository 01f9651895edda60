// How long the answers of a service take, and when one that has not come is not worth waiting for.
#pragma once

#include "jasminemast/support/clock.h"

#include <optional>

namespace jasminemast
{

/// Smoothed mean and deviation, as TCP keeps them for its round trips (RFC 6298).
class AnswerTimes
{
public:
    /// Fewer answers say too little of how long the next one may take.
    static constexpr unsigned LeastAnswers = 20;

    /// An answer began \p time after its request was sent.
    void observe(Duration time);

    /// The time after which an answer is later than nearly all others; nothing while too few were seen.
    [[nodiscard]] std::optional<Duration> patience() const;
    /// The smoothed mean; zero before the first answer.
    [[nodiscard]] Duration mean() const
    {
        return m_mean;
    }

private:
    Duration m_mean {0};
    Duration m_deviation {0};
    unsigned m_count = 0;
};

} // namespace jasminemast
