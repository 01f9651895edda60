// Moves requests between simulated nodes and their registry.
#include "registryfleet.h"

#include <algorithm>

namespace jasminemast
{

using std::chrono_literals::operator""ms;

namespace
{

constexpr Milliseconds RegistryLatency {20};
constexpr Milliseconds PeerLatency {10};
constexpr Milliseconds ConnectTimeout {1'000};
constexpr Milliseconds ListTimeout {1'500};
constexpr Milliseconds WatchMargin {400};
constexpr Milliseconds PeerTimeout {1'000};

EndpointId targetId(std::size_t index)
{
    return EndpointId("t" + std::to_string(index));
}

PublishedConfiguration emptyConfiguration(TicketNumber number)
{
    PublishedConfiguration result;
    result.number = number;
    result.services = {ServiceId("s")};
    return result;
}

} // namespace

RegistryFleet::RegistryFleet(std::size_t nodes, std::size_t zones)
    : m_zones(zones)
    , m_nodes(nodes)
    , m_configuration(emptyConfiguration(m_number))
{
    for (std::size_t i = 0; i < nodes; ++i) {
        registerTarget(i);
        start(i);
    }
}

void RegistryFleet::start(std::size_t index)
{
    SimulatedNode &node = m_nodes.at(index);
    node.request.reset();
    node.server.reset();
    node.reads
        = std::make_unique<ReadSchedule>(RegistryPeer {HostId("10.0.0." + std::to_string(index)),
                                                       ZoneId("z" + std::to_string(index % m_zones)), RegionId("r")},
                                         [](const ZoneId &) { return RegionId("r"); });
    node.server = std::make_unique<SyncServer>(node.reads->follower());
    node.reads->start(m_now);
    node.nextAt = m_now;
    node.passedOnChanges = 0;
    node.passedOnListing = false;
}

void RegistryFleet::restart(std::size_t node)
{
    start(node);
}

void RegistryFleet::publish()
{
    publish(emptyConfiguration(TicketNumber(m_number.value() + 1)));
}

void RegistryFleet::publish(RegistryRecord configuration)
{
    if (const auto *published = std::get_if<PublishedConfiguration>(&configuration)) {
        m_number = published->number;
    }
    m_configuration = std::move(configuration);
    m_history.emplace_back(++m_revision, m_configuration);
}

void RegistryFleet::removeTarget(std::size_t index)
{
    if (m_targets.erase(targetId(index)) > 0) {
        ++m_revision;
        m_history.emplace_back(m_revision, TargetRemoved {targetId(index), Revision(m_revision)});
    }
}

void RegistryFleet::registerTarget(std::size_t index)
{
    RegisteredTarget target;
    target.id = targetId(index);
    target.service = ServiceId("s");
    target.zone = ZoneId("z" + std::to_string(index % m_zones));
    target.address = {"10.0.0." + std::to_string(index), 80};
    target.slots = 4;
    target.startedAt = 1'000;
    target.sequence = ++m_sequences[index];
    target.revision = Revision(++m_revision);
    m_targets[target.id] = target;
    m_history.emplace_back(m_revision, target);
}

void RegistryFleet::compact()
{
    m_oldestRevision = m_revision;
    m_history.clear();
}

bool RegistryFleet::isRegistered(std::size_t index) const
{
    return m_targets.contains(targetId(index));
}

bool RegistryFleet::usesTarget(std::size_t node, std::size_t index) const
{
    return reads(node).follower().targets().contains(targetId(index));
}

TicketNumber RegistryFleet::numberAt(std::size_t node) const
{
    const auto &known = reads(node).follower().configuration();
    return known ? known->number : TicketNumber(0);
}

const Period *RegistryFleet::findPeriod(const std::vector<Period> &periods, TimePoint time)
{
    const auto found
        = std::find_if(periods.begin(), periods.end(), [time](const Period &period) { return period.contains(time); });
    return found == periods.end() ? nullptr : &*found;
}

bool RegistryFleet::canReach(const SimulatedNode &node, const SimulatedNode &peer) const
{
    const auto isCutOff = [this](const SimulatedNode &end) {
        return std::any_of(end.cuts.begin(), end.cuts.end(),
                           [this](const Period &cut) { return !cut.isRegistryOnly && cut.contains(m_now); });
    };
    return !isCutOff(node) && !isCutOff(peer);
}

const Period *RegistryFleet::findTrouble(const SimulatedNode &node) const
{
    const Period *cut = findPeriod(node.cuts, m_now);
    return cut != nullptr ? cut : findPeriod(m_outages, m_now);
}

bool RegistryFleet::isStable(TimePoint time, Duration window) const
{
    return std::none_of(m_outages.begin(), m_outages.end(),
                        [&](const Period &period) { return period.from <= time && time < period.until + window; });
}

bool RegistryFleet::isInTouch(std::size_t node, Duration window) const
{
    const std::vector<Period> &cuts = m_nodes.at(node).cuts;
    return isStable(m_now, window) && std::none_of(cuts.begin(), cuts.end(), [&](const Period &period) {
               return period.from <= m_now && m_now < period.until + window;
           });
}

std::optional<std::size_t> RegistryFleet::indexOf(const HostId &host) const
{
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        if (host == HostId("10.0.0." + std::to_string(i))) {
            return i;
        }
    }
    return std::nullopt;
}

RegistryResponse RegistryFleet::listing() const
{
    RegistryResponse response;
    response.revision = Revision(m_revision);
    response.records.push_back(m_configuration);
    for (const auto &[id, target] : m_targets) {
        response.records.emplace_back(target);
    }
    return response;
}

RegistryResponse RegistryFleet::changesAfter(Revision revision) const
{
    RegistryResponse response;
    response.revision = Revision(m_revision);
    if (revision.number() < m_oldestRevision) {
        response.code = ResultCode::RegistryHistoryGone;
        return response;
    }
    for (const auto &[changedAt, record] : m_history) {
        if (changedAt > revision.number()) {
            response.records.push_back(record);
        }
    }
    return response;
}

void RegistryFleet::runUntil(TimePoint time)
{
    while (m_now < time) {
        step();
    }
}

void RegistryFleet::step()
{
    m_now += Step;
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        SimulatedNode &node = m_nodes[i];
        if (node.isLost) {
            continue;
        }
        node.reads->expire(m_now);
        passOn(i);
        deliver(i, node.server->expire(node.reads->confirmedAt(), m_now));
        if (node.request) {
            continueRequest(i);
        }
        if (!node.request && m_now >= node.nextAt) {
            startRequest(node);
        }
        passOn(i);
    }
}

void RegistryFleet::startRequest(SimulatedNode &node)
{
    ReadAction action = node.reads->next(m_now);
    if (const auto *wait = std::get_if<registryaction::Wait>(&action)) {
        node.nextAt = wait->until;
        return;
    }
    Request request;
    request.startedAt = m_now;
    request.id = ++m_lastRequestId;
    if (std::holds_alternative<readaction::AskPeer>(action)) {
        request.timeoutAt = m_now + PeerTimeout;
    } else {
        ++m_registryCalls;
        const auto *watch = std::get_if<registryaction::Watch>(&action);
        request.timeoutAt = m_now + (watch != nullptr ? watch->wait + WatchMargin : ListTimeout);
        const Period *trouble = findTrouble(node);
        if (trouble != nullptr && trouble->mode == FailureMode::Silent) {
            request.isLost = true;
            request.timeoutAt = std::min(request.timeoutAt, m_now + ConnectTimeout);
        }
    }
    request.action = std::move(action);
    node.request = std::move(request);
}

void RegistryFleet::continueRequest(std::size_t index)
{
    SimulatedNode &node = m_nodes[index];
    if (const auto *ask = std::get_if<readaction::AskPeer>(&node.request->action)) {
        const readaction::AskPeer copy = *ask;
        continueAsking(index, copy);
    } else {
        continueCall(node);
    }
}

void RegistryFleet::continueCall(SimulatedNode &node)
{
    Request &request = *node.request;
    if (const Period *trouble = findTrouble(node)) {
        if (trouble->mode == FailureMode::Reset) {
            failCall(node);
            return;
        }
        request.isLost = true;
    }
    if (request.isLost) {
        if (m_now >= request.timeoutAt) {
            failCall(node);
        }
        return;
    }
    if (m_now < request.startedAt + RegistryLatency) {
        return;
    }
    const auto *watch = std::get_if<registryaction::Watch>(&request.action);
    if (watch == nullptr) {
        endCall(node, listing());
    } else if (watch->revision < Revision(m_revision) || m_now >= request.startedAt + watch->wait) {
        endCall(node, changesAfter(watch->revision));
    }
}

void RegistryFleet::failCall(SimulatedNode &node)
{
    RegistryResponse response;
    response.code = ResultCode::RegistryUnreachable;
    endCall(node, std::move(response));
}

void RegistryFleet::endCall(SimulatedNode &node, RegistryResponse response)
{
    const bool isDiscovery = std::holds_alternative<readaction::DiscoverPeers>(node.request->action);
    node.request.reset();
    node.nextAt = m_now;
    if (isDiscovery) {
        node.reads->onDiscovered(std::move(response), m_now);
    } else {
        node.reads->onResponse(std::move(response), m_now);
    }
}

void RegistryFleet::continueAsking(std::size_t index, const readaction::AskPeer &ask)
{
    SimulatedNode &node = m_nodes[index];
    Request &request = *node.request;
    if (m_now >= request.timeoutAt) {
        endAsking(node, std::nullopt);
        return;
    }
    if (m_now >= ask.giveUpAt) {
        node.request.reset();
        node.nextAt = m_now;
        return;
    }
    if (request.isSent || request.isLost || m_now < request.startedAt + PeerLatency) {
        return;
    }
    const auto peer = indexOf(ask.host);
    if (!peer || m_nodes[*peer].isLost || !canReach(node, m_nodes[*peer])) {
        request.isLost = true;
        return;
    }
    request.isSent = true;
    SyncRequest sent = ask.request;
    sent.id = request.id;
    SimulatedNode &asked = m_nodes[*peer];
    deliver(*peer, asked.server->onRequest({&node, sent.id}, sent, asked.reads->confirmedAt(), m_now));
}

void RegistryFleet::endAsking(SimulatedNode &node, const std::optional<SyncReply> &reply)
{
    const HostId host = std::get<readaction::AskPeer>(node.request->action).host;
    node.request.reset();
    node.nextAt = m_now;
    node.reads->onPeerReply(host, reply, m_now);
}

void RegistryFleet::passOn(std::size_t index)
{
    SimulatedNode &node = m_nodes[index];
    RegistryFollower &follower = node.reads->follower();
    if (follower.changes() == node.passedOnChanges && follower.isListed() == node.passedOnListing) {
        return;
    }
    node.passedOnChanges = follower.changes();
    node.passedOnListing = follower.isListed();
    deliver(index, node.server->onChange(follower.takeChangedTargets(), node.reads->confirmedAt(), m_now));
}

void RegistryFleet::deliver(std::size_t from, const SyncServer::Replies &replies)
{
    for (const auto &[client, reply] : replies) {
        for (SimulatedNode &node : m_nodes) {
            const bool isAwaited = node.request && node.request->isSent && node.request->id == client.second;
            if (!isAwaited || node.isLost) {
                continue;
            }
            if (!canReach(node, m_nodes[from])) {
                node.request->isLost = true;
                continue;
            }
            endAsking(node, reply);
        }
    }
}

} // namespace jasminemast
