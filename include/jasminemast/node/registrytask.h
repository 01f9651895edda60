// Control plane for a platform with a registry: connects ReadSchedule to timers, the registry client and peers.
#pragma once

#include "jasminemast/node/controlplane.h"
#include "jasminemast/node/registrypeers.h"
#include "jasminemast/node/ticketwaiters.h"
#include "jasminemast/registry/readschedule.h"

#include <map>
#include <memory>
#include <string>

namespace jasminemast
{

/// The control plane of a node whose fleet has a registry. A few nodes read it; the others read at them, and at the
/// registry when no peer has recent records.
class RegistryTask final : public ControlPlane
{
public:
    /// Creates the client for the registry at \p address.
    using SourceFactory = std::function<std::unique_ptr<RegistrySource>(const std::string &address)>;

    RegistryTask(const ControlContext &context, SourceFactory makeSource);

    void start() override;
    void beginDrain() override;
    void onSettings() override;
    void onPause() override;
    void observeTicket(const HostId &peer, TicketNumber number) override;
    void onFrame(const std::shared_ptr<Link> &link, ControlFrame type, std::string_view payload) override;
    void onLinkDown(const std::shared_ptr<Link> &link) override;

    [[nodiscard]] StatePtr current() const override
    {
        return m_state;
    }
    void whenReached(TicketNumber number, TimePoint deadline, std::function<void(bool)> done) override;
    [[nodiscard]] const HostView *findHost(const HostId &host) const override;
    [[nodiscard]] Readiness readiness() const override;
    [[nodiscard]] const Logbook &logbook() const override
    {
        return m_logbook;
    }
    [[nodiscard]] TicketNumber acceptedNumber() const override
    {
        return m_state->number;
    }
    [[nodiscard]] bool isReader() const override
    {
        return !m_upstream;
    }
    [[nodiscard]] nlohmann::json upstream(TimePoint now) const override;
    [[nodiscard]] Duration recordsAge(TimePoint now) const override
    {
        return now - m_reads.confirmedAt();
    }
    [[nodiscard]] nlohmann::json zones(TimePoint now) const override;

private:
    void startNextRequest();
    void askPeer(const readaction::AskPeer &action);
    void listRegistry(const std::string &after);
    void watchRegistry(const registryaction::Watch &watch);
    /// Reads a page of targets, in which a node that has just started finds its peers.
    void discoverPeers(const std::string &after);
    void onResponse(RegistryResponse response);
    void onPeerReply(const HostId &host, const std::optional<SyncReply> &reply);
    void onNextRequestTimer();
    void setUpstream(const std::optional<HostId> &host);
    /// The follower's records may have changed.
    void takeOverRecords();
    void watchRetainedTargets();
    /// Logs that the registry came back from an older copy.
    void logEra();
    /// Passes changed records on to peers.
    void passOn();
    /// Puts a new state in force if the follower's records have changed.
    void publish();
    void publishRoutes(State &state);
    void publishTargets(State &state);
    void publishEvacuations(State &state);
    void logInvalidRecords();
    /// Logs now, and each minute from now on, that the newest configuration is refused.
    void logRefusedConfiguration();
    void updateSourceStatus(ResultCode code, const std::string &detail);
    [[nodiscard]] bool isUsable(const RegisteredTarget &target) const;

    const Clock &m_clock;
    const NodeSettings &m_settings;
    Metrics &m_metrics;
    SourceFactory m_makeSource;
    std::string m_address; ///< registry that m_source reads
    std::unique_ptr<RegistrySource> m_source; ///< never null
    ReadSchedule m_reads;
    RegistryPeers m_peers;
    std::optional<HostId> m_upstream; ///< where the records were last requested; nothing: the registry
    bool m_isPeerRequest = false; ///< the request in progress goes to a peer
    std::uint64_t m_passedOnChanges = 0; ///< value of RegistryFollower::changes() that peers were told about
    bool m_passedOnListing = false;
    Logbook m_logbook;
    TicketWaiters m_waiters;
    Timer m_nextRequestTimer;
    Timer m_expiryTimer;
    Timer m_reminderTimer; ///< active while the newest configuration is refused
    std::string m_refusalDetail; ///< why it is refused
    std::size_t m_retainedCount = 0; ///< value of RegistryFollower::retainedCount() that was logged
    RegistryEra m_era; ///< that was logged
    StatePtr m_state; ///< never null
    std::uint64_t m_publishedChanges = 0; ///< value of RegistryFollower::changes() that m_state reflects
    std::map<HostId, HostView> m_hosts;
    bool m_requestPending = false; ///< a request of m_source is in progress
    bool m_sourceDown = false;
    bool m_draining = false;
};

} // namespace jasminemast
