// Watching the accepted head at the configuration service: who watches, and when a call starts.
#pragma once

#include "jasminemast/spread/backoff.h"
#include "jasminemast/spread/servicebudget.h"
#include "jasminemast/spread/spreadevents.h"
#include "jasminemast/spread/topology.h"

#include <map>
#include <optional>

namespace jasminemast
{

/// Safe when none, one or all nodes of a zone watch: a watch only ever brings heads in.
class WatchDuty
{
public:
    WatchDuty(const SpreadSettings &settings, ServiceBudget &budget, Random &random, SpreadCounters &counters);

    /// Notes that \p host said at \p now that it watches and that the service answers it.
    void readerHeard(const HostId &host, TimePoint now);
    /// Decides anew whether this node is a reader.
    void review(const Topology &topology, TimePoint now);
    /// Asks for one answer without a wait, reader or not.
    void readOnce();
    /// Starts a call when one is due.
    std::optional<StartWatch> step(TimePoint now);
    /// Takes an answer. True when it answers the call in flight.
    bool answered(std::uint64_t id, TimePoint now);
    void failed(std::uint64_t id, TimePoint now);
    /// Gives up the call in flight after this process was paused.
    void resumeAfterPause(TimePoint now);

    [[nodiscard]] bool isReader() const
    {
        return m_reader;
    }
    /// True while the service has answered this node recently.
    [[nodiscard]] bool sourceFresh(TimePoint now) const;
    /// The time of the service's last answer.
    [[nodiscard]] std::optional<TimePoint> lastAnswer() const
    {
        return m_lastAnswer;
    }

private:
    struct Call
    {
        std::uint64_t id = 0;
        TimePoint deadline; ///< the connection counts as silent afterwards
    };

    void callFailed(TimePoint now);

    const SpreadSettings &m_settings;
    ServiceBudget &m_budget;
    Random &m_random;
    SpreadCounters &m_counters;
    std::map<HostId, TimePoint> m_readersHeard;
    bool m_reader = false;
    bool m_readOnce = false; ///< one answer without a wait is wanted
    std::optional<TimePoint> m_firstReview;
    std::optional<Call> m_call; ///< at most one call in flight
    std::uint64_t m_lastId = 0;
    TimePoint m_notBefore;
    Backoff m_backoff;
    std::optional<TimePoint> m_lastAnswer;
};

} // namespace jasminemast
