// Slots and queue of one endpoint: order, bounds and estimated start times.
#include "jasminemast/call/admission.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace jasminemast
{

namespace
{

/// The latest service time has a weight of one over this number in the moving average.
constexpr int ServiceTimeSmoothing = 8;
/// The service time of an attempt may be above the mean by this factor.
constexpr double ServiceTimeMargin = 1.5;
/// Longer than the way of a refusal between regions.
constexpr Milliseconds RefusalTime {25};
/// A patient attempt may wait longer than expected by this factor.
constexpr int PatienceMargin = 4;

} // namespace

Admission::Admission(const AdmissionLimits &limits)
    : m_limits(limits)
    , m_serviceTime(limits.initialServiceTime)
{
}

double Admission::usableSlots(TimePoint now) const
{
    const double slots = std::max(1U, m_limits.slots);
    if (!m_warmUp.isLimiting(now)) {
        return slots;
    }
    const double busy = m_warmUp.rate() * std::chrono::duration<double>(m_serviceTime).count();
    return std::clamp(busy, 1.0, slots);
}

std::size_t Admission::queueLimit(bool isPatient, TimePoint now) const
{
    const double slots = m_warmUp.isLimiting(now) ? usableSlots(now) : m_limits.slots;
    const double patientPerSlot = std::max(m_limits.patientQueuePerSlot, m_limits.queuePerSlot);
    const double perSlot = isPatient ? patientPerSlot : m_limits.queuePerSlot;
    return static_cast<std::size_t>(std::lround(perSlot * slots));
}

bool Admission::isPatient(const AdmissionRank &rank, std::size_t ahead, TimePoint now) const
{
    if (rank.softDeadline == TimePoint::max()) {
        return false;
    }
    const Duration wait = expectedStart(ahead, now) - now;
    const auto serviceTime = std::chrono::duration_cast<Duration>(m_serviceTime * ServiceTimeMargin);
    return now + wait * PatienceMargin + serviceTime <= rank.softDeadline;
}

TimePoint Admission::expectedStart(std::size_t ahead, TimePoint now) const
{
    const TimePoint allowed = m_warmUp.startOf(ahead + 1, now);
    if (m_running.size() < m_limits.slots) {
        return allowed;
    }
    const Duration wait = m_serviceTime * static_cast<Duration::rep>(ahead + 1) / std::max(1U, m_limits.slots);
    return std::max(allowed, now + wait);
}

bool Admission::canStart(TimePoint now) const
{
    return m_running.size() < m_limits.slots && m_warmUp.mayStart(now);
}

void Admission::run(const AttemptId &attempt, AdmissionActions &actions, TimePoint now)
{
    m_warmUp.recordStart(now);
    m_running.insert(attempt);
    actions.emplace_back(AdmissionStart {attempt});
}

bool Admission::precedes(const QueuedAttempt &left, const QueuedAttempt &right, TimePoint now)
{
    if (left.rank.priority != right.rank.priority) {
        return left.rank.priority < right.rank.priority;
    }
    const bool leftMeetsSoftDeadline = now < left.rank.softDeadline;
    const bool rightMeetsSoftDeadline = now < right.rank.softDeadline;
    return leftMeetsSoftDeadline && !rightMeetsSoftDeadline;
}

AdmissionActions Admission::submit(const AttemptId &attempt, TimePoint deadline, TimePoint now, AdmissionRank rank)
{
    AdmissionActions actions = tick(now);
    if (now >= deadline) {
        actions.emplace_back(AdmissionRefuse {attempt, ResultCode::StartTooLate});
        return actions;
    }
    if (canStart(now)) {
        assert(m_queue.empty() && "queued attempts start as soon as they can");
        run(attempt, actions, now);
        return actions;
    }
    const QueuedAttempt arrival {attempt, deadline, rank};
    const auto isOvertaken = [&](const QueuedAttempt &queued) {
        return precedes(arrival, queued, now);
    };
    const auto overtaken = static_cast<std::size_t>(std::count_if(m_queue.begin(), m_queue.end(), isOvertaken));
    const std::size_t ahead = m_queue.size() - overtaken;
    if (ahead >= queueLimit(isPatient(rank, ahead, now), now)) {
        const bool hasSlot = m_running.size() < m_limits.slots;
        actions.emplace_back(AdmissionRefuse {attempt, hasSlot ? ResultCode::TargetWarmingUp : ResultCode::SlotsFull});
        return actions;
    }
    if (expectedStart(ahead, now) >= deadline) {
        actions.emplace_back(AdmissionRefuse {attempt, ResultCode::StartTooLate});
        return actions;
    }
    m_queue.push_back(arrival);
    refuseExcess(actions, now);
    return actions;
}

void Admission::refuseExcess(AdmissionActions &actions, TimePoint now)
{
    while (!m_queue.empty()) {
        // Among attempts of equal rank, the one that arrived last.
        auto last = m_queue.begin();
        for (auto it = m_queue.begin(); it != m_queue.end(); ++it) {
            if (!precedes(*it, *last, now)) {
                last = it;
            }
        }
        const std::size_t ahead = m_queue.size() - 1;
        if (ahead < queueLimit(isPatient(last->rank, ahead, now), now)) {
            return;
        }
        actions.emplace_back(AdmissionRefuse {last->attempt, ResultCode::SlotsFull});
        m_queue.erase(last);
    }
}

AdmissionActions Admission::release(const AttemptId &attempt, Duration serviceTime, TimePoint now)
{
    const std::size_t removed = m_running.erase(attempt);
    assert(removed == 1 && "only a running attempt holds a slot");
    static_cast<void>(removed);
    m_serviceTime += (serviceTime - m_serviceTime) / ServiceTimeSmoothing;
    return tick(now);
}

bool Admission::withdraw(const AttemptId &attempt)
{
    const auto it = std::find_if(m_queue.begin(), m_queue.end(),
                                 [&attempt](const QueuedAttempt &queued) { return queued.attempt == attempt; });
    if (it == m_queue.end()) {
        return false;
    }
    m_queue.erase(it);
    return true;
}

AdmissionActions Admission::expire(TimePoint now)
{
    AdmissionActions actions;
    // What cannot end in time is refused while the refusal can still arrive before the deadline: after it, the entry
    // node can only say that the outcome is unknown.
    const TimePoint latest = now + m_serviceTime / 2 + RefusalTime;
    std::erase_if(m_queue, [&](const QueuedAttempt &queued) {
        if (latest < queued.deadline) {
            return false;
        }
        actions.emplace_back(AdmissionRefuse {queued.attempt, ResultCode::StartTooLate});
        return true;
    });
    return actions;
}

AdmissionActions Admission::tick(TimePoint now)
{
    AdmissionActions actions = expire(now);
    startQueued(actions, now);
    return actions;
}

AdmissionActions Admission::resize(unsigned slots, TimePoint now)
{
    m_limits.slots = slots;
    return tick(now);
}

void Admission::startQueued(AdmissionActions &actions, TimePoint now)
{
    while (!m_queue.empty() && canStart(now)) {
        const auto first = std::min_element(
            m_queue.begin(), m_queue.end(),
            [now](const QueuedAttempt &left, const QueuedAttempt &right) { return precedes(left, right, now); });
        const QueuedAttempt next = *first;
        m_queue.erase(first);
        assert(now < next.deadline && "expired attempts were removed by expire()");
        run(next.attempt, actions, now);
    }
}

double Admission::load(TimePoint now) const
{
    return static_cast<double>(m_running.size() + m_queue.size()) / usableSlots(now);
}

std::optional<TimePoint> Admission::earliestDeadline() const
{
    const auto earliest
        = std::min_element(m_queue.begin(), m_queue.end(), [](const QueuedAttempt &left, const QueuedAttempt &right) {
              return left.deadline < right.deadline;
          });
    return earliest == m_queue.end() ? std::nullopt : std::optional(earliest->deadline);
}

} // namespace jasminemast
