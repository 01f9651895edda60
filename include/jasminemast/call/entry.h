// The decisions of an entry node about its calls: endpoints, attempts, fences, and the outcome reported to the caller.
#pragma once

#include "jasminemast/call/callmachine.h"
#include "jasminemast/call/endpointselector.h"
#include "jasminemast/call/messages.h"
#include "jasminemast/call/retry.h"
#include "jasminemast/support/metrics.h"

#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace jasminemast
{

struct EntryLimits
{
    EndpointSelectorLimits selector;
    RetryLimits retry;
    Duration connectTimeout = std::chrono::milliseconds(500); ///< an attempt that waits longer for a link ends unsent
};

/// Identity and location of this node.
struct EntryNodeIdentity
{
    HostId host;
    Incarnation incarnation;
    ZoneId zone;
    RegionId region;
};

/// A call as requested by the caller.
struct CallSpec
{
    RouteId route;
    ServiceId service;
    bool repeatable = false; ///< idempotent: may run more than once
    TimePoint deadline; ///< the caller does not wait any longer, so that the call ends
    /// The caller may already have stopped waiting, since it is not known exactly when it began: no attempt starts
    /// later, and targets get no more time. At most the deadline.
    TimePoint startDeadline = TimePoint::max();
    std::uint32_t maxAttempts = 0; ///< maximum number of targets that may receive the call; 0: the node's default
    unsigned priority = 0; ///< 0 is the most urgent
    TimePoint softDeadline = TimePoint::max(); ///< a later response has lost most of its value to the caller
    std::vector<RegionId> allowedRegions {}; ///< as in Route
    double expectedBytes = 0; ///< of request and response
};

/// Actions for the calls of an entry node.
namespace entryaction
{
/// Send on the current link to \p host.
struct SendOpen
{
    HostId host;
    OpenRequest request;
};
struct SendFence
{
    HostId host;
    FenceRequest request;
};
struct SendCancel
{
    HostId host;
    AttemptId attempt;
};
/// Cancel the attempt, and still report EntryCore::onRefused() if it was not run.
struct SendWithdraw
{
    HostId host;
    AttemptId attempt;
};
/// Connect to \p host unless already connecting; report EntryCore::onLinkUp() or onUnreachable().
struct Connect
{
    HostId host;
};
/// Report the outcome to the caller. Nothing follows for this call.
struct Finish
{
    CallId call;
    Outcome outcome;
    ResultCode code;
};
} // namespace entryaction

using EntryAction = std::variant<entryaction::SendOpen, entryaction::SendFence, entryaction::SendCancel,
                                 entryaction::SendWithdraw, entryaction::Connect, entryaction::Finish>;
using EntryActions = std::vector<EntryAction>;

/// All calls of one entry node.
///
/// Invariants: every call that began is finished exactly once; requests to a host carry the generation of its newest
/// link.
class EntryCore
{
public:
    EntryCore(EntryNodeIdentity identity, const EntryLimits &limits, std::uint64_t seed, Metrics &metrics);

    /// Applies a new ticket or host list: \p services replaces all services.
    void setServices(std::map<ServiceId, std::vector<Candidate>> services, TimePoint now);

    struct BeginResult
    {
        CallId call;
        EntryActions actions;
    };
    BeginResult begin(const CallSpec &spec, TimePoint now);
    /// Ends all calls at \p latest, also those that begin later, since this node exits then. Attempts that have not
    /// reached their targets are withdrawn first, so that their callers learn that they were not run; the replies are
    /// awaited for \p withdrawTimeout.
    void limitDeadlines(TimePoint latest, Duration withdrawTimeout);
    EntryActions onCallerDisconnected(const CallId &call, TimePoint now);
    /// The rest of the request will not arrive from the caller; \p code says why.
    EntryActions onRequestBroken(const CallId &call, ResultCode code, TimePoint now);
    /// The target has taken bytes of the request that this node no longer holds: the call cannot be retried.
    EntryActions onRequestConsumed(const AttemptId &attempt, TimePoint now);

    EntryActions onLinkUp(const HostId &host, Incarnation incarnation, TimePoint now);
    EntryActions onLinkDown(const HostId &host, TimePoint now);
    /// Connecting failed. \p processGone: no process listens there, or no address of the host is known, so that the
    /// state of attempts there can no longer be requested. Otherwise one Connect follows when a fence is pending.
    EntryActions onUnreachable(const HostId &host, bool processGone, TimePoint now);

    /// Nothing is received on the link to \p host although a message is expected, or messages arrive again.
    void onLinkSilenceChanged(const HostId &host, bool silent);

    EntryActions onRefused(const AttemptId &attempt, ResultCode code, TimePoint now);
    EntryActions onResponseLost(const AttemptId &attempt, ResultCode code, TimePoint now);
    EntryActions onFenceReplied(const AttemptId &attempt, FenceStatus status, TimePoint now);
    /// The first byte of the response is about to be passed on; afterwards the call cannot be retried.
    EntryActions onResponseStarted(const AttemptId &attempt, TimePoint now);
    /// The response that begins reports a failure of the target. Afterwards awaits() says whether to pass it on.
    EntryActions onResponseFailed(const AttemptId &attempt, TimePoint now);
    EntryActions onResponseCompleted(const AttemptId &attempt, TimePoint now);
    /// A reply reported on the attempt's endpoint.
    void onReport(const AttemptId &attempt, const TargetReport &report, TimePoint now);
    /// A node announced whether an endpoint takes new calls.
    void onAnnounced(const EndpointId &endpoint, bool leaving, TimePoint now);

    /// Ends calls that are past their deadline and attempts that waited for a link for too long.
    EntryActions tick(TimePoint now);

    /// True while a reply to \p attempt is awaited; replies to other attempts are to be dropped.
    [[nodiscard]] bool awaits(const AttemptId &attempt) const;
    [[nodiscard]] std::size_t openCalls() const
    {
        return m_calls.size();
    }
    [[nodiscard]] std::optional<TimePoint> earliestDeadline() const;

private:
    /// The latest attempt of a call.
    struct Attempt
    {
        EndpointId endpoint;
        HostId host;
        Incarnation target; ///< process that the attempt was sent to; unset until sent
        LinkGeneration generation; ///< newest link that carried the attempt or its fence
        bool sent = false;
        bool fencePending = false; ///< a fence is to be sent as soon as a newer link is up
        TimePoint chosenAt;
        bool open = false; ///< counted as in flight at its endpoint
        bool responseFailed = false; ///< the response being passed on reports a failure of the target
    };
    struct Call
    {
        CallSpec spec;
        CallMachine machine;
        Attempt attempt;
        ResultCode lastRefusal = ResultCode::NoEndpoint;
        EndpointFilter filter; ///< excludes the endpoints of earlier attempts
    };
    /// Endpoint selection and retry budget of one service.
    struct Service
    {
        EndpointSelector selector;
        RetryBudget budget;
    };
    /// The link to one host.
    struct Peer
    {
        bool up = false;
        Incarnation incarnation;
        LinkGeneration generation;
    };

    /// Passes \p event to the call's state machine; \p result is recorded for the endpoint if the attempt ends.
    void handleEvent(const CallId &id, const CallEvent &event, AttemptResult result, EntryActions &actions,
                     TimePoint now);
    void performActions(const CallId &id, const CallActions &callActions, EntryActions &actions, TimePoint now);
    void chooseEndpoint(const CallId &id, std::optional<ResultCode> reason, EntryActions &actions, TimePoint now);
    void sendOpen(const CallId &id, Call &call, EntryActions &actions, TimePoint now);
    void sendFence(const CallId &id, Call &call, EntryActions &actions);
    /// Adds an \p Action for the node of the open attempt, if there is a link to it.
    template<class Action>
    void sendToAttempt(const CallId &id, const Call &call, EntryActions &actions) const;
    void finish(const CallId &id, const callaction::Finish &end, EntryActions &actions);
    /// Records the duration of the open attempt for its endpoint.
    void recordAttemptDuration(const Call &call, TimePoint now);
    void closeAttempt(Call &call, AttemptResult result, TimePoint now);
    /// Ends attempts that were not sent and whose endpoint was chosen no later than \p chosenUntil.
    void failUnsentAttempts(TimePoint chosenUntil, EntryActions &actions, TimePoint now);
    void failIfUnsent(const CallId &id, EntryActions &actions, TimePoint now);
    /// Sends the attempt or fence that waited for the new link to \p peer; an attempt sent to an earlier process there
    /// ends.
    void resumeOnLink(const CallId &id, const Peer &peer, EntryActions &actions, TimePoint now);
    /// Asks the target's node to withdraw the attempt of a call that is still open when this node exits.
    void withdraw(const CallId &id, EntryActions &actions, TimePoint now);
    void setDeadline(const CallId &id, Call &call, TimePoint deadline);
    /// True if \p attempt is the latest of its call and has not ended.
    [[nodiscard]] bool isOpen(const AttemptId &attempt) const;
    [[nodiscard]] std::vector<CallId> callsWithAttemptAt(const HostId &host) const;
    [[nodiscard]] AttemptId attemptId(const CallId &id, const Call &call) const;

    EntryNodeIdentity m_identity;
    EntryLimits m_limits;
    Random m_random;
    std::map<ServiceId, Service> m_services;
    std::map<HostId, Peer> m_peers;
    std::map<CallId, Call> m_calls;
    std::set<std::pair<TimePoint, CallId>> m_deadlines; ///< of exactly the calls in m_calls
    TimePoint m_latestDeadline = TimePoint::max(); ///< no call has a later deadline, unless its attempt is withdrawn
    Duration m_withdrawTimeout {0};
    std::set<std::pair<TimePoint, CallId>> m_unsent; ///< attempts that may still wait for a link, by chosenAt
    std::uint64_t m_lastSequence = 0;
    std::uint64_t m_lastGeneration = 0; ///< counted over all hosts, so that no generation is used twice
    Metrics &m_metrics;
};

} // namespace jasminemast
