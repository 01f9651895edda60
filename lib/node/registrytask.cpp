// Reads the registry and publishes each change as a new immutable state.
#include "jasminemast/node/registrytask.h"

#include "jasminemast/support/events.h"

#include <algorithm>

namespace jasminemast
{

namespace
{

constexpr std::size_t MaxLogbookEntries = 1'000; // fits into one response of /v1/tickets
constexpr Milliseconds PeerTimeout {1'000};
constexpr Milliseconds ReminderInterval {60'000};

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
    , m_reads({context.settings.self.host, context.settings.self.zone,
               regionOf(context.settings, context.settings.self.zone)},
              [this](const ZoneId &zone) { return regionOf(m_settings, zone); })
    , m_peers(context.loop, context.clock, context.links, m_reads.follower(), [this] { return m_reads.confirmedAt(); })
    , m_logbook(MaxLogbookEntries)
    , m_waiters(context.loop, context.clock)
    , m_nextRequestTimer(context.loop, [this] { onNextRequestTimer(); })
    , m_expiryTimer(context.loop,
                    [this] {
                        m_reads.expire(m_clock.now());
                        takeOverRecords();
                    })
    , m_reminderTimer(context.loop, [this] { logRefusedConfiguration(); })
    , m_state(emptyState())
{
}

void RegistryTask::start()
{
    m_reads.start(m_clock.now());
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
    m_reads.onRegistryChanged(m_clock.now());
    startNextRequest();
}

void RegistryTask::onPause()
{
    // The connection of a watch in progress may have broken during the pause; the next watch begins at the same
    // revision.
    m_source->cancel();
    m_peers.cancel();
    m_requestPending = false;
    m_reads.onPause(m_clock.now());
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
    const bool hasConfiguration = m_reads.follower().isListed() && m_reads.follower().configuration() != nullptr;
    return hasConfiguration && !m_draining ? Readiness::Ready : Readiness::Joining;
}

nlohmann::json RegistryTask::upstream(TimePoint now) const
{
    auto candidates = nlohmann::json::array();
    for (const HostId &host : m_reads.upstreams().candidates()) {
        candidates.push_back(host.value());
    }
    nlohmann::json result = {{"readsAt", m_upstream ? m_upstream->value() : "registry"},
                             {"candidates", std::move(candidates)},
                             {"rank", m_reads.upstreams().rank()},
                             {"ageMs", std::chrono::duration_cast<Milliseconds>(recordsAge(now)).count()}};
    if (const auto &refused = m_reads.follower().refusedConfiguration()) {
        result["refusedNumber"] = refused->value();
        result["refusedBecause"] = m_refusalDetail;
    }
    return result;
}

nlohmann::json RegistryTask::zones(TimePoint /*now*/) const
{
    // Nodes with a registry do not exchange their status.
    return nlohmann::json::array();
}

void RegistryTask::startNextRequest()
{
    if (m_requestPending) {
        return;
    }
    const ReadAction action = m_reads.next(m_clock.now());
    std::visit(
        [this](const auto &concrete) {
            using Action = std::decay_t<decltype(concrete)>;
            if constexpr (std::is_same_v<Action, registryaction::Wait>) {
                m_nextRequestTimer.start(concrete.until - m_clock.now());
            } else if constexpr (std::is_same_v<Action, readaction::AskPeer>) {
                askPeer(concrete);
            } else if constexpr (std::is_same_v<Action, readaction::DiscoverPeers>) {
                discoverPeers(concrete.after);
            } else if constexpr (std::is_same_v<Action, registryaction::List>) {
                listRegistry(concrete.after);
            } else {
                watchRegistry(concrete);
            }
        },
        action);
}

void RegistryTask::onNextRequestTimer()
{
    if (m_requestPending && m_isPeerRequest) {
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
    const auto age = std::chrono::duration_cast<Milliseconds>(recordsAge(m_clock.now()));
    logEvent(Event::UpstreamChanged,
             {{"upstream", host ? host->value() : "registry"},
              {"rank", std::to_string(m_reads.upstreams().rank())},
              {"ageMs", std::to_string(age.count())}});
}

void RegistryTask::askPeer(const readaction::AskPeer &action)
{
    setUpstream(action.host);
    m_requestPending = true;
    m_isPeerRequest = true;
    m_nextRequestTimer.start(action.giveUpAt - m_clock.now());
    m_peers.request(action.host, SocketAddress {action.host.value(), m_settings.linkPort}, action.request, PeerTimeout,
                    [this, host = action.host](const std::optional<SyncReply> &reply) { onPeerReply(host, reply); });
}

void RegistryTask::onPeerReply(const HostId &host, const std::optional<SyncReply> &reply)
{
    m_requestPending = false;
    const ResultCode code = m_reads.onPeerReply(host, reply, m_clock.now());
    if (code != ResultCode::Ok) {
        m_metrics.count(Counter::InputRefused, code);
    }
    takeOverRecords();
    startNextRequest();
}

void RegistryTask::discoverPeers(const std::string &after)
{
    m_requestPending = true;
    m_isPeerRequest = false;
    m_source->listTargets(after, [this](RegistryResponse response) {
        m_requestPending = false;
        updateSourceStatus(response.code, response.detail);
        m_reads.onDiscovered(std::move(response), m_clock.now());
        startNextRequest();
    });
}

void RegistryTask::listRegistry(const std::string &after)
{
    setUpstream(std::nullopt);
    m_requestPending = true;
    m_isPeerRequest = false;
    m_source->list(after, [this](RegistryResponse response) { onResponse(std::move(response)); });
}

void RegistryTask::watchRegistry(const registryaction::Watch &watch)
{
    setUpstream(std::nullopt);
    m_requestPending = true;
    m_isPeerRequest = false;
    m_source->watch(watch.revision, watch.wait, [this](RegistryResponse response) { onResponse(std::move(response)); });
}

void RegistryTask::onResponse(RegistryResponse response)
{
    m_requestPending = false;
    updateSourceStatus(response.code, response.detail);
    m_reads.onResponse(std::move(response), m_clock.now());
    logInvalidRecords();
    takeOverRecords();
    startNextRequest();
}

void RegistryTask::takeOverRecords()
{
    logEra();
    m_metrics.set(Gauge::ConfigurationRefused, m_reads.follower().refusedConfiguration() ? 1 : 0);
    passOn();
    publish();
    watchRetainedTargets();
}

void RegistryTask::logEra()
{
    const RegistryEra era = m_reads.follower().era();
    if (era == m_era) {
        return;
    }
    if (m_era != RegistryEra()) {
        logEvent(Event::RegistryEraChanged,
                 {{"era", std::to_string(era.value())}, {"before", std::to_string(m_era.value())}});
    }
    m_era = era;
}

void RegistryTask::watchRetainedTargets()
{
    const RegistryFollower &follower = m_reads.follower();
    const std::size_t lastCount = std::exchange(m_retainedCount, follower.retainedCount());
    if (m_retainedCount == 0) {
        return;
    }
    const Duration delay = std::max(Duration(0), follower.nextExpiry() - m_clock.now());
    m_expiryTimer.start(delay);
    if (m_retainedCount > lastCount) {
        logEvent(Event::TargetsRetained,
                 {{"count", std::to_string(m_retainedCount)},
                  {"ms", std::to_string(std::chrono::duration_cast<Milliseconds>(delay).count())}});
    }
}

void RegistryTask::passOn()
{
    const RegistryFollower &follower = m_reads.follower();
    if (follower.changes() == m_passedOnChanges && follower.isListed() == m_passedOnListing) {
        return;
    }
    m_passedOnChanges = follower.changes();
    m_passedOnListing = follower.isListed();
    m_peers.onChange(m_reads.follower().takeChangedTargets());
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
    for (const InvalidRecord &record : m_reads.follower().takeInvalidRecords()) {
        m_metrics.count(Counter::InputRefused, record.code);
        if (record.configuration && m_reads.follower().refusedConfiguration() == record.configuration) {
            m_refusalDetail = record.detail;
            logRefusedConfiguration();
            continue;
        }
        logEvent(Event::RecordIgnored, {{"code", std::to_string(number(record.code))}, {"detail", record.detail}});
    }
}

void RegistryTask::logRefusedConfiguration()
{
    const auto &refused = m_reads.follower().refusedConfiguration();
    if (!refused) {
        return;
    }
    m_reminderTimer.start(ReminderInterval);
    logEvent(Event::ConfigurationRefused,
             {{"refused", std::to_string(refused->value())},
              {"inForce", std::to_string(m_state->number.value())},
              {"code", std::to_string(number(ResultCode::RegistryRecordMalformed))},
              {"detail", m_refusalDetail}});
}

void RegistryTask::publish()
{
    // A configuration with an incomplete list of targets would refuse calls that can be served.
    const RegistryFollower &follower = m_reads.follower();
    if (follower.changes() == m_publishedChanges || !follower.isListed() || !follower.configuration()) {
        return;
    }
    m_publishedChanges = follower.changes();
    State state = *m_state;
    if (follower.configuration()->number != state.number) {
        publishRoutes(state);
    }
    publishTargets(state);
    publishEvacuations(state);
    m_state = std::make_shared<const State>(std::move(state));
    m_waiters.onTicketReached(m_state->number);
}

void RegistryTask::publishRoutes(State &state)
{
    const PublishedConfiguration &configuration = *m_reads.follower().configuration();
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
    const PublishedConfiguration &configuration = *m_reads.follower().configuration();
    for (const ServiceId &id : configuration.services) {
        services[id].id = id;
    }
    for (const ServiceWarmUp &warmUp : configuration.warmUps) {
        services[warmUp.service].warmUp = warmUp.limits;
    }
    auto &endpoints = state.endpoints.edit();
    endpoints.clear();
    m_hosts.clear();
    for (const RegisteredTarget &target : m_reads.follower().activeTargets()) {
        const auto service = services.find(target.service);
        if (service == services.end() || !isUsable(target)) {
            continue;
        }
        const HostId host(target.address.ip);
        endpoints.emplace(target.id,
                          std::make_shared<const Endpoint>(
                              Endpoint {target.id, host, target.address.port, target.slots, target.draining,
                                        m_reads.follower().targets().at(target.id).warmedUpAt}));
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

void RegistryTask::publishEvacuations(State &state)
{
    std::set<ZoneId> zones;
    for (const ZoneEvacuation &evacuation : m_reads.follower().evacuations().active(m_clock.now())) {
        zones.insert(evacuation.zone);
    }
    for (const ZoneId &zone : zones) {
        if (!state.evacuatedZones.contains(zone)) {
            logEvent(Event::ZoneEvacuated, {{"zone", zone.value()}});
        }
    }
    for (const ZoneId &zone : state.evacuatedZones) {
        if (!zones.contains(zone)) {
            logEvent(Event::ZoneTakenBack, {{"zone", zone.value()}});
        }
    }
    state.evacuatedZones = std::move(zones);
}

bool RegistryTask::isUsable(const RegisteredTarget &target) const
{
    // This host has only one target: another port of its address would be a port of the node itself.
    const bool isLocal = target.address.ip == m_settings.self.address;
    return !isLocal || m_settings.targetPort == 0 || target.address.port == m_settings.targetPort;
}

} // namespace jasminemast
