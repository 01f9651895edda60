// Reads the registry and publishes each change as a new immutable state.
#include "jasminemast/node/registrytask.h"

#include "jasminemast/support/events.h"

#include <algorithm>

namespace jasminemast
{

namespace
{

constexpr std::size_t MaxLogbookEntries = 1'000; // fits into one response of /v1/tickets
/// How often removed targets are checked for expiry; short compared with their grace period.
constexpr Milliseconds ExpiryInterval {250};
/// How long a peer may wait for changes, and when a reply is overdue.
constexpr Milliseconds PeerWait {500};
constexpr Milliseconds PeerTimeout {1'000};
/// Delay after a reply that came early and held nothing new.
constexpr Milliseconds PeerRepeatDelay {250};
/// Age from which records are read at another node. A reader confirms them about every 1.4 s.
constexpr Milliseconds MaxPeerAge {1'900};
/// The first nodes of a zone turn to the registry before the others, who can then read at them.
constexpr Milliseconds AgePerRank {100};
constexpr std::size_t MaxAgeRanks = 4;
/// How often a node whose own target has not registered looks for peers.
constexpr Milliseconds DiscoveryInterval {400};
constexpr Milliseconds FailedPeerExclusion {1'000};
constexpr Milliseconds OldPeerExclusion {100};
/// During a long outage of the registry peers are asked less often.
constexpr Milliseconds OutageAge {4'000};
constexpr Milliseconds OutagePeerExclusion {300};

RegionId regionOf(const NodeSettings &settings, const ZoneId &zone)
{
    const auto region = settings.registry.regions.find(zone);
    return region == settings.registry.regions.end() ? RegionId() : region->second;
}

} // namespace

RegistryTask::RegistryTask(const ControlContext &context, SourceFactory makeSource)
    : m_clock(context.clock)
    , m_settings(context.settings)
    , m_metrics(context.metrics)
    , m_makeSource(std::move(makeSource))
    , m_address(context.settings.registry.address)
    , m_source(m_makeSource(m_address))
    , m_upstreams({context.settings.self.host, context.settings.self.zone,
                   regionOf(context.settings, context.settings.self.zone)})
    , m_peers(context.loop, context.clock, context.links, m_follower, [this] { return m_confirmedAt; })
    , m_logbook(MaxLogbookEntries)
    , m_waiters(context.loop, context.clock)
    , m_nextRequestTimer(context.loop, [this] { onNextRequestTimer(); })
    , m_expiryTimer(context.loop,
                    [this] {
                        m_follower.expire(m_clock.now());
                        passOn();
                        publish();
                    })
    , m_state(emptyState())
{
}

void RegistryTask::start()
{
    m_confirmedAt = m_clock.now();
    m_expiryTimer.startRepeating(ExpiryInterval);
    startNextRequest();
}

void RegistryTask::beginDrain()
{
    m_draining = true;
    m_peers.beginDrain();
}

void RegistryTask::onSettings()
{
    if (m_settings.registry.address == m_address) {
        return;
    }
    m_address = m_settings.registry.address;
    m_source = m_makeSource(m_address);
    m_peers.cancel();
    m_requestPending = false;
    m_follower.refresh(m_clock.now());
    startNextRequest();
}

void RegistryTask::onPause()
{
    // The connection of a watch in progress may have broken during the pause; the next watch begins at the same
    // revision.
    m_source->cancel();
    m_peers.cancel();
    m_requestPending = false;
    m_confirmedAt = m_clock.now() - maxAge();
    startNextRequest();
}

void RegistryTask::observeTicket(const HostId & /*peer*/, TicketNumber /*number*/)
{
    // A pending request to a peer or the registry reports every configuration.
}

void RegistryTask::onFrame(const std::shared_ptr<Link> &link, ControlFrame type, std::string_view payload)
{
    m_peers.onFrame(link, type, payload);
}

void RegistryTask::onLinkDown(const std::shared_ptr<Link> &link)
{
    m_peers.onLinkDown(link);
}

void RegistryTask::whenReached(TicketNumber number, TimePoint deadline, std::function<void(bool)> done)
{
    if (number <= m_state->number) {
        done(true);
        return;
    }
    m_waiters.add(number, deadline, std::move(done));
}

const HostView *RegistryTask::findHost(const HostId &host) const
{
    const auto found = m_hosts.find(host);
    return found == m_hosts.end() ? nullptr : &found->second;
}

Readiness RegistryTask::readiness() const
{
    const bool hasConfiguration = m_follower.isListed() && m_follower.configuration() != nullptr;
    return hasConfiguration && !m_draining ? Readiness::Ready : Readiness::Joining;
}

nlohmann::json RegistryTask::upstream(TimePoint now) const
{
    auto candidates = nlohmann::json::array();
    for (const HostId &host : m_upstreams.candidates()) {
        candidates.push_back(host.value());
    }
    return {{"readsAt", m_upstream ? m_upstream->value() : "registry"},
            {"candidates", std::move(candidates)},
            {"rank", m_upstreams.rank()},
            {"ageMs", std::chrono::duration_cast<Milliseconds>(recordsAge(now)).count()}};
}

nlohmann::json RegistryTask::zones(TimePoint /*now*/) const
{
    // Nodes with a registry do not exchange their status.
    return nlohmann::json::array();
}

Duration RegistryTask::maxAge() const
{
    return MaxPeerAge + AgePerRank * std::min(m_upstreams.rank(), MaxAgeRanks);
}

bool RegistryTask::areRecordsOld(TimePoint now) const
{
    return now - m_confirmedAt >= maxAge();
}

void RegistryTask::startNextRequest()
{
    if (m_requestPending) {
        return;
    }
    const TimePoint now = m_clock.now();
    m_follower.setStandby(!m_upstreams.candidates().empty());
    const RegistryAction action = m_follower.next(now);
    const auto *wait = std::get_if<registryaction::Wait>(&action);
    if (wait == nullptr && areRecordsOld(now)) {
        requestFromRegistry(action);
        return;
    }
    if (const auto host = m_upstreams.choose(now)) {
        requestFromPeer(*host);
        return;
    }
    const auto fallback = wait != nullptr && areRecordsOld(now) ? m_upstreams.chooseFallback(now) : std::nullopt;
    if (fallback) {
        requestFromPeer(*fallback);
        return;
    }
    if (wait != nullptr) {
        m_nextRequestTimer.start(std::min(wait->until, m_upstreams.nextAvailable(now)) - now);
        return;
    }
    if (!m_isDiscovering) {
        requestFromRegistry(action);
    } else if (now < m_discoverAt) {
        m_nextRequestTimer.start(std::min(m_discoverAt, m_upstreams.nextAvailable(now)) - now);
    } else {
        discoverPeers();
    }
}

void RegistryTask::onNextRequestTimer()
{
    const TimePoint now = m_clock.now();
    const RegistryAction action = m_follower.next(now);
    if (m_requestPending && m_isPeerRequest) {
        if (const auto *wait = std::get_if<registryaction::Wait>(&action)) {
            m_nextRequestTimer.start(wait->until - now);
            return;
        }
        m_peers.cancel();
        m_requestPending = false;
    }
    startNextRequest();
}

void RegistryTask::setUpstream(const std::optional<HostId> &host)
{
    if (host == m_upstream) {
        return;
    }
    m_upstream = host;
    const auto age = std::chrono::duration_cast<Milliseconds>(m_clock.now() - m_confirmedAt);
    logEvent(Event::UpstreamChanged,
             {{"upstream", host ? host->value() : "registry"},
              {"rank", std::to_string(m_upstreams.rank())},
              {"ageMs", std::to_string(age.count())}});
}

void RegistryTask::requestFromPeer(const HostId &host)
{
    setUpstream(host);
    m_requestPending = true;
    m_isPeerRequest = true;
    SyncRequest request;
    request.isListed = m_follower.isListed();
    request.number = m_follower.configuration() ? m_follower.configuration()->number : TicketNumber(0);
    request.revision = m_follower.settledRevision();
    request.targetsDigest = m_follower.targetsDigest();
    request.waitMs = m_isDiscovering ? 0 : static_cast<std::uint32_t>(PeerWait.count());
    const TimePoint now = m_clock.now();
    m_peerRequestedAt = now;
    // Stops waiting for the peer once the records are old.
    m_nextRequestTimer.start(std::max(Duration(0), m_confirmedAt + maxAge() - now));
    m_peers.request(host, SocketAddress {host.value(), m_settings.linkPort}, request, PeerTimeout,
                    [this, host](const std::optional<SyncReply> &reply) { onPeerReply(host, reply); });
}

void RegistryTask::onPeerReply(const HostId &host, const std::optional<SyncReply> &reply)
{
    m_requestPending = false;
    const TimePoint now = m_clock.now();
    if (reply && reply->status == SyncStatus::Ok) {
        const std::uint64_t changes = m_follower.changes();
        applyReply(host, *reply);
        if (m_follower.changes() == changes && now - m_peerRequestedAt < PeerWait / 2) {
            // The peer has too many waiting requests to hold another one.
            m_nextRequestTimer.start(PeerRepeatDelay);
            return;
        }
    } else if (reply && reply->status == SyncStatus::NotListed && !m_isDiscovering) {
        m_upstreams.exclude(host, now + OldPeerExclusion);
    } else {
        m_upstreams.exclude(host, now + FailedPeerExclusion);
    }
    startNextRequest();
}

void RegistryTask::applyReply(const HostId &host, const SyncReply &reply)
{
    const TimePoint now = m_clock.now();
    try {
        const SyncContent content = decodeSyncContent(reply.content);
        const bool fits = m_follower.applyContent(content, now);
        // One of the two nodes is behind, or ignored a report: asking again would lead to the same.
        const bool disagrees = content.hasAllTargets && content.targetsDigest != m_follower.targetsDigest();
        if (!fits || disagrees) {
            m_upstreams.exclude(host, now + FailedPeerExclusion);
        }
    } catch (const ResultError &error) {
        m_metrics.count(Counter::InputRefused, error.code());
        m_upstreams.exclude(host, now + FailedPeerExclusion);
        return;
    }
    m_isDiscovering = m_isDiscovering && !m_follower.isListed();
    m_confirmedAt = std::max(m_confirmedAt, now - Milliseconds(reply.ageMs));
    if (Milliseconds(reply.ageMs) >= MaxPeerAge) {
        const bool isOutage = now - m_confirmedAt >= OutageAge;
        m_upstreams.exclude(host, now + (isOutage ? OutagePeerExclusion : OldPeerExclusion));
    }
    passOn();
    publish();
}

void RegistryTask::discoverPeers()
{
    m_requestPending = true;
    m_isPeerRequest = false;
    m_source->listTargets(m_discoverAfter, [this](RegistryResponse response) {
        m_requestPending = false;
        updateSourceStatus(response.code, response.detail);
        if (response.code != ResultCode::Ok) {
            m_follower.onResponse(std::move(response), m_clock.now());
            startNextRequest();
            return;
        }
        for (const RegistryRecord &record : response.records) {
            if (const auto *target = std::get_if<RegisteredTarget>(&record)) {
                m_discovered.push_back(peerOf(*target));
            }
        }
        m_upstreams.setPeers(m_discovered);
        m_discoverAfter = response.next;
        if (m_discoverAfter.empty()) {
            onPeersDiscovered();
        }
        startNextRequest();
    });
}

void RegistryTask::onPeersDiscovered()
{
    const TimePoint now = m_clock.now();
    const bool isSelfListed = std::any_of(m_discovered.begin(), m_discovered.end(), [this](const RegistryPeer &peer) {
        return peer.host == m_settings.self.host;
    });
    m_isDiscovering = !isSelfListed && !areRecordsOld(now);
    // The target of this node starts together with those of its peers: none of them may have registered yet.
    m_discoverAt = now + DiscoveryInterval;
    m_discovered.clear();
}

void RegistryTask::requestFromRegistry(const RegistryAction &action)
{
    setUpstream(std::nullopt);
    m_requestPending = true;
    m_isPeerRequest = false;
    const auto handler = [this](RegistryResponse response) {
        m_requestPending = false;
        onResponse(std::move(response));
    };
    if (const auto *list = std::get_if<registryaction::List>(&action)) {
        m_source->list(list->after, handler);
        return;
    }
    const auto &watch = std::get<registryaction::Watch>(action);
    m_source->watch(watch.revision, watch.wait, handler);
}

void RegistryTask::onResponse(RegistryResponse response)
{
    updateSourceStatus(response.code, response.detail);
    const bool isConfirmed = response.code == ResultCode::Ok;
    m_follower.onResponse(std::move(response), m_clock.now());
    if (isConfirmed && m_follower.isListed()) {
        m_confirmedAt = m_clock.now();
        m_isDiscovering = false;
    }
    logInvalidRecords();
    passOn();
    publish();
    startNextRequest();
}

RegistryPeer RegistryTask::peerOf(const RegisteredTarget &target) const
{
    return {HostId(target.address.ip), target.zone, regionOf(m_settings, target.zone)};
}

void RegistryTask::passOn()
{
    if (m_follower.changes() == m_passedOnChanges && m_follower.isListed() == m_passedOnListing) {
        return;
    }
    m_passedOnChanges = m_follower.changes();
    m_passedOnListing = m_follower.isListed();
    if (m_follower.isListed()) {
        std::vector<RegistryPeer> peers;
        for (const RegisteredTarget &target : m_follower.activeTargets()) {
            if (!target.draining && m_follower.isServiceKnown(target.service)) {
                peers.push_back(peerOf(target));
            }
        }
        m_upstreams.setPeers(std::move(peers));
    }
    m_peers.onChange(m_follower.takeChangedTargets());
}

void RegistryTask::updateSourceStatus(ResultCode code, const std::string &detail)
{
    const bool isDown = code != ResultCode::Ok && code != ResultCode::RegistryHistoryGone;
    if (code != ResultCode::Ok) {
        m_metrics.count(Counter::PlatformFailures, code);
    }
    if (isDown != m_sourceDown) {
        m_sourceDown = isDown;
        logEvent(isDown ? Event::SourceDown : Event::SourceBack,
                 {{"code", std::to_string(number(code))}, {"detail", detail}});
    }
}

void RegistryTask::logInvalidRecords()
{
    for (const InvalidRecord &record : m_follower.takeInvalidRecords()) {
        m_metrics.count(Counter::InputRefused, record.code);
        logEvent(Event::RecordIgnored, {{"code", std::to_string(number(record.code))}, {"detail", record.detail}});
    }
}

void RegistryTask::publish()
{
    // A configuration with an incomplete list of targets would refuse calls that can be served.
    if (m_follower.changes() == m_publishedChanges || !m_follower.isListed() || !m_follower.configuration()) {
        return;
    }
    m_publishedChanges = m_follower.changes();
    State state = *m_state;
    if (m_follower.configuration()->number != state.number) {
        publishRoutes(state);
    }
    publishTargets(state);
    m_state = std::make_shared<const State>(std::move(state));
    m_waiters.onTicketReached(m_state->number);
}

void RegistryTask::publishRoutes(State &state)
{
    const PublishedConfiguration &configuration = *m_follower.configuration();
    state.number = configuration.number;
    state.ticketDigest = configuration.digest;
    state.stateDigest = configuration.digest;
    state.requestLimits = configuration.requestLimits;
    std::map<RouteId, RoutePtr> routes;
    for (const RoutePtr &route : configuration.routes) {
        routes.emplace(route->id, route);
    }
    state.routes = State::RouteMap(std::move(routes));
    state.routeIndex = std::make_shared<const RouteIndex>(state, *m_state);
    LogEntry entry;
    entry.head = {configuration.number, configuration.digest};
    entry.stateDigest = configuration.digest;
    entry.inForceAt = m_clock.wallNow();
    m_logbook.append(std::move(entry));
    logEvent(Event::ConfigurationInForce,
             {{"number", std::to_string(configuration.number.value())},
              {"digest", configuration.digest.shortHex()},
              {"routes", std::to_string(configuration.routes.size())}});
}

void RegistryTask::publishTargets(State &state)
{
    std::map<ServiceId, Service> services;
    for (const ServiceId &id : m_follower.configuration()->services) {
        services[id].id = id;
    }
    auto &endpoints = state.endpoints.edit();
    endpoints.clear();
    m_hosts.clear();
    for (const RegisteredTarget &target : m_follower.activeTargets()) {
        const auto service = services.find(target.service);
        if (service == services.end() || !isUsable(target)) {
            continue;
        }
        const HostId host(target.address.ip);
        endpoints.emplace(target.id,
                          std::make_shared<const Endpoint>(
                              Endpoint {target.id, host, target.address.port, target.slots, target.draining}));
        service->second.endpoints.push_back(target.id);
        const RegionId regionId = regionOf(m_settings, target.zone);
        m_hosts.insert_or_assign(
            host, HostView {HostRecord {host, regionId, target.zone, target.address.ip}, HostState::Live});
    }
    auto &published = state.services.edit();
    published.clear();
    for (auto &[id, service] : services) {
        published.emplace(id, std::make_shared<const Service>(std::move(service)));
    }
}

bool RegistryTask::isUsable(const RegisteredTarget &target) const
{
    // This host has only one target: another port of its address would be a port of the node itself.
    const bool isLocal = target.address.ip == m_settings.self.address;
    return !isLocal || m_settings.targetPort == 0 || target.address.port == m_settings.targetPort;
}

} // namespace jasminemast
