// The retry budget.
#include "jasminemast/call/retry.h"

#include <algorithm>

namespace jasminemast
{

void RetryBudget::earn()
{
    m_tokens = std::min(m_tokens + m_limits.share, m_limits.maxTokens);
}

std::optional<ResultCode> RetryBudget::refuse(const Request &request, TimePoint now)
{
    if (!request.mayRepeat) {
        return ResultCode::RetryNotIdempotent;
    }
    if (request.attemptsMade >= m_limits.maxAttempts) {
        return ResultCode::RetryAttemptsSpent;
    }
    if (request.deadline - now < m_limits.minRemaining) {
        return ResultCode::RetryDeadlineNear;
    }
    if (request.reason == ResultCode::TargetLeaving) {
        return std::nullopt;
    }
    if (m_tokens < 1) {
        return ResultCode::RetryBudgetSpent;
    }
    m_tokens -= 1;
    return std::nullopt;
}

} // namespace jasminemast
