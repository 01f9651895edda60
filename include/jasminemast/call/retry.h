// Decides whether a call gets another attempt: only if the call is idempotent or was not run, if time is left, and
// within the retry budget of the service.
#pragma once

#include "jasminemast/support/clock.h"
#include "jasminemast/support/result.h"

#include <cstdint>
#include <optional>

namespace jasminemast
{

struct RetryLimits
{
    double tokensPerCall = 0.1; ///< a retry costs one token
    double maxTokens = 100; ///< maximum burst of retries
    double initialTokens = 10;
    std::uint32_t maxAttempts = 4; ///< per call, including the first
    /// Refusals by nodes per call that count neither as attempts nor against the budget: the target received nothing.
    std::uint32_t freeRefusals = 0;
    Duration minRemaining = std::chrono::milliseconds(1); ///< time that must be left until the deadline
};

/// Token bucket of one service: each call adds a fraction of a token, a retry takes one token.
///
/// A retry after a refusal by a leaving target is free: the endpoint is excluded after the first one, so such retries
/// cannot accumulate.
class RetryBudget
{
public:
    explicit RetryBudget(const RetryLimits &limits)
        : m_limits(limits)
        , m_tokens(limits.initialTokens < limits.maxTokens ? limits.initialTokens : limits.maxTokens)
    {
    }

    /// Adds the tokens for the first attempt of a call.
    void depositTokens();

    /// Request for another attempt of a call whose last one failed.
    struct Request
    {
        ResultCode reason; ///< how the last attempt ended
        bool safeToRepeat; ///< the call is idempotent, or its attempt was not run
        std::uint32_t attemptsMade;
        TimePoint deadline;
        std::uint32_t refusals = 0; ///< node refusals of this call, including the last one
        std::uint32_t maxAttempts = 0; ///< configured for the route; 0: RetryLimits::maxAttempts
    };

    /// Grants another attempt and takes its token, or returns the reason for a refusal, one of the Retry codes.
    std::optional<ResultCode> refuseOrTakeToken(const Request &request, TimePoint now);

    [[nodiscard]] double tokens() const
    {
        return m_tokens;
    }

    /// True when \p code says that a node refused the attempt before anything was sent to the target.
    static bool isNodeRefusal(ResultCode code);

private:
    RetryLimits m_limits;
    double m_tokens; ///< between 0 and maxTokens
};

} // namespace jasminemast
