// The queue, the fake service and the checks of FakeFleet.
#include "fakefleet.h"

#include <algorithm>

namespace jasminemast
{

namespace
{

const ZoneId ServiceZone("service");
constexpr std::size_t DatagramOverhead = 28; ///< IP and UDP headers
constexpr std::size_t StreamOverhead = 40; ///< IP and TCP headers
constexpr std::size_t HttpOverhead = 300; ///< request and answer headers of one call to the service

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
    std::uint64_t process = 0; ///< counts the processes on this host
    std::unique_ptr<Random> random;
    std::unique_ptr<TicketLog> log;
    std::unique_ptr<TicketStore> store;
    std::unique_ptr<SpreadCore> core;
    TicketNumber highest; ///< highest number that this process has had in force
    std::optional<Head> seenHead; ///< head that the service last answered this process
    std::map<TicketNumber, TimePoint> inForceAt;
};

/// A watch that waits at the service.
struct FakeFleet::Waiting
{
    std::size_t node = 0;
    std::uint64_t process = 0;
    std::uint64_t epoch = 0;
    std::uint64_t id = 0;
    bool answered = false;
};

FakeFleet::FakeFleet(FleetOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
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
    node.highest = TicketNumber();
    node.seenHead.reset();
    node.inForceAt.clear();
    const auto seed = m_options.seed * 1'000'003 + index * 1009 + node.process;
    node.random = std::make_unique<Random>(seed);
    node.log = std::make_unique<TicketLog>();
    node.store = std::make_unique<TicketStore>(*node.log, m_clock);
    const auto incarnation = static_cast<std::uint64_t>(m_clock.now().time_since_epoch() / Milliseconds(1));
    SelfInfo self {node.entry.host, node.entry.zone, node.entry.region, Incarnation(incarnation)};
    node.core = std::make_unique<SpreadCore>(self, m_options.settings, *node.store, *node.random);
    deliver(index, HostListReceived {hostList()});
    const auto process = node.process;
    schedule(Milliseconds(m_random.below(50)), [this, index, process] { tick(index, process); });
}

void FakeFleet::schedule(Duration delay, std::function<void()> work)
{
    m_jobs.push(Job {m_clock.now() + delay, m_order++, std::move(work)});
}

void FakeFleet::scheduleFlow(std::size_t index, Duration delay, std::function<void()> work)
{
    const auto process = m_nodes[index]->process;
    const auto epoch = m_flowEpoch;
    schedule(delay, [this, index, process, epoch, work = std::move(work)] {
        const auto &node = *m_nodes[index];
        if (node.alive && node.process == process && epoch == m_flowEpoch) {
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
        // The kernel keeps what arrives until the process runs again.
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
        violation(index, "applied number went back");
    }
}

void FakeFleet::perform(std::size_t index, const SpreadAction &action)
{
    std::visit([this, index](const auto &concrete) { carry(index, concrete); }, action);
}

bool FakeFleet::passes(const ZoneId &from, const ZoneId &to) const
{
    return !m_path || m_path(from, to);
}

RegionId FakeFleet::regionOf(const ZoneId &zone) const
{
    return zone == ServiceZone ? m_options.settings.storeRegion : RegionId(zone.value().substr(0, 2));
}

Duration FakeFleet::delayBetween(const ZoneId &from, const ZoneId &to)
{
    auto delay = m_options.zoneDelay;
    if (regionOf(from) != regionOf(to)) {
        delay = m_options.paidDelay;
    } else if (from == ServiceZone || to == ServiceZone) {
        delay = m_options.serviceDelay;
    } else if (from != to) {
        delay = m_options.regionDelay;
    }
    return delay + Microseconds(m_random.below(static_cast<std::uint64_t>(delay.count() / 4 + 1)));
}

void FakeFleet::countBytes(const ZoneId &from, const ZoneId &to, std::size_t size, bool body)
{
    if (regionOf(from) != regionOf(to)) {
        m_bytes.paid += size;
        m_bytes.paidBodies += body ? size : 0;
    } else if (from != to) {
        m_bytes.betweenZones += size;
    } else {
        m_bytes.inZone += size;
    }
}

void FakeFleet::carry(std::size_t from, const SendMessage &action)
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
    countBytes(fromZone, toZone, bytes.size() + DatagramOverhead, false);
    if (!passes(fromZone, toZone) || m_random.unit() < m_loss) {
        return;
    }
    scheduleFlow(to, delayBetween(fromZone, toZone),
                 [this, to, bytes] { deliver(to, MessageReceived {decodeControlMessage(bytes)}); });
}

void FakeFleet::carry(std::size_t from, const SendPull &action)
{
    const auto to = m_byHost.at(action.to);
    const auto &fromZone = m_nodes[from]->entry.zone;
    const auto &toZone = m_nodes[to]->entry.zone;
    const auto bytes = encodePullRequest(action.request);
    countBytes(fromZone, toZone, bytes.size() + StreamOverhead, false);
    if (!passes(fromZone, toZone) || !passes(toZone, fromZone)) {
        return;
    }
    const auto delay = delayBetween(fromZone, toZone);
    if (!m_nodes[to]->alive) {
        scheduleFlow(from, 2 * delay, [this, from, id = action.request.id] { deliver(from, PullFailed {id}); });
        return;
    }
    const auto sender = m_nodes[from]->entry.host;
    scheduleFlow(to, delay, [this, to, sender, bytes] {
        deliver(to, PullRequested {sender, decodePullRequest(bytes)});
    });
}

void FakeFleet::carry(std::size_t from, const AnswerPull &action)
{
    const auto to = m_byHost.at(action.to);
    const auto &fromZone = m_nodes[from]->entry.zone;
    const auto &toZone = m_nodes[to]->entry.zone;
    const auto bytes = encodePullAnswer(action.answer);
    countBytes(fromZone, toZone, bytes.size() + StreamOverhead, !action.answer.tickets.empty());
    if (action.answer.id != 0 && action.answer.result == PullResult::Served) {
        const bool snapshot = !action.answer.snapshot.empty();
        scheduleFlow(from, Milliseconds(1), [this, from, snapshot] { deliver(from, AnswerSent {snapshot}); });
    }
    if (!passes(fromZone, toZone) || !passes(toZone, fromZone)) {
        return;
    }
    scheduleFlow(to, delayBetween(fromZone, toZone),
                 [this, to, bytes] { deliver(to, PullAnswered {decodePullAnswer(bytes)}); });
}

void FakeFleet::countServiceCall()
{
    ++m_serviceCalls;
    m_recentCalls.push_back(m_clock.now());
    while (m_clock.now() - m_recentCalls.front() >= std::chrono::seconds(1)) {
        m_recentCalls.pop_front();
    }
    m_peakServiceCalls = std::max<std::uint64_t>(m_peakServiceCalls, m_recentCalls.size());
}

void FakeFleet::carry(std::size_t from, const StartWatch &action)
{
    const auto &node = *m_nodes[from];
    countBytes(node.entry.zone, ServiceZone, HttpOverhead, false);
    if (!passes(node.entry.zone, ServiceZone)) {
        return;
    }
    const Waiting waiting {from, node.process, m_flowEpoch, action.id, false};
    const auto seen = node.seenHead;
    schedule(delayBetween(node.entry.zone, ServiceZone), [this, waiting, seen, wait = action.wait] {
        countServiceCall();
        if (waiting.epoch != m_flowEpoch) {
            return;
        }
        if (m_serviceDown || wait == Milliseconds(0) || !m_serviceHead || servedHead() != seen) {
            answerWatch(waiting);
            return;
        }
        m_watches.push_back(waiting);
        schedule(wait, [this, waiting] {
            for (auto &open : m_watches) {
                if (open.node == waiting.node && open.process == waiting.process && open.id == waiting.id
                    && !open.answered) {
                    open.answered = true;
                    answerWatch(open);
                }
            }
            std::erase_if(m_watches, [](const Waiting &open) { return open.answered; });
        });
    });
}

Head FakeFleet::servedHead() const
{
    return m_frozenHead ? *m_frozenHead : *m_serviceHead;
}

void FakeFleet::answerWatch(const Waiting &waiting)
{
    const auto index = waiting.node;
    auto &node = *m_nodes[index];
    if (waiting.epoch != m_flowEpoch || !passes(ServiceZone, node.entry.zone)) {
        return;
    }
    const auto delay = delayBetween(ServiceZone, node.entry.zone);
    if (m_serviceDown) {
        scheduleFlow(index, delay, [this, index, id = waiting.id] { deliver(index, WatchFailed {id}); });
        return;
    }
    std::optional<Head> head;
    if (m_serviceHead) {
        head = servedHead();
    }
    if (node.process != waiting.process) {
        return;
    }
    scheduleFlow(index, delay, [this, index, id = waiting.id, head] {
        m_nodes[index]->seenHead = head;
        deliver(index, WatchAnswered {id, head});
    });
}

void FakeFleet::wakeWatches()
{
    const auto watches = std::exchange(m_watches, {});
    for (const auto &waiting : watches) {
        answerWatch(waiting);
    }
}

void FakeFleet::carry(std::size_t from, const FetchTicket &action)
{
    const auto zone = m_nodes[from]->entry.zone;
    const auto number = action.number;
    if (!passes(zone, ServiceZone) || !passes(ServiceZone, zone)) {
        scheduleFlow(from, std::chrono::seconds(1),
                     [this, from, number] { deliver(from, TicketFetchFailed {number}); });
        return;
    }
    scheduleFlow(from, 2 * delayBetween(zone, ServiceZone), [this, from, zone, number] {
        countServiceCall();
        const bool absent = number.value() > m_chain.size() || m_unfiled.contains(number.value());
        if (m_serviceDown || absent) {
            deliver(from, TicketFetchFailed {number});
            return;
        }
        const auto served = m_servedBytes.find(number.value());
        const auto &bytes = served == m_servedBytes.end() ? m_chain.bytes(number.value()) : served->second;
        countBytes(ServiceZone, zone, bytes.size() + HttpOverhead, true);
        m_ticketsFetchedAway += regionOf(zone) != m_options.settings.storeRegion ? 1 : 0;
        deliver(from, TicketFetched {number, bytes});
    });
}

void FakeFleet::carry(std::size_t from, const FetchCheckpoint &)
{
    const auto zone = m_nodes[from]->entry.zone;
    scheduleFlow(from, 2 * delayBetween(zone, ServiceZone), [this, from] {
        countServiceCall();
        deliver(from, CheckpointFetchFailed {});
    });
}

void FakeFleet::carry(std::size_t from, const PublishState &action)
{
    auto &node = *m_nodes[from];
    const auto number = action.state->number;
    if (number <= node.highest) {
        violation(from,
                  "published " + std::to_string(number.value()) + " after " + std::to_string(node.highest.value()));
    }
    const auto expected = m_stateDigests.find(number);
    if (expected == m_stateDigests.end()) {
        violation(from, "published a ticket that was never accepted: " + std::to_string(number.value()));
    } else if (expected->second != action.state->stateDigest) {
        violation(from, "another state for ticket " + std::to_string(number.value()));
    }
    for (auto passed = node.highest.value() + 1; passed <= number.value(); ++passed) {
        node.inForceAt[TicketNumber(passed)] = m_clock.now();
    }
    node.highest = std::max(node.highest, number);
}

void FakeFleet::violation(std::size_t node, const std::string &what)
{
    m_violations.push_back(m_nodes[node]->entry.host.value() + ": " + what);
}

TicketNumber FakeFleet::accept()
{
    return acceptSections(slotsSection(m_chain.size() + 1));
}

TicketNumber FakeFleet::acceptSections(const std::string &sections)
{
    const auto head = m_chain.add(sections);
    m_expected = applyTicket(m_expected, head.number, m_chain.bytes(head.number.value())).state;
    m_stateDigests[head.number] = m_expected->stateDigest;
    setServiceHead(head);
    return head.number;
}

void FakeFleet::setServiceHead(const Head &head)
{
    m_acceptedAt.try_emplace(head.number, m_clock.now());
    m_serviceHead = head;
    if (!m_frozenHead && !m_serviceDown) {
        wakeWatches();
    }
}

void FakeFleet::setFiled(std::uint64_t number, bool filed)
{
    if (filed) {
        m_unfiled.erase(number);
    } else {
        m_unfiled.insert(number);
    }
}

void FakeFleet::setServedBytes(std::uint64_t number, std::string bytes)
{
    m_servedBytes[number] = std::move(bytes);
}

void FakeFleet::setServiceDown(bool down)
{
    m_serviceDown = down;
    if (down) {
        wakeWatches();
    }
}

void FakeFleet::freezeServiceHead(std::optional<Head> head)
{
    m_frozenHead = head;
    wakeWatches();
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

void FakeFleet::setPath(std::function<bool(const ZoneId &, const ZoneId &)> path)
{
    m_path = std::move(path);
}

void FakeFleet::silenceFlows()
{
    ++m_flowEpoch;
}

void FakeFleet::setLoss(double share)
{
    m_loss = share;
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

bool FakeFleet::runUntilInForce(TicketNumber number, const std::vector<std::size_t> &nodes, Milliseconds limit)
{
    constexpr Milliseconds Step {10};
    const auto inForce = [this, number](std::size_t node) {
        return state(node)->number >= number;
    };
    for (Milliseconds passed {0}; passed < limit; passed += Step) {
        if (std::all_of(nodes.begin(), nodes.end(), inForce)) {
            return true;
        }
        run(Step);
    }
    return std::all_of(nodes.begin(), nodes.end(), inForce);
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
    const auto inForce = m_nodes[node]->inForceAt.find(number);
    const auto accepted = m_acceptedAt.find(number);
    if (inForce == m_nodes[node]->inForceAt.end() || accepted == m_acceptedAt.end()) {
        return std::nullopt;
    }
    return std::chrono::ceil<Milliseconds>(inForce->second - accepted->second);
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
