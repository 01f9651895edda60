// One call of a caller: translates between its HTTP exchange and the attempts that EntryCore decides on.
#pragma once

#include "jasminemast/call/entry.h"
#include "jasminemast/call/messages.h"
#include "jasminemast/call/pausedetector.h"
#include "jasminemast/call/requestupload.h"
#include "jasminemast/net/httpserver.h"
#include "jasminemast/node/responsesink.h"
#include "jasminemast/node/views.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace jasminemast
{

/// Limits that the caller's headers set.
struct CallerLimits
{
    Milliseconds deadline {0}; ///< measured from the arrival of the request
    TicketNumber minTicket; ///< highest ticket that the caller has seen; older ones must not route the call
};

/// Reads the caller's headers; the deadline is at most \p maxDeadline.
CallerLimits callerLimits(const HttpHeaders &headers, const HeaderNames &names, Milliseconds maxDeadline);

/// The value of the Host header in lower case, without port; empty if the header is missing.
std::string requestHost(const HttpHeaders &headers);

/// Settings of the node for the headers of calls.
struct CallHeaders
{
    HeaderNames names;
    ServiceId callerService; ///< service of the target on the node's host
};

/// Headers of a response that the node makes itself, in addition to outcome and code.
struct FailureHeaders
{
    bool closeConnection = false;
    Milliseconds retryAfter {0}; ///< delay until a call that was not run may be sent again
};

/// What the deadline of a call follows from.
enum class DeadlineSource : std::uint8_t {
    Caller, ///< the time that the caller gave, or the default
    Route, ///< the route's timeout
};

/// Times of one call.
struct EntryTimes
{
    ArrivalTime arrival;
    TimePoint softDeadline; ///< as in CallSpec
    Duration timeout {0}; ///< time from the arrival until the deadline
    DeadlineSource source = DeadlineSource::Caller; ///< of the timeout
};

/// How far the response to a call has come.
struct ResponseProgress
{
    bool isStarted = false; ///< the head was forwarded
    std::uint64_t received = 0; ///< body bytes that have arrived on this node
    std::uint64_t unsent = 0; ///< of these, the bytes not yet sent to the caller
    std::optional<std::uint64_t> length; ///< of the body, when known
};

/// The request of one call and the response to it.
class EntryCall
{
public:
    /// \p headers outlives the call.
    EntryCall(std::shared_ptr<HttpExchange> exchange, StatePtr state, const Route *route, const CallHeaders &headers,
              EntryTimes times);

    /// The message that sends the attempt of \p request to a target's node.
    [[nodiscard]] OpenMessage makeOpenMessage(const OpenRequest &request) const;
    /// The request body; of an upload, what was collected before the call began.
    [[nodiscard]] const std::string &body() const
    {
        return m_exchange->request().body;
    }
    /// True if the body is passed on while it arrives.
    [[nodiscard]] bool isUpload() const
    {
        return m_exchange->isUpload();
    }
    /// The attempt in progress was sent body(); the rest of an upload's body follows.
    void beginUpload();
    /// Sends as much of an upload's body as has arrived and the window allows.
    void pumpUpload();
    /// The target has taken \p bytes of an upload's body. Returns true for the first of them, after which the collected
    /// bytes are no longer held.
    bool recordConsumed(std::size_t bytes);
    /// The caller's id of the request; empty without one.
    [[nodiscard]] std::string requestId() const;
    [[nodiscard]] const RouteId &routeId() const
    {
        return m_route->id;
    }
    [[nodiscard]] const EntryTimes &times() const
    {
        return m_times;
    }
    /// Host of the latest attempt; empty before the first.
    [[nodiscard]] const HostId &targetHost() const
    {
        return m_targetHost;
    }
    void setTargetHost(const HostId &host)
    {
        m_targetHost = host;
    }
    [[nodiscard]] ResponseProgress progress() const;
    [[nodiscard]] HttpExchange &exchange() const
    {
        return *m_exchange;
    }

    /// Sets the attempt in progress. The previous handle is dropped without a cancel.
    void setHandle(std::unique_ptr<AttemptHandle> handle);
    void cancelAttempt();
    void withdrawAttempt();

    /// Holds the head back until the body begins, so that a call that gets nothing of it can still be answered.
    void holdHead()
    {
        m_isHeadHeld = true;
    }
    void forwardHead(const HeadMessage &head, bool closeConnection);
    void forwardData(std::string_view bytes);
    /// Ends the response; without a response, sends outcome and code to the caller.
    void finish(Outcome outcome, ResultCode code, const FailureHeaders &failure);

private:
    struct HeldHead
    {
        unsigned status = 0;
        HttpHeaders headers;
        std::optional<std::uint64_t> length;
    };

    void releaseHead();

    std::shared_ptr<HttpExchange> m_exchange;
    StatePtr m_state; ///< the configuration that was in force when the call began
    const Route *m_route; ///< in m_state
    const CallHeaders &m_headers;
    EntryTimes m_times;
    HostId m_targetHost; ///< of the latest attempt
    std::shared_ptr<AttemptHandle> m_handle; ///< attempt in progress
    RequestUpload m_upload;
    bool m_takesUpload = false; ///< the attempt in progress awaits more of an upload's body
    bool m_isHeadHeld = false;
    std::optional<HeldHead> m_heldHead; ///< of the response that has not begun for the caller
    ResponseProgress m_progress; ///< without the unsent bytes, which the exchange knows
};

/// Responds to a call for which no target's response can be forwarded.
void respondWithFailure(HttpExchange &exchange, const HeaderNames &names, TicketNumber ticket, Outcome outcome,
                        ResultCode code, const FailureHeaders &failure);

} // namespace jasminemast
