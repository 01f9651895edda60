// Control plane for a platform with a registry: connects RegistryFollower to timers and the registry client.
#pragma once

#include "jasminemast/node/controlplane.h"
#include "jasminemast/node/ticketwaiters.h"
#include "jasminemast/registry/registryfollower.h"

#include <map>
#include <memory>
#include <string>

namespace jasminemast
{

/// The control plane of a node that reads the registry itself; nodes exchange no configuration.
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
        return true;
    }
    [[nodiscard]] nlohmann::json zones(TimePoint now) const override;

private:
    void startNextRequest();
    void onResponse(RegistryResponse response);
    /// Puts a new state in force if the follower's records have changed.
    void publish();
    void publishRoutes(State &state);
    void publishTargets(State &state);
    void logInvalidRecords();
    void updateSourceStatus(ResultCode code, const std::string &detail);
    [[nodiscard]] bool isUsable(const RegisteredTarget &target) const;

    const Clock &m_clock;
    const NodeSettings &m_settings;
    Metrics &m_metrics;
    SourceFactory m_makeSource;
    std::string m_address; ///< registry that m_source reads
    std::unique_ptr<RegistrySource> m_source; ///< never null
    RegistryFollower m_follower;
    Logbook m_logbook;
    TicketWaiters m_waiters;
    Timer m_nextRequestTimer;
    Timer m_expiryTimer;
    StatePtr m_state; ///< never null
    std::uint64_t m_publishedChanges = 0; ///< value of m_follower.changes() that m_state reflects
    std::map<HostId, HostView> m_hosts;
    bool m_requestPending = false; ///< a request of m_source is in progress
    bool m_sourceDown = false;
    bool m_draining = false;
};

} // namespace jasminemast
