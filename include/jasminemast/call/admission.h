// Admission beside a target: exact slots, a short queue that knows deadlines, and refusal of the rest.
#pragma once

#include "jasminemast/call/attempt.h"

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
    unsigned slots = 0; ///< requests that the target runs at once
    double queuePerSlot = 1.0; ///< longest queue, as a multiple of the slots
    Duration initialServiceTime = std::chrono::milliseconds(10); ///< estimate before any request has ended
};

/// Who goes first when slots are short.
struct AdmissionRank
{
    unsigned priority = 0; ///< of the route; 0 is the most urgent
    TimePoint softDeadline = TimePoint::max(); ///< an answer after this has lost most of its worth to the caller
};

/// The attempt holds a slot: hand it to the target.
struct AdmissionStart
{
    AttemptId attempt;
};
/// The attempt was not run and holds neither slot nor place.
struct AdmissionRefuse
{
    AttemptId attempt;
    ResultCode code;
};
using AdmissionAction = std::variant<AdmissionStart, AdmissionRefuse>;
using AdmissionActions = std::vector<AdmissionAction>;

/// Slots and queue of one endpoint.
///
/// The queue is short, so that what waits can still be answered in useful time. In it go the more urgent before the
/// less urgent, then those whose answer is still useful before those whose answer comes late anyway, then the longer
/// waiting. When it is full, the last of that order is refused, which may be the one that arrives.
///
/// Invariants: at most `slots` attempts run (more only right after the number was lowered); an attempt waits only while
/// all slots are taken; nothing starts after its deadline.
class Admission
{
public:
    explicit Admission(const AdmissionLimits &limits);

    /// An attempt arrived: starts it, queues it (no action) or refuses it.
    AdmissionActions offer(const AttemptId &attempt, TimePoint deadline, TimePoint now, AdmissionRank rank = {});
    /// An attempt that ran \p served has ended and frees its slot.
    AdmissionActions release(const AttemptId &attempt, Duration served, TimePoint now);
    /// Takes a waiting attempt out of the queue; false when it is not there.
    bool withdraw(const AttemptId &attempt);
    /// Refuses waiting attempts that can no longer start in time.
    AdmissionActions expire(TimePoint now);
    /// Changes the number of slots, as a ticket says.
    AdmissionActions resize(unsigned slots, TimePoint now);

    /// Running and waiting attempts over slots: 1 when just full.
    [[nodiscard]] double load() const;
    [[nodiscard]] std::size_t running() const
    {
        return m_running.size();
    }
    [[nodiscard]] std::size_t waiting() const
    {
        return m_queue.size();
    }
    [[nodiscard]] unsigned slots() const
    {
        return m_limits.slots;
    }
    [[nodiscard]] std::optional<TimePoint> earliestDeadline() const;

private:
    struct Waiting
    {
        AttemptId attempt;
        TimePoint deadline;
        AdmissionRank rank;
    };

    [[nodiscard]] static bool goesBefore(const Waiting &left, const Waiting &right, TimePoint now);
    [[nodiscard]] std::size_t queueLimit() const;
    /// When an attempt with \p ahead others before it would start.
    [[nodiscard]] TimePoint expectedStart(std::size_t ahead, TimePoint now) const;
    void refuseLast(AdmissionActions &actions, TimePoint now);
    void startWaiting(AdmissionActions &actions, TimePoint now);

    AdmissionLimits m_limits;
    std::set<AttemptId> m_running;
    std::deque<Waiting> m_queue; ///< in order of arrival
    Duration m_serviceTime; ///< smoothed time that a request holds its slot
};

} // namespace jasminemast
