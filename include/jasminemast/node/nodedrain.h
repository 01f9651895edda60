// The order of the steps from SIGTERM to the exit of a node. No I/O.
#pragma once

#include "jasminemast/settings/nodesettings.h"
#include "jasminemast/support/clock.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace jasminemast
{

/// What keeps a draining node from its exit.
struct DrainWork
{
    std::size_t calls = 0; ///< calls of its callers without a complete response
    std::size_t unwrittenResponses = 0; ///< requests of its callers whose response is not completely written
    std::size_t callerConnections = 0; ///< connections of its callers, idle ones included
    std::size_t attempts = 0; ///< attempts that its target runs, or that wait for it
    bool hasQueuedFrames = false; ///< some frames for other nodes are not written
    std::size_t finishingLinks = 0; ///< see LinkPool::finishingLinks()
    TimePoint lastActivity; ///< when a caller or another node last sent a request
};

/// What is known about a call of a caller before it is passed on.
struct CallForecast
{
    TimePoint deadline; ///< the call ends then, whatever happens to it
    Duration duration {0}; ///< how long calls like it have lately taken at most
    Duration backlog {0}; ///< how long this host's network link takes for what is queued on it already
};

/// What the owner of a NodeDrain is to do.
enum class DrainStep : std::uint8_t {
    AnnounceExit, ///< announce on all links, also on those opened from now on, that the node exits soon
    DrainTarget, ///< refuse new calls for the target beside the node
    DrainEntry, ///< ask callers to close their connections after the next response
    StopAccepting, ///< accept no further connections of callers, and close each after its response
    CloseIdleConnections, ///< close the connections of callers without an open request
    RefuseQueued, ///< refuse the attempts that still wait for the target beside the node
    StopAcceptingLinks, ///< accept no further links; requests on open ones are still refused
    FinishLinks, ///< send nothing new on the links, and close each once its peer has read everything
    Exit, ///< end the process
};
using DrainSteps = std::vector<DrainStep>;

/// The drain of one node. Without a grace time it lasts until all calls have ended.
///
/// Invariants: StopAcceptingLinks comes before FinishLinks, and FinishLinks before Exit. Before the time is over,
/// FinishLinks comes only if no work is left and callers have no open connection, so that each request that was read is
/// answered.
class NodeDrain
{
public:
    NodeDrain(const DrainSettings &settings, TimePoint startedAt)
        : m_settings(settings)
        , m_startedAt(startedAt)
    {
    }

    /// Returns the steps that are due at \p now. Steps before FinishLinks may be repeated.
    DrainSteps tick(const DrainWork &work, TimePoint now);

    /// True if the node exits even though calls are open.
    [[nodiscard]] bool hasExitTime() const
    {
        return m_settings.grace.count() > 0;
    }
    /// Whether a call of a caller that is read at \p now may be passed on: only if its response can be expected to be
    /// sent completely before the exit, since what is refused can be sent to another node. After lingering, only if it
    /// ends before the exit whatever happens to it: the caller had time to notice the draining.
    [[nodiscard]] bool acceptsCall(const CallForecast &call, TimePoint now) const;
    /// When calls end that are still open; only if the node has an exit time.
    [[nodiscard]] TimePoint latestDeadline() const
    {
        return m_startedAt + m_settings.grace;
    }
    /// How long the replies to withdrawn attempts may take, so that time is left to write the last responses.
    [[nodiscard]] Duration withdrawTimeout() const
    {
        return m_settings.flush / 2;
    }
    [[nodiscard]] bool isExitAnnounced() const
    {
        return m_isExitAnnounced;
    }

private:
    /// True once other nodes have no reason to open a link.
    [[nodiscard]] bool canStopAcceptingLinks(const DrainWork &work, TimePoint now) const;
    /// True once \p extra has passed after the grace time.
    [[nodiscard]] bool isTimeOver(Duration extra, TimePoint now) const;
    [[nodiscard]] bool isExitDue(const DrainWork &work, TimePoint now) const;
    /// Adds the steps that make callers and other nodes stop sending requests.
    void addLeavingSteps(DrainSteps &steps, const DrainWork &work, TimePoint now);
    [[nodiscard]] bool isIdle(const DrainWork &work, TimePoint now) const;

    DrainSettings m_settings;
    TimePoint m_startedAt;
    bool m_isExitAnnounced = false;
    /// The first tick after the grace time. The last responses are written after it, also if the process was paused.
    std::optional<TimePoint> m_graceEndedAt;
    bool m_hasClosedIdleConnections = false;
    std::optional<TimePoint> m_linksStoppedAt; ///< when StopAcceptingLinks was returned
    std::optional<TimePoint> m_linksFinishedAt; ///< when FinishLinks was returned
};

} // namespace jasminemast
