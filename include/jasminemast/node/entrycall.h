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
CallerLimits callerLimits(const HttpHeaders &headers, const HeaderNames &names, Milliseconds atMost);

/// The lower-case host that a request is addressed to, without port; empty when it names none.
std::string requestHost(const HttpHeaders &headers);

/// What the node's settings say of the headers of calls.
struct CallHeaders
{
    HeaderNames names;
    ServiceId callerService; ///< service beside whose target the node stands
};

/// What a caller is told beside the outcome of a call that got no answer.
struct Refusal
{
    bool closeConnection = false;
    Milliseconds retryAfter {0}; ///< when a call that was not run may be sent again
};

/// Times of one call.
struct EntryTimes
{
    TimePoint began;
    TimePoint softDeadline; ///< as in CallSpec
};

/// The request and answer of one call.
class EntryCall
{
public:
    /// \p headers outlives the call.
    EntryCall(std::shared_ptr<HttpExchange> exchange, StatePtr state, const Route *route, const CallHeaders &headers,
              EntryTimes times);

    /// The message that opens \p request's attempt.
    [[nodiscard]] OpenMessage makeOpen(const OpenRequest &request) const;
    [[nodiscard]] const std::string &body() const
    {
        return m_exchange->request().body;
    }
    [[nodiscard]] TimePoint began() const
    {
        return m_times.began;
    }
    [[nodiscard]] TimePoint softDeadline() const
    {
        return m_times.softDeadline;
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
    void finish(Outcome outcome, ResultCode code, const Refusal &refusal);

private:
    std::shared_ptr<HttpExchange> m_exchange;
    StatePtr m_state; ///< the configuration that the call began with
    const Route *m_route; ///< in m_state
    const CallHeaders &m_headers;
    EntryTimes m_times;
    std::shared_ptr<AttemptHandle> m_handle; ///< attempt under way
    bool m_headPassed = false;
};

/// Answers \p exchange without an attempt having been made.
void respondWithoutAnswer(HttpExchange &exchange, const HeaderNames &names, TicketNumber ticket, Outcome outcome,
                          ResultCode code, const Refusal &refusal);

} // namespace jasminemast
