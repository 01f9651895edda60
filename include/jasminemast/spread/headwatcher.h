// Watches the accepted head at the configuration service: which nodes watch, and when calls start.
#pragma once

#include "jasminemast/spread/backoff.h"
#include "jasminemast/spread/servicebudget.h"
#include "jasminemast/spread/spreadevents.h"
#include "jasminemast/spread/topology.h"

#include <map>
#include <optional>

namespace jasminemast
{

/// The first hosts of a zone's reader order are its readers; the standbys after them take over from readers that have
/// gone silent. Nodes may safely disagree on who is a reader, since a watch only reads the head.
class HeadWatcher
{
public:
    HeadWatcher(const SpreadSettings &settings, ServiceBudget &budget, Random &random, SpreadCounters &counters);

    /// Records that \p host reported itself as a reader that reaches the service.
    void noteReader(const HostId &host, TimePoint now);
    /// Updates whether this node is a reader.
    void updateRole(const Topology &topology, TimePoint now);
    /// Requests one read of the head without waiting for a change, whether or not this node is a reader.
    void requestRead();
    /// Returns the call to start if one is due.
    std::optional<StartWatch> step(TimePoint now);
    /// Handles a response. Returns true when it belongs to the call in flight.
    bool onResponse(std::uint64_t id, TimePoint now);
    void onFailure(std::uint64_t id, TimePoint now);
    /// Drops the call in flight and forgets other readers after this process was paused.
    void resumeAfterPause(TimePoint now);

    [[nodiscard]] bool isReader() const
    {
        return m_reader;
    }
    /// True if the service has responded to this node recently.
    [[nodiscard]] bool serviceReachable(TimePoint now) const;
    /// The time of the last response of the service.
    [[nodiscard]] std::optional<TimePoint> lastResponse() const
    {
        return m_lastResponse;
    }

private:
    struct Call
    {
        std::uint64_t id = 0;
        TimePoint deadline; ///< the call counts as failed afterwards
    };

    void callFailed(TimePoint now);

    const SpreadSettings &m_settings;
    ServiceBudget &m_budget;
    Random &m_random;
    SpreadCounters &m_counters;
    std::map<HostId, TimePoint> m_readersSeen; ///< last report of each other reader
    bool m_reader = false;
    bool m_readRequested = false; ///< a read without wait is pending
    std::optional<TimePoint> m_firstUpdate;
    std::optional<Call> m_call; ///< at most one call in flight
    std::uint64_t m_lastId = 0;
    TimePoint m_nextCallAt;
    Backoff m_backoff;
    std::optional<TimePoint> m_lastResponse;
};

} // namespace jasminemast
