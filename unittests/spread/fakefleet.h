// Tens of spreading cores on a test clock, wired to a queue of delayed messages and to a fake configuration service.
//
// Checks promise 1 and the digests of every state as it goes: a violation is kept in violations().
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

/// The settings that the fleets of tests run with: region r0 holds the store.
SpreadSettings testSettings();

class FakeFleet
{
public:
    explicit FakeFleet(FleetOptions options);
    ~FakeFleet();

    // Operators and service.

    /// Files and accepts a good ticket; returns its number.
    TicketNumber accept();
    /// Files and accepts a ticket of \p sections.
    TicketNumber acceptSections(const std::string &sections);
    /// Sets the service's head without regard to the chain.
    void setServiceHead(const Head &head);
    TicketChain &chain()
    {
        return m_service.chain();
    }
    /// Files a ticket again that was removed, or removes it.
    void setFiled(std::uint64_t number, bool filed)
    {
        m_service.setFiled(number, filed);
    }
    /// Lets the service hand out \p bytes for ticket \p number.
    void setServedBytes(std::uint64_t number, std::string bytes)
    {
        m_service.setServedBytes(number, std::move(bytes));
    }
    void setServiceDown(bool down);
    /// Answers watches with this head, whatever is accepted; nothing ends that.
    void freezeServiceHead(std::optional<Head> head);

    // Faults.

    void kill(std::size_t node);
    /// A new process without memory on the host of a dead node.
    void restart(std::size_t node);
    void pause(std::size_t node);
    void resume(std::size_t node);
    /// Decides whether a message gets from one zone to another; the service is zone "service". Null: all do.
    void setPath(FakeNetwork::Path path)
    {
        m_network.setPath(std::move(path));
    }
    /// Loses everything that is under way, as flows that went silent for good.
    void silenceFlows();
    /// Drops this share of all datagrams.
    void setLoss(double share)
    {
        m_network.setLoss(share);
    }
    /// Marks a node as leaving in the host list, or takes it off the list.
    void setLeaving(std::size_t node);

    // Time and view.

    void run(Milliseconds span);
    /// Runs until every node in \p nodes has a state of \p number or later; false after \p limit.
    bool runUntilInForce(TicketNumber number, const std::vector<std::size_t> &nodes, Milliseconds limit);
    [[nodiscard]] TimePoint now() const
    {
        return m_clock.now();
    }
    [[nodiscard]] std::size_t size() const
    {
        return m_nodes.size();
    }
    [[nodiscard]] std::vector<std::size_t> liveNodes() const;
    [[nodiscard]] std::vector<std::size_t> nodesInZone(const ZoneId &zone) const;
    [[nodiscard]] ZoneId zoneOf(std::size_t node) const;
    [[nodiscard]] HostId hostOf(std::size_t node) const;
    [[nodiscard]] const SpreadCore &core(std::size_t node) const;
    [[nodiscard]] StatePtr state(std::size_t node) const;
    [[nodiscard]] const TicketLog &log(std::size_t node) const;
    /// Time from acceptance of \p number until \p node had it in force; nothing when it has not.
    [[nodiscard]] std::optional<Milliseconds> latency(std::size_t node, TicketNumber number) const;
    [[nodiscard]] const FleetBytes &bytes() const
    {
        return m_network.bytes();
    }
    [[nodiscard]] std::uint64_t serviceCalls() const
    {
        return m_service.calls();
    }
    /// The most calls that the service has had in any one second.
    [[nodiscard]] std::uint64_t peakServiceCalls() const
    {
        return m_service.peakCalls();
    }
    [[nodiscard]] std::uint64_t ticketsFetchedAway() const
    {
        return m_ticketsFetchedAway;
    }
    [[nodiscard]] const std::vector<std::string> &violations() const
    {
        return m_violations;
    }
    /// Feeds one event to a node, as its tasks would.
    void deliver(std::size_t node, const SpreadEvent &event);
    /// Calls on every datagram instead of counting it; tests of bytes use the default.
    std::function<void(std::size_t from, const ControlMessage &)> onDatagram;

private:
    struct Node;
    struct Waiting;
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
    /// Runs \p work after \p delay unless the process on \p node has died or flows went silent meanwhile.
    void scheduleFlow(std::size_t node, Duration delay, std::function<void()> work);
    void tick(std::size_t node, std::uint64_t process);
    void perform(std::size_t node, const SpreadAction &action);
    void carry(std::size_t from, const SendMessage &action);
    void carry(std::size_t from, const StartWatch &action);
    void carry(std::size_t from, const FetchTicket &action);
    void carry(std::size_t from, const FetchCheckpoint &action);
    void carry(std::size_t from, const SendPull &action);
    void carry(std::size_t from, const SendPullReply &action);
    void carry(std::size_t from, const PublishState &action);
    void carry(std::size_t, const ReadinessChanged &)
    {
    }
    void carry(std::size_t, const DigestConflictDetected &)
    {
    }
    void answerWatch(const Waiting &waiting);
    void wakeWatches();
    [[nodiscard]] HostList hostList() const;
    void startProcess(std::size_t node);
    void violation(std::size_t node, const std::string &what);

    FleetOptions m_options;
    ManualClock m_clock;
    Random m_random;
    FakeNetwork m_network;
    std::priority_queue<Job, std::vector<Job>, std::greater<>> m_jobs;
    std::uint64_t m_order = 0;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::map<HostId, std::size_t> m_byHost;
    FakeService m_service;
    std::vector<Waiting> m_watches;
    std::uint64_t m_flowEpoch = 0;
    std::uint64_t m_ticketsFetchedAway = 0;
    std::vector<std::string> m_violations;
};

} // namespace jasminemast
