// Performs the actions of SpreadCore and passes events to it.
#include "jasminemast/node/controltask.h"

#include "jasminemast/node/fleetstatus.h"
#include "jasminemast/support/events.h"

#include <random>

namespace jasminemast
{

namespace
{

NodeIdentity makeIdentity(const NodeSettings &settings, Incarnation incarnation)
{
    return {settings.self.host, settings.self.zone, settings.self.region, incarnation};
}

HostList makeSeedList(const NodeSettings &settings)
{
    std::vector<HostEntry> entries;
    const auto add = [&entries](const HostRecord &record) {
        entries.push_back(HostEntry {record.host, record.region, record.zone, record.address, false});
    };
    add(settings.self);
    for (const HostRecord &seed : settings.seeds) {
        add(seed);
    }
    return HostList(entries);
}

const char *readinessName(Readiness readiness)
{
    switch (readiness) {
    case Readiness::Joining:
        return "joining";
    case Readiness::Ready:
        return "ready";
    case Readiness::Degraded:
        break;
    }
    return "degraded";
}

} // namespace

ControlTask::ControlTask(Loop &loop, const Clock &clock, const NodeSettings &settings, Incarnation incarnation,
                         LinkPool &links, Metrics &metrics)
    : m_loop(loop)
    , m_clock(clock)
    , m_settings(settings)
    , m_metrics(metrics)
    , m_random(std::random_device {}())
    , m_store(m_log, clock)
    , m_core(makeIdentity(settings, incarnation), settings.control, m_store, m_random)
    , m_http(loop)
    , m_source(m_http, settings.configSource)
    , m_hostWatcher(loop, m_http, settings.hostList + "/v1/hosts",
                    {[this](std::string_view value) { onHostList(value); },
                     [this](ResultCode code, const std::string &) {
                         m_metrics.count(Counter::PlatformFailures, code);
                     }})
    , m_socket(loop, SocketAddress {settings.self.address, settings.linkPort},
               [this](std::string_view bytes) { onDatagram(bytes); })
    , m_pullLinks(links, clock, pullHandlers())
    , m_waiters(loop, clock)
    , m_tickTimer(loop, [this] {
        m_pullLinks.expire();
        handle(Tick {});
    })
{
}

PullLinks::Handlers ControlTask::pullHandlers()
{
    PullLinks::Handlers handlers;
    handlers.onRequest = [this](const HostId &from, PullRequest request) {
        handle(PullRequested {from, std::move(request)});
    };
    handlers.onReply = [this](PullReply reply) {
        handle(PullReplyReceived {std::move(reply)});
    };
    // Links may fail while the core's actions are being performed: the core gets the event afterwards.
    handlers.onFailed = [this](std::uint64_t id) {
        m_loop.post([this, id] { handle(PullFailed {id}); });
    };
    handlers.onSent = [this](bool snapshot) {
        m_loop.post([this, snapshot] { handle(PullReplySent {snapshot}); });
    };
    return handlers;
}

void ControlTask::start()
{
    handle(HostListReceived {makeSeedList(m_settings)});
    m_hostWatcher.start();
    m_tickTimer.startRepeating(SpreadCore::TickInterval);
}

nlohmann::json ControlTask::zones(TimePoint now) const
{
    return fleetZones(m_core, now);
}

void ControlTask::beginDrain()
{
    handle(DrainStarted {});
}

void ControlTask::handle(const SpreadEvent &event)
{
    for (const auto &action : m_core.handle(event, m_clock.now())) {
        std::visit([this](const auto &concrete) { perform(concrete); }, action);
    }
}

void ControlTask::onDatagram(std::string_view bytes)
{
    try {
        handle(MessageReceived {decodeControlMessage(bytes)});
    } catch (const ResultError &error) {
        m_metrics.count(Counter::InputRefused, error.code());
    }
}

void ControlTask::onHostList(std::string_view value)
{
    try {
        handle(HostListReceived {parseHostList(value)});
    } catch (const ResultError &error) {
        m_metrics.count(Counter::PlatformFailures, error.code());
    }
}

void ControlTask::onFrame(const std::shared_ptr<Link> &link, ControlFrame type, std::string_view payload)
{
    m_pullLinks.onFrame(link, type, payload);
}

void ControlTask::onLinkDown(const std::shared_ptr<Link> &link)
{
    m_pullLinks.onLinkDown(link);
}

std::optional<SocketAddress> ControlTask::addressOf(const HostId &host) const
{
    const auto *entry = m_core.topology().hostList().find(host);
    if (entry == nullptr) {
        return std::nullopt;
    }
    return SocketAddress {entry->address, m_settings.linkPort};
}

void ControlTask::perform(const SendMessage &action)
{
    if (const auto address = addressOf(action.to)) {
        m_socket.send(*address, encodeControlMessage(action.message));
    }
}

void ControlTask::perform(const StartWatch &action)
{
    m_source.watchHead(action.wait, [this, id = action.id](ResultCode code, std::optional<Head> head) {
        updateSourceStatus(code);
        if (code == ResultCode::Ok) {
            handle(WatchCompleted {id, head});
        } else {
            handle(WatchFailed {id});
        }
    });
}

void ControlTask::perform(const FetchTicket &action)
{
    m_source.fetchTicket(action.number, [this, number = action.number](ResultCode code, std::string bytes) {
        if (code == ResultCode::Ok) {
            handle(TicketFetched {number, std::move(bytes)});
        } else {
            m_metrics.count(Counter::PlatformFailures, code);
            handle(TicketFetchFailed {number});
        }
    });
}

void ControlTask::perform(const FetchCheckpoint &)
{
    m_source.fetchCheckpoint([this](std::optional<Snapshot> snapshot) {
        if (snapshot) {
            handle(CheckpointFetched {std::move(*snapshot)});
        } else {
            handle(CheckpointFetchFailed {});
        }
    });
}

void ControlTask::perform(const SendPull &action)
{
    const auto address = addressOf(action.to);
    if (!address) {
        m_loop.post([this, id = action.request.id] { handle(PullFailed {id}); });
        return;
    }
    m_pullLinks.sendRequest(action.to, *address, action.request);
}

void ControlTask::perform(const SendPullReply &action)
{
    m_pullLinks.sendReply(action.to, addressOf(action.to).value_or(SocketAddress {}), action.reply);
}

void ControlTask::perform(const PublishState &action)
{
    logTicketResults();
    m_waiters.onTicketReached(action.state->number);
    for (const auto &subscriber : m_subscribers) {
        subscriber(action.state);
    }
}

void ControlTask::logTicketResults()
{
    for (const auto &entry : m_store.takeNewEntries()) {
        m_metrics.count(Counter::TicketsApplied, entry.code);
        logEvent(entry.code == ResultCode::Ok ? Event::TicketApplied : Event::TicketRefused,
                 {{"number", std::to_string(entry.head.number.value())},
                  {"digest", entry.head.digest.shortHex()},
                  {"detail", entry.detail}});
    }
}

void ControlTask::perform(const ReadinessChanged &action)
{
    logEvent(Event::NodeReadinessChanged,
             {{"readiness", readinessName(action.readiness)}, {"number", std::to_string(current()->number.value())}});
}

void ControlTask::perform(const DigestConflictDetected &action)
{
    logEvent(Event::TicketConflict,
             {{"number", std::to_string(action.received.number.value())},
              {"digest", action.received.digest.shortHex()},
              {"kept", action.highestKnown.digest.shortHex()}});
}

void ControlTask::updateSourceStatus(ResultCode code)
{
    const bool down = code != ResultCode::Ok;
    if (down) {
        m_metrics.count(Counter::PlatformFailures, code);
    }
    if (down != m_sourceDown) {
        m_sourceDown = down;
        logEvent(down ? Event::SourceDown : Event::SourceBack, {{"code", std::to_string(number(code))}});
    }
}

void ControlTask::whenReached(TicketNumber number, TimePoint deadline, std::function<void(bool)> done)
{
    if (current()->number >= number) {
        done(true);
        return;
    }
    m_waiters.add(number, deadline, std::move(done));
}

void ControlTask::observeTicket(const HostId &peer, TicketNumber number)
{
    if (number > current()->number) {
        handle(NewerTicketSeen {peer, number});
    }
}

void ControlTask::subscribe(std::function<void(const StatePtr &)> handler)
{
    m_subscribers.push_back(std::move(handler));
}

const HostView *ControlTask::findHost(const HostId &host) const
{
    const auto *entry = m_core.topology().hostList().find(host);
    if (entry == nullptr) {
        return nullptr;
    }
    HostView &view = m_hostViews[host];
    view.record = HostRecord {entry->host, entry->region, entry->zone, entry->address};
    switch (m_core.availability(host, m_clock.now())) {
    case HostAvailability::Dead:
        view.state = HostState::Dead;
        break;
    case HostAvailability::Leaving:
        view.state = HostState::Leaving;
        break;
    case HostAvailability::Live:
    case HostAvailability::Unknown:
        // The host list is a hint, and a zone that sends no control messages may still serve calls.
        view.state = entry->leaving ? HostState::Leaving : HostState::Live;
        break;
    }
    return &view;
}

} // namespace jasminemast
