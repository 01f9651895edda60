// Responses to callers when the host that runs their call is removed from the host list.
#include "jasminemast/node/entryproxy.h"

#include "jasminemast/config/routeindex.h"

#include "../net/testpeer.h"

#include <gtest/gtest.h>

using namespace jasminemast;
using namespace std::chrono_literals;

namespace
{

/// One route to one target on another host, which can be removed from the host list.
class FakeFleet final : public ConfigView, public FleetView
{
public:
    explicit FakeFleet(const std::string &address)
        : m_targetHost {HostRecord {HostId("target-host"), RegionId("r"), ZoneId("z"), address}, HostState::Live}
    {
        State state;
        state.number = TicketNumber(1);
        Route route;
        route.id = RouteId("route");
        route.pathPrefix = "/";
        route.service = ServiceId("s");
        route.timeout = 4s;
        state.routes.edit().emplace(route.id, std::make_shared<const Route>(route));
        const Endpoint endpoint {EndpointId("e"), HostId("target-host"), 80, 8};
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
    void whenReached(TicketNumber /*number*/, TimePoint /*deadline*/, std::function<void(bool)> done) override
    {
        done(true);
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
    bool m_isListed = true;
};

NodeSettings settingsOf(const SocketAddress &self, std::uint16_t linkPort)
{
    NodeSettings settings;
    settings.self = {HostId("entry"), RegionId("r"), ZoneId("z"), self.ip};
    settings.linkPort = linkPort;
    return settings;
}

class EntryProxyTest : public testing::Test
{
protected:
    Link::Handlers entryHandlers()
    {
        Link::Handlers handlers;
        handlers.onFrame = [](const std::shared_ptr<Link> &, FrameType, std::string_view) {
        };
        handlers.onUp = [this](const std::shared_ptr<Link> &link) {
            m_entryProxy.onLinkUp(link);
        };
        handlers.onDown = [this](const std::shared_ptr<Link> &link, ResultCode reason) {
            m_entryProxy.onLinkDown(link, reason);
        };
        return handlers;
    }

    /// The target's node accepts calls and never replies.
    Link::Handlers targetHostHandlers()
    {
        Link::Handlers handlers;
        handlers.onFrame = [this](const std::shared_ptr<Link> &link, FrameType type, std::string_view) {
            m_openFrames += type == static_cast<FrameType>(CallFrame::Open) ? 1 : 0;
            m_targetHostLink = link;
        };
        handlers.onUp = [](const std::shared_ptr<Link> &) {
        };
        handlers.onDown = [](const std::shared_ptr<Link> &, ResultCode) {
        };
        return handlers;
    }

    void call()
    {
        HttpClientRequest request;
        request.method = "POST";
        request.url = "http://" + m_callerAddress.toString() + "/";
        request.timeout = 30'000ms;
        m_http.fetch(std::move(request),
                     [this](const HttpClientResult &, unsigned status, const HttpHeaders &, const std::string &) {
                         m_statuses.push_back(status);
                     });
    }

    Loop m_loop;
    SystemClock m_clock;
    Metrics m_metrics {m_clock};
    PauseDetector m_pauseDetector {PauseDetectorLimits {}, m_clock.now()};
    SocketAddress m_targetHostAddress = testAddress();
    SocketAddress m_callerAddress = testAddress();
    FakeFleet m_fleet {m_targetHostAddress.ip};
    NodeSettings m_settings = settingsOf(m_callerAddress, m_targetHostAddress.port);
    std::size_t m_openFrames = 0;
    std::shared_ptr<Link> m_targetHostLink;
    LinkPool m_targetHost {m_loop,
                           m_clock,
                           LinkIdentity {HostId("target-host"), Incarnation(7)},
                           m_targetHostAddress,
                           LinkSettings {},
                           targetHostHandlers()};
    LinkPool m_links {m_loop,        m_clock,         LinkIdentity {HostId("entry"), Incarnation(1)},
                      testAddress(), LinkSettings {}, entryHandlers()};
    TargetProxy m_targetProxy {m_loop,
                               m_clock,
                               m_fleet,
                               m_fleet,
                               TargetProxyIdentity {HostId("entry"), Incarnation(1), m_callerAddress.ip},
                               m_settings.calls,
                               m_metrics,
                               [](const EndpointId &, bool) {},
                               [] {
                                   return std::size_t(0);
                               }};
    CallClient m_remote;
    EntryProxy m_entryProxy {
        EntryContext {m_loop, m_clock, m_pauseDetector, m_fleet, m_fleet, m_targetProxy, m_links, m_remote, m_metrics},
        m_settings, Incarnation(1), 1};
    HttpServer m_server {m_loop, m_callerAddress, HttpServerLimits {},
                         [this](const std::shared_ptr<HttpExchange> &exchange) { m_entryProxy.handle(exchange); },
                         [](ResultCode) {
                         }};
    HttpClient m_http {m_loop};
    std::vector<unsigned> m_statuses;
};

} // namespace

// The outcome of these calls can no longer be queried. The node used to request the link again in an endless loop, in
// which no deadline was reached, and hung.
TEST_F(EntryProxyTest, EndsCallsAsUnknownWhenTheirHostIsRemoved)
{
    constexpr std::size_t Calls = 3;
    for (std::size_t i = 0; i < Calls; ++i) {
        call();
    }
    ASSERT_TRUE(runUntil(m_loop, [&] { return m_openFrames == Calls; }));
    m_fleet.removeHost();
    m_targetHostLink->close(ResultCode::LinkLost);
    ASSERT_TRUE(runUntil(m_loop, [&] { return m_statuses.size() == Calls; }));
    EXPECT_EQ(m_statuses, std::vector<unsigned>(Calls, 502));
}
