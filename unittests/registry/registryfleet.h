// Nodes that read a registry together, in simulated time: partitions, outages and lost hosts at any moment.
#pragma once

#include "jasminemast/registry/readschedule.h"
#include "jasminemast/registry/syncserver.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace jasminemast
{

/// How something that cannot be reached behaves.
enum class FailureMode : std::uint8_t {
    Silent, ///< requests and responses are lost
    Reset, ///< connections are reset, and new ones refused
};

/// A period [from, until).
struct Period
{
    TimePoint from;
    TimePoint until;
    FailureMode mode = FailureMode::Silent;
    bool isRegistryOnly = false; ///< a cut leaves the paths to other nodes as they are

    [[nodiscard]] bool contains(TimePoint time) const
    {
        return from <= time && time < until;
    }
};

/// A registry and its readers. Each host has one node and one target; host i is "10.0.0.<i>", its target "t<i>".
///
/// Invariant: between two steps at most one request of each node is pending.
class RegistryFleet
{
public:
    static constexpr Milliseconds Step {10};
    static inline const TimePoint Start {std::chrono::hours(1)};

    RegistryFleet(std::size_t nodes, std::size_t zones);

    // What goes wrong; set before the time is reached.
    void cutOff(std::size_t node, const Period &period)
    {
        m_nodes.at(node).cuts.push_back(period);
    }
    void loseRegistry(const Period &period)
    {
        m_outages.push_back(period);
    }

    /// Advances time by one step.
    void step();
    void runUntil(TimePoint time);

    // Changes that the registry acknowledges now.
    void publish();
    /// The same for a configuration, or an InvalidRecord in its place.
    void publish(RegistryRecord configuration);
    void removeTarget(std::size_t index);
    void registerTarget(std::size_t index);
    /// Discards the change history.
    void compact();
    /// The host is lost for good, with its target.
    void loseHost(std::size_t node)
    {
        m_nodes.at(node).isLost = true;
    }

    /// The process on that host ends, and a new one starts.
    void restart(std::size_t node);

    [[nodiscard]] TimePoint now() const
    {
        return m_now;
    }
    [[nodiscard]] std::size_t size() const
    {
        return m_nodes.size();
    }
    [[nodiscard]] bool isLost(std::size_t node) const
    {
        return m_nodes.at(node).isLost;
    }
    [[nodiscard]] const ReadSchedule &reads(std::size_t node) const
    {
        return *m_nodes.at(node).reads;
    }
    [[nodiscard]] bool usesTarget(std::size_t node, std::size_t index) const;
    [[nodiscard]] bool isRegistered(std::size_t index) const;
    [[nodiscard]] TicketNumber numberAt(std::size_t node) const;
    [[nodiscard]] TicketNumber publishedNumber() const
    {
        return m_number;
    }
    /// True if the registry and the node's path to it were undisturbed during the whole \p window until now.
    [[nodiscard]] bool isInTouch(std::size_t node, Duration window) const;
    /// True if the registry was undisturbed during the whole \p window until \p time.
    [[nodiscard]] bool isStable(TimePoint time, Duration window) const;
    /// Requests to the registry so far.
    [[nodiscard]] std::size_t registryCalls() const
    {
        return m_registryCalls;
    }

private:
    /// A request of a node that has not ended.
    struct Request
    {
        ReadAction action;
        TimePoint startedAt;
        TimePoint timeoutAt;
        bool isLost = false; ///< no response will come
        bool isSent = false; ///< the peer has it
        std::uint64_t id = 0;
    };
    struct SimulatedNode
    {
        std::unique_ptr<ReadSchedule> reads;
        std::unique_ptr<SyncServer> server;
        std::vector<Period> cuts;
        std::optional<Request> request;
        TimePoint nextAt; ///< when to ask for the next action
        std::uint64_t passedOnChanges = 0;
        bool passedOnListing = false;
        bool isLost = false;
    };

    [[nodiscard]] static const Period *findPeriod(const std::vector<Period> &periods, TimePoint time);
    [[nodiscard]] bool canReach(const SimulatedNode &node, const SimulatedNode &peer) const;
    /// What keeps the node from the registry now; null if nothing does.
    [[nodiscard]] const Period *findTrouble(const SimulatedNode &node) const;
    void startRequest(SimulatedNode &node);
    void continueRequest(std::size_t index);
    void continueCall(SimulatedNode &node);
    void continueAsking(std::size_t index, const readaction::AskPeer &ask);
    void endCall(SimulatedNode &node, RegistryResponse response);
    void failCall(SimulatedNode &node);
    void endAsking(SimulatedNode &node, const std::optional<SyncReply> &reply);
    void passOn(std::size_t index);
    void deliver(std::size_t from, const SyncServer::Replies &replies);
    [[nodiscard]] RegistryResponse listing() const;
    [[nodiscard]] RegistryResponse changesAfter(Revision revision) const;
    void start(std::size_t index);
    [[nodiscard]] std::optional<std::size_t> indexOf(const HostId &host) const;

    TimePoint m_now = Start;
    std::size_t m_zones;
    std::vector<SimulatedNode> m_nodes;
    std::vector<Period> m_outages;
    std::uint64_t m_revision = 10;
    std::uint64_t m_oldestRevision = 0; ///< changes up to it are gone
    TicketNumber m_number {1};
    RegistryRecord m_configuration;
    std::map<EndpointId, RegisteredTarget> m_targets;
    std::map<std::size_t, std::uint64_t> m_sequences;
    std::vector<std::pair<std::uint64_t, RegistryRecord>> m_history;
    std::uint64_t m_lastRequestId = 0;
    std::size_t m_registryCalls = 0;
};

} // namespace jasminemast
