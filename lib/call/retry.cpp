// The retry budget and the names of its reasons.
#include "jasminemast/call/retry.h"

#include <algorithm>
#include <array>

namespace jasminemast
{

std::string_view label(RetryReason reason)
{
    static constexpr std::array Labels = {
#define JASMINEMAST_RETRY_REASON(name, label) std::string_view(label),
#include "jasminemast/call/retryreasons.def"
#undef JASMINEMAST_RETRY_REASON
    };
    return Labels.at(static_cast<std::size_t>(reason));
}

std::string_view label(RetryStop stop)
{
    static constexpr std::array Labels = {
#define JASMINEMAST_RETRY_STOP(name, label) std::string_view(label),
#include "jasminemast/call/retryreasons.def"
#undef JASMINEMAST_RETRY_STOP
    };
    return Labels.at(static_cast<std::size_t>(stop));
}

void RetryBudget::earn()
{
    m_tokens = std::min(m_tokens + m_limits.share, m_limits.maxTokens);
}

std::optional<RetryStop> RetryBudget::refuse(const Request &request, TimePoint now)
{
    if (!request.mayRepeat) {
        return RetryStop::NotIdempotent;
    }
    if (request.attemptsMade >= m_limits.maxAttempts) {
        return RetryStop::AttemptsSpent;
    }
    if (request.deadline - now < m_limits.minRemaining) {
        return RetryStop::DeadlineNear;
    }
    if (request.reason == RetryReason::Leaving) {
        return std::nullopt;
    }
    if (m_tokens < 1) {
        return RetryStop::BudgetSpent;
    }
    m_tokens -= 1;
    return std::nullopt;
}

} // namespace jasminemast
