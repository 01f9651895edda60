// Connects SpreadCore, the core of configuration distribution, to sockets, timers and the platform's services.
#pragma once

#include "jasminemast/net/datagramsocket.h"
#include "jasminemast/node/configsource.h"
#include "jasminemast/node/controlplane.h"
#include "jasminemast/node/pulllinks.h"
#include "jasminemast/node/sourcewatcher.h"
#include "jasminemast/node/ticketwaiters.h"
#include "jasminemast/node/views.h"
#include "jasminemast/spread/spreadcore.h"
#include "jasminemast/support/metrics.h"

namespace jasminemast
{

/// The control plane of a node that receives configuration from other nodes and from the configuration service.
class ControlTask final : public ControlPlane
{
public:
    /// Opens the datagram socket.
    /// \throws ResultError with BindFailed.
    ControlTask(Loop &loop, const Clock &clock, const NodeSettings &settings, Incarnation incarnation, LinkPool &links,
                Metrics &metrics);

    void start() override;
    void beginDrain() override;
    void onSettings() override
    {
        // Reloadable settings concern calls only.
    }
    void onPause() override
    {
        // The core notices the gap between its ticks.
    }

    [[nodiscard]] StatePtr current() const override
    {
        return m_log.state();
    }
    void whenReached(TicketNumber number, TimePoint deadline, std::function<void(bool)> done) override;
    [[nodiscard]] const HostView *findHost(const HostId &host) const override;

    /// Pulls ticket \p number from \p peer at once if it is higher than the one in force.
    void observeTicket(const HostId &peer, TicketNumber number) override;
    /// Calls \p handler after each change of the state in force.
    void subscribe(std::function<void(const StatePtr &)> handler);

    void onFrame(const std::shared_ptr<Link> &link, ControlFrame type, std::string_view payload) override;
    void onLinkDown(const std::shared_ptr<Link> &link) override;

    [[nodiscard]] Readiness readiness() const override
    {
        return m_core.readiness();
    }
    [[nodiscard]] const Logbook &logbook() const override
    {
        return m_log.logbook();
    }
    [[nodiscard]] TicketNumber acceptedNumber() const override
    {
        return m_log.highestAcceptedHead().number;
    }
    [[nodiscard]] bool isReader() const override
    {
        return m_core.isReader();
    }
    [[nodiscard]] nlohmann::json zones(TimePoint now) const override;

private:
    void handle(const SpreadEvent &event);
    void perform(const SendMessage &action);
    void perform(const StartWatch &action);
    void perform(const FetchTicket &action);
    void perform(const FetchCheckpoint &action);
    void perform(const SendPull &action);
    void perform(const SendPullReply &action);
    void perform(const PublishState &action);
    void perform(const ReadinessChanged &action);
    void perform(const DigestConflictDetected &action);

    void onDatagram(std::string_view bytes);
    void onHostList(std::string_view value);
    void updateSourceStatus(ResultCode code);
    void logTicketResults();
    PullLinks::Handlers pullHandlers();
    [[nodiscard]] std::optional<SocketAddress> addressOf(const HostId &host) const;

    Loop &m_loop;
    const Clock &m_clock;
    const NodeSettings &m_settings;
    Metrics &m_metrics;
    Random m_random;
    TicketLog m_log;
    TicketStore m_store;
    SpreadCore m_core;
    HttpClient m_http;
    HttpConfigSource m_source;
    SourceWatcher m_hostWatcher;
    DatagramSocket m_socket;
    PullLinks m_pullLinks;
    TicketWaiters m_waiters;
    Timer m_tickTimer;
    bool m_sourceDown = false;
    std::vector<std::function<void(const StatePtr &)>> m_subscribers;
    mutable std::map<HostId, HostView> m_hostViews; ///< storage for the results of findHost()
};

} // namespace jasminemast
