// Token bucket and conditions for retries.
#include "jasminemast/call/retry.h"

#include <algorithm>

namespace jasminemast
{

bool RetryBudget::isNodeRefusal(ResultCode code)
{
    switch (code) {
    case ResultCode::NotReady:
    case ResultCode::SlotsFull:
    case ResultCode::StartTooLate:
    case ResultCode::TargetLeaving:
    case ResultCode::AttemptFenced:
    case ResultCode::EndpointElsewhere:
    case ResultCode::PeerUnreachable:
    case ResultCode::TargetUnreachable:
    case ResultCode::TargetWarmingUp:
    case ResultCode::MemoryShort:
        return true;
    default:
        return false;
    }
}

void RetryBudget::depositTokens()
{
    m_tokens = std::min(m_tokens + m_limits.tokensPerCall, m_limits.maxTokens);
}

std::optional<ResultCode> RetryBudget::refuseOrTakeToken(const Request &request, TimePoint now)
{
    if (!request.safeToRepeat) {
        return ResultCode::RetryNotIdempotent;
    }
    const std::uint32_t allowed = request.maxAttempts == 0 ? m_limits.maxAttempts : request.maxAttempts;
    if (request.attemptsMade - std::min(request.refusals, m_limits.freeRefusals) >= allowed) {
        return ResultCode::RetryAttemptsSpent;
    }
    if (request.deadline - now < m_limits.minRemaining) {
        return ResultCode::RetryDeadlineNear;
    }
    const bool withinFreeRefusals = m_limits.freeRefusals > 0 && request.refusals <= m_limits.freeRefusals;
    const bool isFree = withinFreeRefusals && isNodeRefusal(request.reason);
    if (request.reason == ResultCode::TargetLeaving || isFree) {
        return std::nullopt;
    }
    if (m_tokens < 1) {
        return ResultCode::RetryBudgetSpent;
    }
    m_tokens -= 1;
    return std::nullopt;
}

} // namespace jasminemast
