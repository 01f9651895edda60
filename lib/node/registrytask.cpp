// Reads the registry and publishes each change as a new immutable state.
#include "jasminemast/node/registrytask.h"

#include "jasminemast/support/events.h"

namespace jasminemast
{

namespace
{

constexpr std::size_t MaxLogbookEntries = 1'000; // fits into one response of /v1/tickets
/// How often removed targets are checked for expiry; short compared with their grace period.
constexpr Milliseconds ExpiryInterval {250};

} // namespace

RegistryTask::RegistryTask(const ControlContext &context, SourceFactory makeSource)
    : m_clock(context.clock)
    , m_settings(context.settings)
    , m_metrics(context.metrics)
    , m_makeSource(std::move(makeSource))
    , m_address(context.settings.registry.address)
    , m_source(m_makeSource(m_address))
    , m_logbook(MaxLogbookEntries)
    , m_waiters(context.loop, context.clock)
    , m_nextRequestTimer(context.loop, [this] { startNextRequest(); })
    , m_expiryTimer(context.loop,
                    [this] {
                        m_follower.expire(m_clock.now());
                        publish();
                    })
    , m_state(emptyState())
{
}

void RegistryTask::start()
{
    m_expiryTimer.startRepeating(ExpiryInterval);
    startNextRequest();
}

void RegistryTask::beginDrain()
{
    m_draining = true;
}

void RegistryTask::onSettings()
{
    if (m_settings.registry.address == m_address) {
        return;
    }
    m_address = m_settings.registry.address;
    m_source = m_makeSource(m_address);
    m_requestPending = false;
    m_follower.refresh(m_clock.now());
    startNextRequest();
}

void RegistryTask::onPause()
{
    // The connection of a watch in progress may have broken during the pause; the next watch begins at the same
    // revision.
    m_source->cancel();
    m_requestPending = false;
    startNextRequest();
}

void RegistryTask::observeTicket(const HostId & /*peer*/, TicketNumber /*number*/)
{
    // This node's own watch reports every configuration.
}

void RegistryTask::onFrame(const std::shared_ptr<Link> & /*link*/, ControlFrame /*type*/, std::string_view /*payload*/)
{
    throw ResultError(ResultCode::FrameMalformed, "control frames are not used with a registry");
}

void RegistryTask::onLinkDown(const std::shared_ptr<Link> & /*link*/)
{
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
    const bool hasConfiguration = m_follower.isListed() && m_follower.configuration().has_value();
    return hasConfiguration && !m_draining ? Readiness::Ready : Readiness::Joining;
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
    const TimePoint now = m_clock.now();
    const RegistryAction action = m_follower.next(now);
    if (const auto *wait = std::get_if<registryaction::Wait>(&action)) {
        m_nextRequestTimer.start(wait->until - now);
        return;
    }
    m_requestPending = true;
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
    m_follower.onResponse(std::move(response), m_clock.now());
    logInvalidRecords();
    publish();
    startNextRequest();
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
    auto &routes = state.routes.edit();
    routes.clear();
    for (const Route &route : configuration.routes) {
        routes.emplace(route.id, std::make_shared<const Route>(route));
    }
    state.routeIndex = std::make_shared<const RouteIndex>(state);
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
        const auto region = m_settings.registry.regions.find(target.zone);
        const RegionId regionId = region == m_settings.registry.regions.end() ? RegionId() : region->second;
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
