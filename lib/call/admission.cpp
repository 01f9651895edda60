// Slots and queue of one endpoint.
#include "jasminemast/call/admission.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace jasminemast
{

namespace
{

/// The newest service time counts for one part in this many.
constexpr int SmoothingParts = 8;

} // namespace

Admission::Admission(const AdmissionLimits &limits)
    : m_limits(limits)
    , m_serviceTime(limits.initialServiceTime)
{
}

std::size_t Admission::queueLimit() const
{
    return static_cast<std::size_t>(std::lround(m_limits.queuePerSlot * m_limits.slots));
}

TimePoint Admission::expectedStart(std::size_t ahead, TimePoint now) const
{
    return now + m_serviceTime * static_cast<Duration::rep>(ahead + 1) / std::max(1U, m_limits.slots);
}

bool Admission::goesBefore(const Waiting &left, const Waiting &right, TimePoint now)
{
    if (left.rank.priority != right.rank.priority) {
        return left.rank.priority < right.rank.priority;
    }
    const bool leftIsUseful = now < left.rank.softDeadline;
    const bool rightIsUseful = now < right.rank.softDeadline;
    return leftIsUseful && !rightIsUseful;
}

AdmissionActions Admission::offer(const AttemptId &attempt, TimePoint deadline, TimePoint now, AdmissionRank rank)
{
    AdmissionActions actions = expire(now);
    if (now >= deadline) {
        actions.emplace_back(AdmissionRefuse {attempt, ResultCode::StartTooLate});
        return actions;
    }
    if (m_running.size() < m_limits.slots) {
        assert(m_queue.empty() && "attempts wait only while all slots are taken");
        m_running.insert(attempt);
        actions.emplace_back(AdmissionStart {attempt});
        return actions;
    }
    const Waiting arrival {attempt, deadline, rank};
    const auto isBehind = [&](const Waiting &waiting) {
        return goesBefore(arrival, waiting, now);
    };
    const auto behind = static_cast<std::size_t>(std::count_if(m_queue.begin(), m_queue.end(), isBehind));
    if (m_queue.size() >= queueLimit() && behind == 0) {
        actions.emplace_back(AdmissionRefuse {attempt, ResultCode::SlotsFull});
        return actions;
    }
    if (expectedStart(m_queue.size() - behind, now) >= deadline) {
        actions.emplace_back(AdmissionRefuse {attempt, ResultCode::StartTooLate});
        return actions;
    }
    m_queue.push_back(arrival);
    if (m_queue.size() > queueLimit()) {
        refuseLast(actions, now);
    }
    return actions;
}

void Admission::refuseLast(AdmissionActions &actions, TimePoint now)
{
    // Of equals, the one that came last.
    auto last = m_queue.begin();
    for (auto place = m_queue.begin(); place != m_queue.end(); ++place) {
        if (!goesBefore(*place, *last, now)) {
            last = place;
        }
    }
    actions.emplace_back(AdmissionRefuse {last->attempt, ResultCode::SlotsFull});
    m_queue.erase(last);
}

AdmissionActions Admission::release(const AttemptId &attempt, Duration served, TimePoint now)
{
    const std::size_t removed = m_running.erase(attempt);
    assert(removed == 1 && "only a running attempt holds a slot");
    static_cast<void>(removed);
    m_serviceTime += (served - m_serviceTime) / SmoothingParts;
    AdmissionActions actions = expire(now);
    startWaiting(actions, now);
    return actions;
}

bool Admission::withdraw(const AttemptId &attempt)
{
    const auto place = std::find_if(m_queue.begin(), m_queue.end(),
                                    [&attempt](const Waiting &waiting) { return waiting.attempt == attempt; });
    if (place == m_queue.end()) {
        return false;
    }
    m_queue.erase(place);
    return true;
}

AdmissionActions Admission::expire(TimePoint now)
{
    AdmissionActions actions;
    std::erase_if(m_queue, [&](const Waiting &waiting) {
        if (now < waiting.deadline) {
            return false;
        }
        actions.emplace_back(AdmissionRefuse {waiting.attempt, ResultCode::StartTooLate});
        return true;
    });
    return actions;
}

AdmissionActions Admission::resize(unsigned slots, TimePoint now)
{
    m_limits.slots = slots;
    AdmissionActions actions = expire(now);
    startWaiting(actions, now);
    return actions;
}

void Admission::startWaiting(AdmissionActions &actions, TimePoint now)
{
    while (!m_queue.empty() && m_running.size() < m_limits.slots) {
        const auto first
            = std::min_element(m_queue.begin(), m_queue.end(), [now](const Waiting &left, const Waiting &right) {
                  return goesBefore(left, right, now);
              });
        const Waiting next = *first;
        m_queue.erase(first);
        assert(now < next.deadline && "expired attempts were removed before");
        m_running.insert(next.attempt);
        actions.emplace_back(AdmissionStart {next.attempt});
    }
}

double Admission::load() const
{
    return static_cast<double>(m_running.size() + m_queue.size()) / std::max(1U, m_limits.slots);
}

std::optional<TimePoint> Admission::earliestDeadline() const
{
    const auto earliest
        = std::min_element(m_queue.begin(), m_queue.end(),
                           [](const Waiting &left, const Waiting &right) { return left.deadline < right.deadline; });
    return earliest == m_queue.end() ? std::nullopt : std::optional(earliest->deadline);
}

} // namespace jasminemast
