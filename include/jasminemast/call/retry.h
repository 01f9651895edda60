// When another attempt is allowed: only if it cannot double the call, in time, and within the service's budget.
#pragma once

#include "jasminemast/support/clock.h"
#include "jasminemast/support/result.h"

#include <cstdint>
#include <optional>

namespace jasminemast
{

struct RetryLimits
{
    double share = 0.1; ///< retries allowed for each first attempt
    double maxTokens = 100; ///< largest burst of retries
    double initialTokens = 10;
    std::uint32_t maxAttempts = 4; ///< of one call, the first included
    /// Refusals by nodes that cost a call neither attempt nor budget: the target saw nothing of them.
    std::uint32_t freeRefusals = 0;
    Duration minRemaining = std::chrono::milliseconds(1); ///< time that must be left until the deadline
};

/// Token bucket of one service: each first attempt earns a share of a retry.
///
/// A refusal by a leaving target costs nothing: the endpoint is excluded on the first one, so these cannot pile up.
class RetryBudget
{
public:
    explicit RetryBudget(const RetryLimits &limits)
        : m_limits(limits)
        , m_tokens(limits.initialTokens < limits.maxTokens ? limits.initialTokens : limits.maxTokens)
    {
    }

    /// A call made its first attempt.
    void depositShare();

    /// What a call asks for when an attempt failed.
    struct Request
    {
        ResultCode reason; ///< how the attempt before ended
        bool mayRepeat; ///< idempotent, or the attempt was not run
        std::uint32_t attemptsMade;
        TimePoint deadline;
        std::uint32_t refusals = 0; ///< attempts that ended before the target, this one included
        std::uint32_t attemptsAllowed = 0; ///< by the route; 0: RetryLimits::maxAttempts
    };

    /// Grants another attempt and pays for it, or says why not by one of the Retry codes.
    std::optional<ResultCode> refuse(const Request &request, TimePoint now);

    [[nodiscard]] double tokens() const
    {
        return m_tokens;
    }

    /// True when \p code says that a node turned the attempt away before its target saw anything of it.
    static bool isNodeRefusal(ResultCode code);

private:
    RetryLimits m_limits;
    double m_tokens; ///< between 0 and maxTokens
};

} // namespace jasminemast
