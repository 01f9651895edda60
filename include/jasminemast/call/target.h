// The decisions of the node beside a target: which attempts run, what is told of the others, and when to leave.
#pragma once

#include "jasminemast/call/admission.h"
#include "jasminemast/call/drain.h"
#include "jasminemast/call/fence.h"
#include "jasminemast/support/metrics.h"

#include <map>
#include <memory>
#include <variant>
#include <vector>

namespace jasminemast
{

struct TargetLimits
{
    FenceLimits fence;
    AdmissionLimits admission; ///< `slots` is taken from the endpoint
    DrainLimits drain;
};

/// One endpoint that this node serves, as the configuration says.
struct LocalEndpoint
{
    EndpointId id;
    unsigned slots = 0;
    bool draining = false;
};

/// What is to be done beside a target.
namespace targetaction
{
/// Hand the request to the target, once. Report TargetCore::onResponseReceived(), onNotRun() or onLost().
struct Start
{
    AttemptId attempt;
    EndpointId endpoint;
    TimePoint deadline; ///< passed on to the target
    bool repeatable;
};
/// Give up a request that the target runs; already counted as lost.
struct Abort
{
    AttemptId attempt;
};
/// Reply that the attempt was not run.
struct Refuse
{
    AttemptId attempt;
    ResultCode code;
};
/// Reply that the attempt may have run and there is no answer.
struct Fail
{
    AttemptId attempt;
    ResultCode code;
};
/// Reply to a fence; the kept answer follows when there is one.
struct ReplyToFence
{
    AttemptId attempt;
    FenceResult answer;
};
/// Tell every link whether the endpoint takes new calls.
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

    /// Follows a new ticket. Attempts on an endpoint that is gone run to their end.
    TargetActions setEndpoints(const std::vector<LocalEndpoint> &endpoints, TimePoint now);

    /// \p inputAge is how long the message may have waited unread (see PauseDetector).
    TargetActions onOpen(const OpenRequest &request, Duration inputAge, TimePoint now);
    TargetActions onFence(const FenceRequest &request, TimePoint now);
    /// The caller has left or the deadline of the sender has passed.
    TargetActions onCancel(const AttemptId &attempt, TimePoint now);

    /// The target has made its whole answer, which is now on its way: its slot is free again. Transfers that hold none
    /// are bounded by the number of slots.
    TargetActions onResponseReady(const AttemptId &attempt, TimePoint now);
    /// The answer is complete; \p answer is null when it is not to be kept.
    TargetActions onResponseReceived(const AttemptId &attempt, std::shared_ptr<const CachedResponse> answer,
                                     TimePoint now);
    /// The request was never sent to the target, or the target says that it did not run it; \p code tells which.
    TargetActions onNotRun(const AttemptId &attempt, ResultCode code, TimePoint now);
    /// The request was sent, the answer is lost.
    TargetActions onLost(const AttemptId &attempt, ResultCode code, TimePoint now);

    /// A reason to leave that holds for the whole host.
    TargetActions setLeaving(DrainReason reason, bool holds, TimePoint now);
    /// The health page of an endpoint's target was read.
    TargetActions onHealth(const EndpointId &endpoint, bool draining, TimePoint now);

    /// Ends what is past its deadline and repeats announcements. To be called every few milliseconds while busy.
    TargetActions tick(TimePoint now);

    /// Running and waiting over slots; 0 for an unknown endpoint.
    [[nodiscard]] double load(const EndpointId &endpoint) const;
    [[nodiscard]] bool leaving(const EndpointId &endpoint) const;
    /// True for the endpoints of the latest configuration.
    [[nodiscard]] bool serves(const EndpointId &endpoint) const
    {
        return m_served.count(endpoint) != 0;
    }
    /// True while the attempt waits or runs.
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
    };
    /// An attempt that waits for a slot or runs.
    struct Accepted
    {
        EndpointId endpoint;
        TimePoint arrived;
        TimePoint deadline;
        bool repeatable;
        std::optional<TimePoint> startedAt; ///< unset while it waits
        bool onItsWay = false; ///< the answer is ready; only its transfer goes on, which holds no slot
    };

    /// Frees the slot of an attempt that ran.
    void freeSlot(const AttemptId &attempt, const Accepted &accepted, TargetActions &actions, TimePoint now);
    [[nodiscard]] std::size_t onTheirWay(const EndpointId &endpoint) const;
    TargetActions admit(const OpenRequest &request, TimePoint deadline, TimePoint now);
    void apply(const AdmissionActions &decisions, TargetActions &actions, TimePoint now);
    void start(const AttemptId &attempt, TargetActions &actions, TimePoint now);
    void refuse(const AttemptId &attempt, ResultCode code, TargetActions &actions, TimePoint now);
    TargetActions endLost(const AttemptId &attempt, ResultCode code, bool abort, TimePoint now);
    void release(const AttemptId &attempt, TargetActions &actions, TimePoint now);
    bool withdraw(const AttemptId &attempt, ResultCode code, TimePoint now);
    [[nodiscard]] bool runs(const AttemptId &attempt) const;
    static void announce(const EndpointId &id, DrainAction what, TargetActions &actions);

    TargetLimits m_limits;
    FenceTable m_fence;
    std::map<EndpointId, Endpoint> m_endpoints; ///< also those that are gone but still run something
    std::set<EndpointId> m_served; ///< endpoints of the latest configuration
    std::set<DrainReason> m_hostReasons; ///< reasons to leave that hold for the host, for endpoints still to come
    std::map<AttemptId, Accepted> m_accepted;
    Metrics &m_metrics;
};

} // namespace jasminemast
