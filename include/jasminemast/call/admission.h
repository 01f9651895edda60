// Admission control of a target: a fixed number of slots, a short queue ordered by urgency, and refusal of the rest.
#pragma once

#include "jasminemast/call/attempt.h"
#include "jasminemast/call/warmuplimiter.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace jasminemast
{

struct AdmissionLimits
{
    unsigned slots = 0; ///< requests that the target runs concurrently
    double queuePerSlot = 1.0; ///< maximum queue length, as a multiple of the slots
    Duration initialServiceTime = std::chrono::milliseconds(10); ///< estimate before any request has ended
    /// The same for attempts that end before their soft deadline even if they wait far longer than expected; at least
    /// as much.
    double patientQueuePerSlot = 1.0;
};

/// Position of an attempt in the queue for slots.
struct AdmissionRank
{
    unsigned priority = 0; ///< of the route; 0 is the most urgent
    TimePoint softDeadline = TimePoint::max(); ///< a later response has lost most of its value to the caller
};

/// The attempt was given a slot: send it to the target.
struct AdmissionStart
{
    AttemptId attempt;
};
/// The attempt was not run and holds neither a slot nor a place in the queue.
struct AdmissionRefuse
{
    AttemptId attempt;
    ResultCode code;
};
using AdmissionAction = std::variant<AdmissionStart, AdmissionRefuse>;
using AdmissionActions = std::vector<AdmissionAction>;

/// Slots and queue of one endpoint.
///
/// The queue is short, so that queued attempts can still finish in time; attempts whose caller has more time wait in a
/// longer one. Its order: higher priority first, then attempts before their soft deadline, then the longest wait. An
/// attempt is refused if too many go before it, also if they came later.
///
/// While the target warms up, attempts also wait for the rate of requests that it bears.
///
/// Invariants: at most `slots` attempts run (more only right after the number was lowered); an attempt is queued only
/// while all slots are taken or the target warms up; nothing starts after its deadline.
class Admission
{
public:
    explicit Admission(const AdmissionLimits &limits);

    /// Starts the attempt, queues it (no action) or refuses it.
    AdmissionActions submit(const AttemptId &attempt, TimePoint deadline, TimePoint now, AdmissionRank rank = {});
    /// Frees the slot of an attempt that has ended after \p serviceTime.
    AdmissionActions release(const AttemptId &attempt, Duration serviceTime, TimePoint now);
    /// Removes an attempt from the queue; false when it is not queued.
    bool withdraw(const AttemptId &attempt);
    /// Refuses queued attempts that cannot end before their deadline, and starts those that a target that warms up can
    /// now take.
    AdmissionActions tick(TimePoint now);
    /// Changes the number of slots, as configured by a ticket.
    AdmissionActions resize(unsigned slots, TimePoint now);

    [[nodiscard]] WarmUpLimiter &warmUp()
    {
        return m_warmUp;
    }

    /// Running and queued attempts divided by the slots that can be used: 1 when all are taken and the queue is empty.
    [[nodiscard]] double load(TimePoint now) const;
    [[nodiscard]] std::size_t running() const
    {
        return m_running.size();
    }
    [[nodiscard]] std::size_t queued() const
    {
        return m_queue.size();
    }
    [[nodiscard]] unsigned slots() const
    {
        return m_limits.slots;
    }
    [[nodiscard]] std::optional<TimePoint> earliestDeadline() const;

private:
    struct QueuedAttempt
    {
        AttemptId attempt;
        TimePoint deadline;
        AdmissionRank rank;
    };

    [[nodiscard]] static bool precedes(const QueuedAttempt &left, const QueuedAttempt &right, TimePoint now);
    /// How many may wait before an attempt that is patient, or that is not.
    [[nodiscard]] std::size_t queueLimit(bool isPatient, TimePoint now) const;
    /// True if an attempt that has \p ahead others before it ends before its soft deadline even if it waits far longer
    /// than expected, since more urgent ones may overtake it.
    [[nodiscard]] bool isPatient(const AdmissionRank &rank, std::size_t ahead, TimePoint now) const;
    /// The slots that the target can use: while it warms up, those that its rate of requests keeps busy.
    [[nodiscard]] double usableSlots(TimePoint now) const;
    [[nodiscard]] bool canStart(TimePoint now) const;
    void run(const AttemptId &attempt, AdmissionActions &actions, TimePoint now);
    /// Refuses queued attempts that cannot end before their deadline.
    AdmissionActions expire(TimePoint now);
    /// Estimated start of an attempt that has \p ahead others before it in the queue.
    [[nodiscard]] TimePoint expectedStart(std::size_t ahead, TimePoint now) const;
    /// Refuses the last attempts of the queue while too many go before them.
    void refuseExcess(AdmissionActions &actions, TimePoint now);
    void startQueued(AdmissionActions &actions, TimePoint now);

    AdmissionLimits m_limits;
    WarmUpLimiter m_warmUp;
    std::set<AttemptId> m_running;
    std::deque<QueuedAttempt> m_queue; ///< in order of arrival
    Duration m_serviceTime; ///< smoothed time for which an attempt occupies its slot
};

} // namespace jasminemast
