// The decisions of the node that a caller is connected to: endpoint, attempts, fences, and the outcome told.
#pragma once

#include "jasminemast/call/endpointselector.h"
#include "jasminemast/call/outcome.h"
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
    EndpointSelectorLimits choice;
    RetryLimits retry;
    Duration connectPatience = std::chrono::milliseconds(500); ///< an attempt that waits longer for a link is given up
};

/// Where this node stands.
struct EntryNodeIdentity
{
    HostId host;
    Incarnation incarnation;
    ZoneId zone;
    RegionId region;
};

/// A call as the caller gave it.
struct CallSpec
{
    RouteId route;
    ServiceId service;
    bool repeatable = false;
    TimePoint deadline;
    std::uint32_t attempts = 0; ///< most targets that may get the call; 0: the node's default
    unsigned priority = 0; ///< 0 is the most urgent
    TimePoint softDeadline = TimePoint::max(); ///< an answer after this has lost most of its worth to the caller
};

/// What is to be done for the calls of an entry node.
namespace entryaction
{
/// Send on the present link to \p host.
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
/// Dial \p host unless that is under way; report EntryCore::onLinkUp() or onUnreachable().
struct Connect
{
    HostId host;
};
/// Tell the caller. Nothing follows for this call.
struct Finish
{
    CallId call;
    Outcome outcome;
    ResultCode code;
};
} // namespace entryaction

using EntryAction = std::variant<entryaction::SendOpen, entryaction::SendFence, entryaction::SendCancel,
                                 entryaction::Connect, entryaction::Finish>;
using EntryActions = std::vector<EntryAction>;

/// All calls of one entry node.
///
/// Invariants: every call begun is finished exactly once; what is sent to a host names the newest link's generation.
class EntryCore
{
public:
    EntryCore(EntryNodeIdentity place, const EntryLimits &limits, std::uint64_t seed, Metrics &metrics);

    /// Follows a new ticket or host list; \p services replaces what was known.
    void setServices(std::map<ServiceId, std::vector<Candidate>> services, TimePoint now);

    struct BeginResult
    {
        CallId call;
        EntryActions actions;
    };
    BeginResult begin(const CallSpec &spec, TimePoint now);
    EntryActions onCallerGone(const CallId &call, TimePoint now);

    EntryActions onLinkUp(const HostId &host, Incarnation peer, TimePoint now);
    EntryActions onLinkDown(const HostId &host, TimePoint now);
    /// Dialling failed. \p isGone: no process listens there, or nobody knows where the host is, so that what became of
    /// an attempt there cannot be asked any more. Otherwise one Connect follows when an attempt waits to be asked
    /// about.
    EntryActions onUnreachable(const HostId &host, bool isGone, TimePoint now);

    /// The link to \p host shows no sign of life although one is due, or shows one again.
    void onLinkSilenceChanged(const HostId &host, bool silent);

    EntryActions onRefused(const AttemptId &attempt, ResultCode code, TimePoint now);
    EntryActions onLost(const AttemptId &attempt, ResultCode code, TimePoint now);
    EntryActions onFenceReplied(const AttemptId &attempt, FenceStatus status, TimePoint now);
    /// The first byte of the answer is about to be passed on; afterwards the call cannot be tried again.
    EntryActions onResponseStarted(const AttemptId &attempt, TimePoint now);
    /// The answer that begins is a failure of the target. Afterwards awaits() tells whether it is to be passed on.
    EntryActions onResponseFailed(const AttemptId &attempt, TimePoint now);
    EntryActions onResponseCompleted(const AttemptId &attempt, TimePoint now);
    /// Any reply brought back the load of the attempt's endpoint.
    void onLoad(const AttemptId &attempt, double load, TimePoint now);
    /// A node announced whether an endpoint takes new calls.
    void onAnnounced(const EndpointId &endpoint, bool leaving, TimePoint now);

    /// Ends calls that are past their deadline and attempts that got no link in time.
    EntryActions tick(TimePoint now);

    /// True while a reply to \p attempt is awaited; others are to be dropped unread.
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
        Incarnation target; ///< process that got it; unset until sent
        LinkGeneration generation; ///< newest link that carried it or its fence
        bool sent = false;
        bool fenceWaits = false; ///< a fence is to be sent once a newer link is up
        TimePoint chosenAt;
        bool open = false; ///< counted as in flight at its endpoint
        bool failed = false; ///< the answer being passed on is a failure of the target
    };
    struct Call
    {
        CallSpec spec;
        CallMachine machine;
        Attempt attempt;
        ResultCode lastRefusal = ResultCode::NoEndpoint;
        std::set<EndpointId> avoid; ///< endpoints whose attempt failed
    };
    /// Choice and budget of one service.
    struct Service
    {
        EndpointSelector choice;
        RetryBudget budget;
    };
    /// The link to one host.
    struct Peer
    {
        bool up = false;
        Incarnation incarnation;
        LinkGeneration generation;
    };

    void drive(const CallId &id, const CallEvent &event, AttemptResult evidence, EntryActions &actions, TimePoint now);
    void perform(const CallId &id, const CallActions &steps, EntryActions &actions, TimePoint now);
    void choose(const CallId &id, std::optional<ResultCode> reason, EntryActions &actions, TimePoint now);
    void sendOpen(const CallId &id, Call &call, EntryActions &actions, TimePoint now);
    void sendFence(const CallId &id, Call &call, EntryActions &actions);
    void sendCancel(const CallId &id, const Call &call, EntryActions &actions) const;
    void finish(const CallId &id, const callaction::Finish &end, EntryActions &actions);
    /// What the end of the open attempt says of how fast its endpoint is.
    void noteTime(const Call &call, TimePoint now);
    void closeAttempt(Call &call, AttemptResult evidence, TimePoint now);
    void giveUpUnsent(TimePoint chosenUntil, EntryActions &actions, TimePoint now);
    void resolveUnsent(const CallId &id, EntryActions &actions, TimePoint now);
    void resumeOnLink(const CallId &id, const Peer &peer, EntryActions &actions, TimePoint now);
    [[nodiscard]] std::vector<CallId> callsAt(const HostId &host) const;
    [[nodiscard]] AttemptId attemptId(const CallId &id, const Call &call) const;

    EntryNodeIdentity m_place;
    EntryLimits m_limits;
    Random m_random;
    std::map<ServiceId, Service> m_services;
    std::map<HostId, Peer> m_peers;
    std::map<CallId, Call> m_calls;
    std::set<std::pair<TimePoint, CallId>> m_deadlines; ///< exactly the calls of m_calls
    std::set<std::pair<TimePoint, CallId>> m_unsent; ///< attempts that may still wait for a link, by chosenAt
    std::uint64_t m_lastSequence = 0;
    std::uint64_t m_lastGeneration = 0; ///< over all hosts, so that it never repeats
    Metrics &m_metrics;
};

} // namespace jasminemast
