// One call of a caller: its request, and its answer on the way back. What happens to it is decided by EntryCore.
#pragma once

#include "jasminemast/call/entry.h"
#include "jasminemast/call/messages.h"
#include "jasminemast/net/httpserver.h"
#include "jasminemast/node/answersink.h"
#include "jasminemast/node/views.h"

#include <memory>
#include <optional>
#include <string>

namespace jasminemast
{

/// What the caller asked for.
struct CallerLimits
{
    Milliseconds deadline {0}; ///< from the arrival of the request
    TicketNumber seen; ///< highest ticket that the caller has met
};

/// Reads the caller's headers; \p atMost bounds the deadline.
CallerLimits callerLimits(const HttpHeaders &headers, Milliseconds atMost);

/// The request and answer of one call.
class EntryCall
{
public:
    EntryCall(std::shared_ptr<HttpExchange> exchange, StatePtr state, const Route *route, TimePoint began);

    /// The message that opens \p request's attempt.
    [[nodiscard]] OpenMessage makeOpen(const OpenRequest &request) const;
    [[nodiscard]] const std::string &body() const
    {
        return m_exchange->request().body;
    }
    [[nodiscard]] TimePoint began() const
    {
        return m_began;
    }
    [[nodiscard]] HttpExchange &exchange() const
    {
        return *m_exchange;
    }

    /// The attempt under way; a former one is let go without a word.
    void setHandle(std::unique_ptr<AttemptHandle> handle);
    void cancelAttempt();

    void passHead(const HeadMessage &head, bool closeConnection);
    void passData(std::string_view bytes);
    /// Ends the answer, or tells the caller why there is none.
    void finish(Outcome outcome, ResultCode code, bool closeConnection);

private:
    std::shared_ptr<HttpExchange> m_exchange;
    StatePtr m_state; ///< the configuration that the call began with
    const Route *m_route; ///< in m_state
    TimePoint m_began;
    std::shared_ptr<AttemptHandle> m_handle; ///< attempt under way
    bool m_headPassed = false;
};

/// Answers \p exchange without an attempt having been made.
void respondWithoutAnswer(HttpExchange &exchange, TicketNumber ticket, Outcome outcome, ResultCode code,
                          bool closeConnection);

} // namespace jasminemast
