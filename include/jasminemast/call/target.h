// The decisions of a target's node: which attempts run, how the others are refused or ended, and when to drain.
#pragma once

#include "jasminemast/call/admission.h"
#include "jasminemast/call/drain.h"
#include "jasminemast/call/failureshare.h"
#include "jasminemast/call/fence.h"
#include "jasminemast/call/messages.h"
#include "jasminemast/call/pausedetector.h"
#include "jasminemast/support/metrics.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace jasminemast
{

struct TargetLimits
{
    FenceLimits fence;
    AdmissionLimits admission; ///< `slots` is taken from the endpoint
    DrainLimits drain;
    /// What waits for a target is refused so long after the configuration has it draining or gone.
    Duration queueTimeAfterLeaving = std::chrono::seconds(1);
};

/// One endpoint that this node serves according to the configuration.
struct LocalEndpoint
{
    EndpointId id;
    unsigned slots = 0;
    bool draining = false;
    TimePoint warmedUpAt {}; ///< as in Endpoint
    double warmUpRate = 0; ///< requests a second that the target bears while it warms up; 0: no limit
};

/// Actions for the attempts and endpoints of a target's node.
namespace targetaction
{
/// Send the request to the target, once. Report TargetCore::onResponseReceived(), onNotRun() or
/// onResponseLost().
struct Start
{
    AttemptId attempt;
    EndpointId endpoint;
    TimePoint startDeadline; ///< passed on to the target as its deadline
    TimePoint deadline; ///< the transfer of the response ends
    bool repeatable; ///< idempotent: may run more than once
};
/// Abort a request that the target runs; the attempt already counts as lost.
struct Abort
{
    AttemptId attempt;
    ResultCode reason;
};
/// Reply that the attempt was not run.
struct Refuse
{
    AttemptId attempt;
    ResultCode code;
};
/// Reply that the attempt may have run and that there is no response.
struct Fail
{
    AttemptId attempt;
    ResultCode code;
};
/// Reply to a fence; the cached response follows when there is one.
struct ReplyToFence
{
    AttemptId attempt;
    FenceResult result;
};
/// Announce on every link whether the endpoint takes new calls.
struct Announce
{
    EndpointId endpoint;
    bool leaving;
};
} // namespace targetaction

using TargetAction = std::variant<targetaction::Start, targetaction::Abort, targetaction::Refuse, targetaction::Fail,
                                  targetaction::ReplyToFence, targetaction::Announce>;
using TargetActions = std::vector<TargetAction>;

/// Attempts, slots and draining of the endpoints of one host.
///
/// Invariants: Start is emitted at most once for an attempt; after Refuse, or a reply NotRun, it is never emitted.
class TargetCore
{
public:
    TargetCore(Incarnation self, const TargetLimits &limits, Metrics &metrics);

    /// Applies a new ticket. Attempts on a removed endpoint still run to their end.
    TargetActions setEndpoints(const std::vector<LocalEndpoint> &endpoints, TimePoint now);

    /// \p arrival is that of the message, which may have waited unread, or for the body of the request. An attempt that
    /// was not known before is refused if there is a \p refusal.
    TargetActions onOpen(const OpenRequest &request, const ArrivalTime &arrival, TimePoint now,
                         std::optional<ResultCode> refusal = std::nullopt);
    TargetActions onFence(const FenceRequest &request, TimePoint now);
    /// The caller has disconnected, the deadline of the sender has passed, or its link was lost.
    TargetActions onCancel(const AttemptId &attempt, ResultCode reason, TimePoint now);

    /// The target has finished its response, which is being transferred: frees its slot, unless as many transfers as
    /// there are slots already continue without one.
    TargetActions onResponseReady(const AttemptId &attempt, TimePoint now);
    /// The response is complete; \p response is null when it is not to be cached.
    TargetActions onResponseReceived(const AttemptId &attempt, std::shared_ptr<const CachedResponse> response,
                                     TimePoint now);
    /// The request was never sent to the target, or the target replied that it did not run it; \p code says which.
    TargetActions onNotRun(const AttemptId &attempt, ResultCode code, TimePoint now);
    /// The request was sent, the response was lost.
    TargetActions onResponseLost(const AttemptId &attempt, ResultCode code, TimePoint now);

    /// Drain::setReason() for all endpoints of the host.
    TargetActions setLeaving(DrainReason reason, bool applies, TimePoint now);
    /// The health page of an endpoint's target was read.
    TargetActions onHealth(const EndpointId &endpoint, bool draining, TimePoint now);

    /// The target responded that it warms up until \p until.
    void confirmWarmUp(const EndpointId &endpoint, TimePoint until, TimePoint now);
    /// The target may have started again, or may have cooled down; see WarmUpLimiter::assume().
    void assumeWarmUp(const EndpointId &endpoint, TimePoint until, TimePoint now);
    /// True while the target's warm-up is assumed and it could be asked.
    [[nodiscard]] bool isWarmUpAssumed(const EndpointId &endpoint, TimePoint now);

    /// Refuses the attempts that wait for a slot, since they must not run on this target any more.
    TargetActions refuseQueued(TimePoint now);
    /// Ends attempts that are past their deadline and repeats announcements. Must be called every few milliseconds
    /// while there are attempts that have not ended.
    TargetActions tick(TimePoint now);

    /// The target said how long work takes there at this moment, relative to what is usual.
    void recordPace(const EndpointId &endpoint, double pace, TimePoint now);
    /// The target turned an attempt away, answered it with a failure, or answered it well.
    void recordOutcome(const EndpointId &endpoint, bool isFailure, TimePoint now);

    /// What replies say about the endpoint; without load if it is unknown.
    [[nodiscard]] TargetReport report(const EndpointId &endpoint, TimePoint now) const;
    [[nodiscard]] bool leaving(const EndpointId &endpoint) const;
    /// True for the endpoints of the latest configuration.
    [[nodiscard]] bool serves(const EndpointId &endpoint) const
    {
        return m_served.count(endpoint) != 0;
    }
    /// True while the attempt is queued or running.
    [[nodiscard]] bool hasAttempt(const AttemptId &attempt) const
    {
        return m_accepted.count(attempt) != 0;
    }
    /// Attempts that were accepted and have not ended.
    [[nodiscard]] std::size_t accepted() const
    {
        return m_accepted.size();
    }
    [[nodiscard]] const FenceTable &fenceTable() const
    {
        return m_fence;
    }

private:
    struct Endpoint
    {
        Admission admission;
        Drain drain;
        TimePoint reportedWarmUp {}; ///< latest LocalEndpoint::warmedUpAt
        FailureShare failures {};
        double pace = 1; ///< as in TargetReport, at paceAt
        TimePoint paceAt {};
        std::optional<TimePoint> leftAt {}; ///< since when the configuration has the endpoint draining or gone
    };
    /// An attempt that is queued or running.
    struct Accepted
    {
        EndpointId endpoint;
        TimePoint arrived;
        TimePoint startDeadline;
        TimePoint deadline; ///< the entry node does not await the response any longer
        bool repeatable;
        std::optional<TimePoint> startedAt; ///< unset while queued
        bool isTransferring = false; ///< the response is being transferred and the slot is free
    };

    /// Frees the slot of an attempt that ran.
    void freeSlot(const AttemptId &attempt, const Accepted &accepted, TargetActions &actions, TimePoint now);
    /// Number of the endpoint's transfers that occupy no slot.
    [[nodiscard]] std::size_t transferCount(const EndpointId &endpoint) const;
    TargetActions admit(const OpenRequest &request, TimePoint startDeadline, TimePoint deadline, TimePoint now);
    void apply(const AdmissionActions &admissionActions, TargetActions &actions, TimePoint now);
    void start(const AttemptId &attempt, TargetActions &actions, TimePoint now);
    void refuse(const AttemptId &attempt, ResultCode code, TargetActions &actions, TimePoint now);
    /// Ends a running attempt whose response is lost; with \p abort, also aborts the request at the target.
    TargetActions failLost(const AttemptId &attempt, ResultCode code, bool abort, TimePoint now);
    void release(const AttemptId &attempt, TargetActions &actions, TimePoint now);
    /// Refuses the queued attempts of the endpoints for which \p applies holds.
    TargetActions refuseQueuedIf(const std::function<bool(const EndpointId &)> &applies, TimePoint now);
    /// Refuses what still waits some time after its endpoint left.
    TargetActions refuseQueuedOfLeft(TimePoint now);
    /// Refuses an attempt that is queued; false when it is not.
    bool withdraw(const AttemptId &attempt, ResultCode code, TimePoint now);
    [[nodiscard]] bool isRunning(const AttemptId &attempt) const;
    static void announce(const EndpointId &id, DrainAction action, TargetActions &actions);

    TargetLimits m_limits;
    FenceTable m_fence;
    std::map<EndpointId, Endpoint> m_endpoints; ///< also removed ones that still have attempts
    std::set<EndpointId> m_served; ///< endpoints of the latest configuration
    std::set<DrainReason> m_hostReasons; ///< reasons that apply to the whole host, also to endpoints added later
    std::map<AttemptId, Accepted> m_accepted;
    Metrics &m_metrics;
};

} // namespace jasminemast
