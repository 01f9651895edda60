// Configuration and host list with one target, for tests of the proxies.
#pragma once

#include "jasminemast/config/routeindex.h"
#include "jasminemast/net/socketaddress.h"
#include "jasminemast/node/views.h"

#include <functional>
#include <memory>
#include <utility>
#include <vector>

namespace jasminemast
{

/// One route to the target "e" on the host "target-host", which can be removed from the host list.
class OneTargetFleet final : public ConfigView, public FleetView
{
public:
    explicit OneTargetFleet(const SocketAddress &target)
        : m_targetHost {HostRecord {HostId("target-host"), RegionId("r"), ZoneId("z"), target.ip}, HostState::Live}
    {
        State state;
        state.number = TicketNumber(1);
        Route route;
        route.id = RouteId("route");
        route.pathPrefix = "/";
        route.service = ServiceId("s");
        route.timeout = std::chrono::seconds(4);
        state.routes.edit().emplace(route.id, std::make_shared<const Route>(route));
        const Endpoint endpoint {EndpointId("e"), HostId("target-host"), target.port, 8};
        state.endpoints.edit().emplace(endpoint.id, std::make_shared<const Endpoint>(endpoint));
        const Service service {ServiceId("s"), {endpoint.id}};
        state.services.edit().emplace(service.id, std::make_shared<const Service>(service));
        state.routeIndex = std::make_shared<const RouteIndex>(state);
        m_state = std::make_shared<const State>(std::move(state));
    }

    [[nodiscard]] StatePtr current() const override
    {
        return m_state;
    }
    /// No later ticket comes into force.
    void whenReached(TicketNumber /*number*/, TimePoint /*deadline*/, std::function<void(bool)> done) override
    {
        m_waiting.push_back(std::move(done));
    }
    [[nodiscard]] const HostView *findHost(const HostId &host) const override
    {
        return m_isListed && host == m_targetHost.record.host ? &m_targetHost : nullptr;
    }
    void removeHost()
    {
        m_isListed = false;
    }

private:
    HostView m_targetHost;
    StatePtr m_state;
    std::vector<std::function<void(bool)>> m_waiting;
    bool m_isListed = true;
};

} // namespace jasminemast
