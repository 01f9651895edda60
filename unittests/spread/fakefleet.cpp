// Processes, delayed messages and checks of FakeFleet.
#include "fakefleet.h"

#include <algorithm>

namespace jasminemast
{

namespace
{

constexpr std::size_t DatagramOverhead = 28; ///< IP and UDP headers
constexpr std::size_t StreamOverhead = 40; ///< IP and TCP headers
constexpr std::size_t HttpOverhead = 300; ///< request and response headers of one call to the service

} // namespace

SpreadSettings testSettings()
{
    SpreadSettings settings;
    settings.storeRegion = RegionId("r0");
    return settings;
}

/// One host and the process on it.
struct FakeFleet::Node
{
    HostEntry entry;
    bool alive = false;
    bool paused = false;
    std::uint64_t process = 0; ///< counts the processes started on this host
    std::unique_ptr<Random> random;
    std::unique_ptr<TicketLog> log;
    std::unique_ptr<TicketStore> store;
    std::unique_ptr<SpreadCore> core;
    TicketNumber highestPublished; ///< highest number that this process has published
    std::optional<Head> lastSeenHead; ///< last head that this process received from the service
    std::map<TicketNumber, TimePoint> publishedAt;
};

/// A watch that waits for a new head at the service.
struct FakeFleet::PendingWatch
{
    std::size_t node = 0;
    std::uint64_t process = 0;
    std::uint64_t epoch = 0;
    std::uint64_t id = 0;
    bool responded = false;
};

FakeFleet::FakeFleet(FleetOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_network(m_options.delays, m_options.settings.storeRegion, m_random)
{
    for (unsigned region = 0; region < m_options.regions; ++region) {
        for (unsigned zone = 0; zone < m_options.zonesPerRegion; ++zone) {
            for (unsigned host = 0; host < m_options.nodesPerZone; ++host) {
                auto node = std::make_unique<Node>();
                const auto regionName = "r" + std::to_string(region);
                const auto zoneName = regionName + "z" + std::to_string(zone);
                node->entry.region = RegionId(regionName);
                node->entry.zone = ZoneId(zoneName);
                node->entry.host = HostId(zoneName + "h" + std::to_string(host));
                m_byHost[node->entry.host] = m_nodes.size();
                m_nodes.push_back(std::move(node));
            }
        }
    }
    for (std::size_t node = 0; node < m_nodes.size(); ++node) {
        startProcess(node);
    }
}

FakeFleet::~FakeFleet() = default;

void FakeFleet::startProcess(std::size_t index)
{
    auto &node = *m_nodes[index];
    node.alive = true;
    node.paused = false;
    ++node.process;
    node.highestPublished = TicketNumber();
    node.lastSeenHead.reset();
    node.publishedAt.clear();
    const auto seed = m_options.seed * 1'000'003 + index * 1009 + node.process;
    node.random = std::make_unique<Random>(seed);
    node.log = std::make_unique<TicketLog>();
    node.store = std::make_unique<TicketStore>(*node.log, m_clock);
    const auto incarnation = static_cast<std::uint64_t>(m_clock.now().time_since_epoch() / Milliseconds(1));
    NodeIdentity self {node.entry.host, node.entry.zone, node.entry.region, Incarnation(incarnation)};
    node.core = std::make_unique<SpreadCore>(self, m_options.settings, *node.store, *node.random);
    deliver(index, HostListReceived {hostList()});
    const auto process = node.process;
    schedule(Milliseconds(m_random.nextBelow(50)), [this, index, process] { tick(index, process); });
}

void FakeFleet::schedule(Duration delay, std::function<void()> work)
{
    m_jobs.push(Job {m_clock.now() + delay, m_order++, std::move(work)});
}

void FakeFleet::scheduleDelivery(std::size_t index, Duration delay, std::function<void()> work)
{
    const auto process = m_nodes[index]->process;
    const auto epoch = m_deliveryEpoch;
    schedule(delay, [this, index, process, epoch, work = std::move(work)] {
        const auto &node = *m_nodes[index];
        if (node.alive && node.process == process && epoch == m_deliveryEpoch) {
            work();
        }
    });
}

void FakeFleet::tick(std::size_t index, std::uint64_t process)
{
    const auto &node = *m_nodes[index];
    if (!node.alive || node.process != process || node.paused) {
        return;
    }
    deliver(index, Tick {});
    schedule(SpreadCore::TickInterval, [this, index, process] { tick(index, process); });
}

void FakeFleet::deliver(std::size_t index, const SpreadEvent &event)
{
    auto &node = *m_nodes[index];
    if (!node.alive) {
        return;
    }
    if (node.paused) {
        // The kernel buffers received data until the process runs again.
        const auto process = node.process;
        schedule(Milliseconds(20), [this, index, process, event] {
            if (m_nodes[index]->process == process) {
                deliver(index, event);
            }
        });
        return;
    }
    const auto before = node.log->state()->number;
    for (const auto &action : node.core->handle(event, m_clock.now())) {
        perform(index, action);
    }
    if (node.log->state()->number < before) {
        addViolation(index, "applied number decreased");
    }
}

void FakeFleet::perform(std::size_t index, const SpreadAction &action)
{
    std::visit([this, index](const auto &concrete) { execute(index, concrete); }, action);
}

void FakeFleet::execute(std::size_t from, const SendMessage &action)
{
    if (onDatagram) {
        onDatagram(from, action.message);
    }
    const auto found = m_byHost.find(action.to);
    if (found == m_byHost.end()) {
        return;
    }
    const auto to = found->second;
    const auto &fromZone = m_nodes[from]->entry.zone;
    const auto &toZone = m_nodes[to]->entry.zone;
    const auto bytes = encodeControlMessage(action.message);
    m_network.count(fromZone, toZone, bytes.size() + DatagramOverhead, false);
    if (!m_network.isOpen(fromZone, toZone) || m_network.dropsDatagram()) {
        return;
    }
    scheduleDelivery(to, m_network.delay(fromZone, toZone),
                     [this, to, bytes] { deliver(to, MessageReceived {decodeControlMessage(bytes)}); });
}

void FakeFleet::execute(std::size_t from, const SendPull &action)
{
    const auto to = m_byHost.at(action.to);
    const auto &fromZone = m_nodes[from]->entry.zone;
    const auto &toZone = m_nodes[to]->entry.zone;
    const auto bytes = encodePullRequest(action.request);
    m_network.count(fromZone, toZone, bytes.size() + StreamOverhead, false);
    if (!m_network.isOpen(fromZone, toZone) || !m_network.isOpen(toZone, fromZone)) {
        return;
    }
    const auto delay = m_network.delay(fromZone, toZone);
    if (!m_nodes[to]->alive) {
        scheduleDelivery(from, 2 * delay, [this, from, id = action.request.id] { deliver(from, PullFailed {id}); });
        return;
    }
    const auto sender = m_nodes[from]->entry.host;
    scheduleDelivery(to, delay, [this, to, sender, bytes] {
        deliver(to, PullRequested {sender, decodePullRequest(bytes)});
    });
}

void FakeFleet::execute(std::size_t from, const SendPullReply &action)
{
    const auto to = m_byHost.at(action.to);
    const auto &fromZone = m_nodes[from]->entry.zone;
    const auto &toZone = m_nodes[to]->entry.zone;
    const auto bytes = encodePullReply(action.reply);
    m_network.count(fromZone, toZone, bytes.size() + StreamOverhead, !action.reply.tickets.empty());
    if (action.reply.id != 0 && action.reply.result == PullResult::Served) {
        const bool snapshot = !action.reply.snapshot.empty();
        scheduleDelivery(from, Milliseconds(1), [this, from, snapshot] { deliver(from, PullReplySent {snapshot}); });
    }
    if (!m_network.isOpen(fromZone, toZone) || !m_network.isOpen(toZone, fromZone)) {
        return;
    }
    scheduleDelivery(to, m_network.delay(fromZone, toZone),
                     [this, to, bytes] { deliver(to, PullReplyReceived {decodePullReply(bytes)}); });
}

void FakeFleet::execute(std::size_t from, const StartWatch &action)
{
    const auto &node = *m_nodes[from];
    m_network.count(node.entry.zone, FakeNetwork::serviceZone(), HttpOverhead, false);
    if (!m_network.isOpen(node.entry.zone, FakeNetwork::serviceZone())) {
        return;
    }
    const PendingWatch watch {from, node.process, m_deliveryEpoch, action.id, false};
    const auto lastSeenHead = node.lastSeenHead;
    schedule(m_network.delay(node.entry.zone, FakeNetwork::serviceZone()),
             [this, watch, lastSeenHead, wait = action.wait] {
                 m_service.countCall(m_clock.now());
                 if (watch.epoch != m_deliveryEpoch) {
                     return;
                 }
                 const auto head = m_service.head();
                 if (m_service.isDown() || wait == Milliseconds(0) || !head || head != lastSeenHead) {
                     respondToWatch(watch);
                     return;
                 }
                 m_pendingWatches.push_back(watch);
                 schedule(wait, [this, watch] {
                     for (auto &pending : m_pendingWatches) {
                         if (pending.node == watch.node && pending.process == watch.process && pending.id == watch.id
                             && !pending.responded) {
                             pending.responded = true;
                             respondToWatch(pending);
                         }
                     }
                     std::erase_if(m_pendingWatches, [](const PendingWatch &pending) { return pending.responded; });
                 });
             });
}

void FakeFleet::respondToWatch(const PendingWatch &watch)
{
    const auto index = watch.node;
    auto &node = *m_nodes[index];
    if (watch.epoch != m_deliveryEpoch || !m_network.isOpen(FakeNetwork::serviceZone(), node.entry.zone)) {
        return;
    }
    const auto delay = m_network.delay(FakeNetwork::serviceZone(), node.entry.zone);
    if (m_service.isDown()) {
        scheduleDelivery(index, delay, [this, index, id = watch.id] { deliver(index, WatchFailed {id}); });
        return;
    }
    if (node.process != watch.process) {
        return;
    }
    scheduleDelivery(index, delay, [this, index, id = watch.id, head = m_service.head()] {
        m_nodes[index]->lastSeenHead = head;
        deliver(index, WatchCompleted {id, head});
    });
}

void FakeFleet::respondToAllWatches()
{
    const auto watches = std::exchange(m_pendingWatches, {});
    for (const auto &watch : watches) {
        respondToWatch(watch);
    }
}

void FakeFleet::execute(std::size_t from, const FetchTicket &action)
{
    const auto zone = m_nodes[from]->entry.zone;
    const auto number = action.number;
    if (!m_network.isOpen(zone, FakeNetwork::serviceZone()) || !m_network.isOpen(FakeNetwork::serviceZone(), zone)) {
        scheduleDelivery(from, std::chrono::seconds(1),
                         [this, from, number] { deliver(from, TicketFetchFailed {number}); });
        return;
    }
    scheduleDelivery(from, 2 * m_network.delay(zone, FakeNetwork::serviceZone()), [this, from, zone, number] {
        m_service.countCall(m_clock.now());
        const auto bytes = m_service.ticket(number);
        if (!bytes) {
            deliver(from, TicketFetchFailed {number});
            return;
        }
        m_network.count(FakeNetwork::serviceZone(), zone, bytes->size() + HttpOverhead, true);
        m_ticketFetchesAcrossRegions += m_network.regionOf(zone) != m_options.settings.storeRegion ? 1 : 0;
        deliver(from, TicketFetched {number, *bytes});
    });
}

void FakeFleet::execute(std::size_t from, const FetchCheckpoint &)
{
    const auto zone = m_nodes[from]->entry.zone;
    scheduleDelivery(from, 2 * m_network.delay(zone, FakeNetwork::serviceZone()), [this, from] {
        m_service.countCall(m_clock.now());
        deliver(from, CheckpointFetchFailed {});
    });
}

void FakeFleet::execute(std::size_t from, const PublishState &action)
{
    auto &node = *m_nodes[from];
    const auto number = action.state->number;
    if (number <= node.highestPublished) {
        addViolation(from,
                     "published " + std::to_string(number.value()) + " after "
                         + std::to_string(node.highestPublished.value()));
    }
    const auto expected = m_service.stateDigest(number);
    if (!expected) {
        addViolation(from, "published a ticket that was never accepted: " + std::to_string(number.value()));
    } else if (*expected != action.state->stateDigest) {
        addViolation(from, "wrong state digest after ticket " + std::to_string(number.value()));
    }
    for (auto passed = node.highestPublished.value() + 1; passed <= number.value(); ++passed) {
        node.publishedAt[TicketNumber(passed)] = m_clock.now();
    }
    node.highestPublished = std::max(node.highestPublished, number);
}

void FakeFleet::addViolation(std::size_t node, const std::string &description)
{
    m_violations.push_back(m_nodes[node]->entry.host.value() + ": " + description);
}

TicketNumber FakeFleet::accept()
{
    return acceptSections(slotsSection(m_service.chain().size() + 1));
}

TicketNumber FakeFleet::acceptSections(const std::string &sections)
{
    const auto head = m_service.accept(sections);
    setServiceHead(head);
    return head.number;
}

void FakeFleet::setServiceHead(const Head &head)
{
    m_service.setHead(head, m_clock.now());
    if (m_service.showsNewHead()) {
        respondToAllWatches();
    }
}

void FakeFleet::setServiceDown(bool down)
{
    m_service.setDown(down);
    if (down) {
        respondToAllWatches();
    }
}

void FakeFleet::freezeServiceHead(std::optional<Head> head)
{
    m_service.freezeHead(std::move(head));
    respondToAllWatches();
}

void FakeFleet::kill(std::size_t node)
{
    m_nodes[node]->alive = false;
}

void FakeFleet::restart(std::size_t node)
{
    startProcess(node);
}

void FakeFleet::pause(std::size_t node)
{
    m_nodes[node]->paused = true;
}

void FakeFleet::resume(std::size_t index)
{
    auto &node = *m_nodes[index];
    if (!node.paused) {
        return;
    }
    node.paused = false;
    tick(index, node.process);
}

void FakeFleet::dropInFlightMessages()
{
    ++m_deliveryEpoch;
}

void FakeFleet::setLeaving(std::size_t index)
{
    m_nodes[index]->entry.leaving = true;
    for (std::size_t node = 0; node < m_nodes.size(); ++node) {
        deliver(node, HostListReceived {hostList()});
    }
}

void FakeFleet::run(Milliseconds span)
{
    const auto end = m_clock.now() + span;
    while (!m_jobs.empty() && m_jobs.top().at <= end) {
        const auto job = m_jobs.top();
        m_jobs.pop();
        m_clock.advance(job.at - m_clock.now());
        job.work();
    }
    m_clock.advance(end - m_clock.now());
}

bool FakeFleet::runUntilApplied(TicketNumber number, const std::vector<std::size_t> &nodes, Milliseconds limit)
{
    constexpr Milliseconds Step {10};
    const auto hasApplied = [this, number](std::size_t node) {
        return state(node)->number >= number;
    };
    for (Milliseconds passed {0}; passed < limit; passed += Step) {
        if (std::all_of(nodes.begin(), nodes.end(), hasApplied)) {
            return true;
        }
        run(Step);
    }
    return std::all_of(nodes.begin(), nodes.end(), hasApplied);
}

std::vector<std::size_t> FakeFleet::liveNodes() const
{
    std::vector<std::size_t> live;
    for (std::size_t node = 0; node < m_nodes.size(); ++node) {
        if (m_nodes[node]->alive && !m_nodes[node]->paused) {
            live.push_back(node);
        }
    }
    return live;
}

std::vector<std::size_t> FakeFleet::nodesInZone(const ZoneId &zone) const
{
    std::vector<std::size_t> nodes;
    for (std::size_t node = 0; node < m_nodes.size(); ++node) {
        if (m_nodes[node]->entry.zone == zone) {
            nodes.push_back(node);
        }
    }
    return nodes;
}

ZoneId FakeFleet::zoneOf(std::size_t node) const
{
    return m_nodes[node]->entry.zone;
}

HostId FakeFleet::hostOf(std::size_t node) const
{
    return m_nodes[node]->entry.host;
}

const SpreadCore &FakeFleet::core(std::size_t node) const
{
    return *m_nodes[node]->core;
}

StatePtr FakeFleet::state(std::size_t node) const
{
    return m_nodes[node]->log->state();
}

const TicketLog &FakeFleet::log(std::size_t node) const
{
    return *m_nodes[node]->log;
}

std::optional<Milliseconds> FakeFleet::latency(std::size_t node, TicketNumber number) const
{
    const auto published = m_nodes[node]->publishedAt.find(number);
    const auto accepted = m_service.acceptedAt(number);
    if (published == m_nodes[node]->publishedAt.end() || !accepted) {
        return std::nullopt;
    }
    return std::chrono::ceil<Milliseconds>(published->second - *accepted);
}

HostList FakeFleet::hostList() const
{
    std::vector<HostEntry> entries;
    entries.reserve(m_nodes.size());
    for (const auto &node : m_nodes) {
        entries.push_back(node->entry);
    }
    return HostList(entries);
}

} // namespace jasminemast
