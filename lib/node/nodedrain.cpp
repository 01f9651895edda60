// Decides when each step of a drain is due.
#include "jasminemast/node/nodedrain.h"

#include <algorithm>

namespace jasminemast
{

namespace
{

/// A node without an exit time exits after this time without work: a caller would have sent its next request by then.
constexpr Milliseconds IdleTime {500};
/// Before its exit, a node has its peers send their responses first for this long, or since it takes no new calls if
/// that is longer: others wait for nothing but the rest of what is open.
constexpr Milliseconds MinExpediteTime {1'500};
/// A call may take longer than those before it by this factor.
constexpr double DurationMargin = 1.25;
/// Longer than two round trips between regions: an attempt on a link that was accepted last is refused, not dropped.
constexpr Milliseconds RefusalTime {200};
/// A peer that does not close its end of a link within this time is cut off or paused.
constexpr Milliseconds MaxLinkCloseTime {1'000};

} // namespace

DrainSteps NodeDrain::tick(const DrainWork &work, TimePoint now)
{
    if (isExitDue(work, now)) {
        return {DrainStep::Exit};
    }
    DrainSteps steps;
    if (!m_graceEndedAt && hasExitTime() && now >= latestDeadline()) {
        m_graceEndedAt = now;
        steps.push_back(DrainStep::RefuseQueued);
    }
    const TimePoint expediteFrom = std::min(m_startedAt + m_settings.linger, latestDeadline() - MinExpediteTime);
    if (hasExitTime() && !m_isExitAnnounced && now >= expediteFrom) {
        m_isExitAnnounced = true;
        steps.push_back(DrainStep::AnnounceExit);
    }
    if (m_linksFinishedAt) {
        return steps;
    }
    // A connection may have become idle since they were closed, and its next request may just be there.
    const bool hasNoWork = m_hasClosedIdleConnections && work.callerConnections == 0 && isIdle(work, now);
    addLeavingSteps(steps, work, now);
    if (!m_linksStoppedAt && (canStopAcceptingLinks(work, now) || isTimeOver(m_settings.flush / 2, now))) {
        m_linksStoppedAt = now;
        steps.push_back(DrainStep::StopAcceptingLinks);
    }
    const bool canFinish = hasNoWork && m_linksStoppedAt && now - *m_linksStoppedAt >= RefusalTime;
    if (canFinish || isTimeOver(m_settings.flush, now)) {
        m_linksFinishedAt = now;
        steps.push_back(DrainStep::FinishLinks);
    }
    return steps;
}

bool NodeDrain::acceptsCall(const CallForecast &call, TimePoint now) const
{
    if (!hasExitTime() || call.deadline <= latestDeadline()) {
        return true;
    }
    if (now >= m_startedAt + m_settings.linger) {
        return false;
    }
    const auto duration = std::chrono::duration_cast<Duration>(call.duration * DurationMargin);
    return now + duration + call.backlog <= latestDeadline();
}

bool NodeDrain::canStopAcceptingLinks(const DrainWork &work, TimePoint now) const
{
    // While attempts run, their nodes need a new link when one is lost.
    const Duration since = now - m_startedAt;
    return since >= m_settings.serve && since >= m_settings.linger - RefusalTime && work.attempts == 0;
}

bool NodeDrain::isTimeOver(Duration extra, TimePoint now) const
{
    return m_graceEndedAt && now >= *m_graceEndedAt + extra;
}

bool NodeDrain::isExitDue(const DrainWork &work, TimePoint now) const
{
    if (isTimeOver(m_settings.flush + m_settings.flush / 2, now)) {
        return true;
    }
    return m_linksFinishedAt && (work.finishingLinks == 0 || now - *m_linksFinishedAt >= MaxLinkCloseTime);
}

void NodeDrain::addLeavingSteps(DrainSteps &steps, const DrainWork &work, TimePoint now)
{
    const Duration since = now - m_startedAt;
    if (since >= m_settings.serve) {
        steps.push_back(DrainStep::DrainTarget);
    }
    // Serve callers that do not know yet that the node is leaving.
    const bool isLingering = since < m_settings.linger;
    if (since >= m_settings.linger - IdleTime) {
        steps.push_back(DrainStep::DrainEntry);
        if (!isLingering || !hasExitTime()) {
            steps.push_back(DrainStep::StopAccepting);
        }
    }
    if (!isLingering && (hasExitTime() || isIdle(work, now))) {
        steps.push_back(DrainStep::CloseIdleConnections);
        m_hasClosedIdleConnections = true;
    }
}

bool NodeDrain::isIdle(const DrainWork &work, TimePoint now) const
{
    if (work.calls > 0 || work.unwrittenResponses > 0 || work.attempts > 0 || work.hasQueuedFrames) {
        return false;
    }
    // With an exit time, lingering has used the available time: do not wait for idle callers as well.
    return hasExitTime() || now - std::max(m_startedAt, work.lastActivity) >= IdleTime;
}

} // namespace jasminemast
