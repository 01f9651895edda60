// A fleet of SpreadCore objects on a test clock, connected by a simulated network and a fake configuration service.
//
// Checks that no node goes back to an older ticket or publishes a state that was not accepted. Failed checks are listed
// in violations().
#pragma once

#include "fakenetwork.h"
#include "fakeservice.h"

#include "jasminemast/spread/spreadcore.h"

#include <functional>
#include <memory>
#include <queue>
#include <set>

namespace jasminemast
{

struct FleetOptions
{
    unsigned regions = 3;
    unsigned zonesPerRegion = 2;
    unsigned nodesPerZone = 6;
    SpreadSettings settings;
    std::uint64_t seed = 1;
    FakeNetworkDelays delays {};
};

/// Default settings with the configuration service in region r0.
SpreadSettings testSettings();

class FakeFleet
{
public:
    explicit FakeFleet(FleetOptions options);
    ~FakeFleet();

    // Operators and configuration service.

    /// Stores and accepts a valid ticket; returns its number.
    TicketNumber accept();
    /// Stores and accepts a ticket with \p sections.
    TicketNumber acceptSections(const std::string &sections);
    /// Sets the head that the service reports, whether or not the chain contains it.
    void setServiceHead(const Head &head);
    TicketChain &chain()
    {
        return m_service.chain();
    }
    /// Removes a ticket from the service, or restores it.
    void setTicketStored(std::uint64_t number, bool stored)
    {
        m_service.setTicketStored(number, stored);
    }
    /// Makes the service return \p bytes for ticket \p number.
    void setServedBytes(std::uint64_t number, std::string bytes)
    {
        m_service.setServedBytes(number, std::move(bytes));
    }
    void setServiceDown(bool down);
    /// Makes the service respond to watches with \p head whatever is accepted, or with the accepted head for nullopt.
    void freezeServiceHead(std::optional<Head> head);

    // Faults.

    void kill(std::size_t node);
    /// Starts a new process without state on the host of \p node.
    void restart(std::size_t node);
    void pause(std::size_t node);
    void resume(std::size_t node);
    /// Drops messages between zones for which \p pathFilter returns false. The service is zone "service". Null: drops
    /// none.
    void setPathFilter(FakeNetwork::PathFilter pathFilter)
    {
        m_network.setPathFilter(std::move(pathFilter));
    }
    /// Drops all messages in flight and all waiting watches, as when every connection goes silent.
    void dropInFlightMessages();
    /// Drops this share of all datagrams.
    void setLoss(double share)
    {
        m_network.setLoss(share);
    }
    /// Marks a node as leaving in the host list.
    void setLeaving(std::size_t node);

    // Time and inspection.

    void run(Milliseconds span);
    /// Runs until every node in \p nodes has applied \p number or a later ticket; returns false after \p limit.
    bool runUntilApplied(TicketNumber number, const std::vector<std::size_t> &nodes, Milliseconds limit);
    [[nodiscard]] TimePoint now() const
    {
        return m_clock.now();
    }
    [[nodiscard]] std::size_t size() const
    {
        return m_nodes.size();
    }
    /// Nodes that are running and not paused.
    [[nodiscard]] std::vector<std::size_t> liveNodes() const;
    [[nodiscard]] std::vector<std::size_t> nodesInZone(const ZoneId &zone) const;
    [[nodiscard]] ZoneId zoneOf(std::size_t node) const;
    [[nodiscard]] HostId hostOf(std::size_t node) const;
    [[nodiscard]] const SpreadCore &core(std::size_t node) const;
    [[nodiscard]] StatePtr state(std::size_t node) const;
    [[nodiscard]] const TicketLog &log(std::size_t node) const;
    /// Time from the acceptance of \p number until \p node published it; nothing when it has not.
    [[nodiscard]] std::optional<Milliseconds> latency(std::size_t node, TicketNumber number) const;
    [[nodiscard]] const FleetBytes &bytes() const
    {
        return m_network.bytes();
    }
    [[nodiscard]] std::uint64_t serviceCalls() const
    {
        return m_service.calls();
    }
    /// Maximum number of calls to the service in any one second.
    [[nodiscard]] std::uint64_t peakServiceCalls() const
    {
        return m_service.peakCalls();
    }
    [[nodiscard]] std::uint64_t ticketFetchesAcrossRegions() const
    {
        return m_ticketFetchesAcrossRegions;
    }
    [[nodiscard]] const std::vector<std::string> &violations() const
    {
        return m_violations;
    }
    /// Passes an event to a node and performs the resulting actions.
    void deliver(std::size_t node, const SpreadEvent &event);
    /// Called for every datagram sent, if set.
    std::function<void(std::size_t from, const ControlMessage &)> onDatagram;

private:
    struct Node;
    struct PendingWatch;
    struct Job
    {
        TimePoint at;
        std::uint64_t order = 0;
        std::function<void()> work;
        bool operator>(const Job &other) const
        {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };

    void schedule(Duration delay, std::function<void()> work);
    /// Runs \p work after \p delay unless the process on \p node has ended or messages in flight were dropped
    /// meanwhile.
    void scheduleDelivery(std::size_t node, Duration delay, std::function<void()> work);
    void tick(std::size_t node, std::uint64_t process);
    void perform(std::size_t node, const SpreadAction &action);
    void execute(std::size_t from, const SendMessage &action);
    void execute(std::size_t from, const StartWatch &action);
    void execute(std::size_t from, const FetchTicket &action);
    void execute(std::size_t from, const FetchCheckpoint &action);
    void execute(std::size_t from, const SendPull &action);
    void execute(std::size_t from, const SendPullReply &action);
    void execute(std::size_t from, const PublishState &action);
    void execute(std::size_t, const ReadinessChanged &)
    {
    }
    void execute(std::size_t, const DigestConflictDetected &)
    {
    }
    void respondToWatch(const PendingWatch &watch);
    void respondToAllWatches();
    [[nodiscard]] HostList hostList() const;
    void startProcess(std::size_t node);
    void addViolation(std::size_t node, const std::string &description);

    FleetOptions m_options;
    ManualClock m_clock;
    Random m_random;
    FakeNetwork m_network;
    std::priority_queue<Job, std::vector<Job>, std::greater<>> m_jobs;
    std::uint64_t m_order = 0;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::map<HostId, std::size_t> m_byHost;
    FakeService m_service;
    std::vector<PendingWatch> m_pendingWatches;
    std::uint64_t m_deliveryEpoch = 0; ///< incremented whenever all messages in flight are dropped
    std::uint64_t m_ticketFetchesAcrossRegions = 0;
    std::vector<std::string> m_violations;
};

} // namespace jasminemast
