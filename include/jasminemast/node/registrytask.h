// The control plane of a node on a platform with a registry: timers and calls round RegistryFollower.
#pragma once

#include "jasminemast/node/controlplane.h"
#include "jasminemast/node/ticketwaiters.h"
#include "jasminemast/registry/registryfollower.h"

#include <map>
#include <memory>
#include <string>

namespace jasminemast
{

/// Every node reads the registry for itself and tells nobody.
class RegistryTask final : public ControlPlane
{
public:
    /// Makes the source for the registry at an address.
    using SourceFactory = std::function<std::unique_ptr<RegistrySource>(const std::string &address)>;

    RegistryTask(const ControlContext &context, SourceFactory makeSource);

    void start() override;
    void beginDrain() override;
    void onSettings() override;
    void onPause() override;
    void observeNumber(const HostId &peer, TicketNumber number) override;
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
    void step();
    void onResponse(RegistryResponse answer);
    /// Makes what the follower knows the state in force, when it has changed.
    void publish();
    void publishRoutes(State &state);
    void publishTargets(State &state);
    void reportRefused();
    void noteSource(ResultCode code, const std::string &detail);
    [[nodiscard]] bool isUsable(const RegisteredTarget &target) const;

    const Clock &m_clock;
    const NodeSettings &m_settings;
    Metrics &m_metrics;
    SourceFactory m_makeSource;
    std::string m_address; ///< of the registry that m_source reads
    std::unique_ptr<RegistrySource> m_source; ///< never null
    RegistryFollower m_follower;
    Logbook m_logbook;
    TicketWaiters m_waiters;
    Timer m_stepTimer;
    Timer m_expiryTimer;
    StatePtr m_state; ///< never null
    std::uint64_t m_published = 0; ///< changes of m_follower that m_state shows
    std::map<HostId, HostView> m_hosts;
    bool m_calling = false; ///< a call of m_source is under way
    bool m_sourceDown = false;
    bool m_draining = false;
};

} // namespace jasminemast
