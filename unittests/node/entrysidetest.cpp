// What callers are told when the host that has their call leaves the fleet.
#include "jasminemast/node/entryside.h"

#include "jasminemast/config/routeindex.h"

#include "../net/testpeer.h"

#include <gtest/gtest.h>

using namespace jasminemast;
using namespace std::chrono_literals;

namespace
{

/// One route to one target on another host, which can be removed.
class FakeFleet final : public ConfigView, public FleetView
{
public:
    explicit FakeFleet(const std::string &address)
        : m_beside {HostRecord {HostId("beside"), RegionId("r"), ZoneId("z"), address}, HostState::Live}
    {
        State state;
        state.number = TicketNumber(1);
        Route route;
        route.id = RouteId("route");
        route.pathPrefix = "/";
        route.service = ServiceId("s");
        route.timeout = 4s;
        state.routes.edit().emplace(route.id, std::make_shared<const Route>(route));
        const Endpoint endpoint {EndpointId("e"), HostId("beside"), 80, 8};
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
        return m_isKnown && host == m_beside.record.host ? &m_beside : nullptr;
    }
    void removeHost()
    {
        m_isKnown = false;
    }

private:
    HostView m_beside;
    StatePtr m_state;
    bool m_isKnown = true;
};

NodeSettings settingsOf(const SocketAddress &self, std::uint16_t linkPort)
{
    NodeSettings settings;
    settings.self = {HostId("entry"), RegionId("r"), ZoneId("z"), self.ip};
    settings.linkPort = linkPort;
    return settings;
}

class EntrySideTest : public testing::Test
{
protected:
    Link::Handlers entryHandlers()
    {
        Link::Handlers handlers;
        handlers.onFrame = [](const std::shared_ptr<Link> &, FrameType, std::string_view) {
        };
        handlers.onUp = [this](const std::shared_ptr<Link> &link) {
            m_entry.onLinkUp(link);
        };
        handlers.onDown = [this](const std::shared_ptr<Link> &link, ResultCode reason) {
            m_entry.onLinkDown(link, reason);
        };
        return handlers;
    }

    /// The host beside the target takes calls and never answers.
    Link::Handlers besideHandlers()
    {
        Link::Handlers handlers;
        handlers.onFrame = [this](const std::shared_ptr<Link> &link, FrameType type, std::string_view) {
            m_opened += type == static_cast<FrameType>(CallFrame::Open) ? 1 : 0;
            m_besideLink = link;
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
    PauseDetector m_pauseGuard {PauseDetectorLimits {}, m_clock.now()};
    SocketAddress m_besideAddress = testAddress();
    SocketAddress m_callerAddress = testAddress();
    FakeFleet m_fleet {m_besideAddress.ip};
    NodeSettings m_settings = settingsOf(m_callerAddress, m_besideAddress.port);
    std::size_t m_opened = 0;
    std::shared_ptr<Link> m_besideLink;
    LinkPool m_beside {m_loop,          m_clock,         LinkIdentity {HostId("beside"), Incarnation(7)},
                       m_besideAddress, LinkSettings {}, besideHandlers()};
    LinkPool m_links {m_loop,        m_clock,         LinkIdentity {HostId("entry"), Incarnation(1)},
                      testAddress(), LinkSettings {}, entryHandlers()};
    TargetSide m_target {m_loop,
                         m_clock,
                         m_fleet,
                         m_fleet,
                         TargetSideIdentity {HostId("entry"), Incarnation(1), m_callerAddress.ip},
                         m_settings.calls,
                         m_metrics,
                         [](const EndpointId &, bool) {},
                         [] {
                             return std::size_t(0);
                         }};
    CallClient m_remote;
    EntrySide m_entry {
        EntryContext {m_loop, m_clock, m_pauseGuard, m_fleet, m_fleet, m_target, m_links, m_remote, m_metrics},
        m_settings, Incarnation(1), 1};
    HttpServer m_server {m_loop, m_callerAddress, HttpServerLimits {},
                         [this](const std::shared_ptr<HttpExchange> &exchange) { m_entry.handle(exchange); },
                         [](ResultCode) {
                         }};
    HttpClient m_http {m_loop};
    std::vector<unsigned> m_statuses;
};

} // namespace

// Their fate cannot be asked any more. Before, the loop asked for the link again without end and came to no deadline:
// the node hung, and this test with it.
TEST_F(EntrySideTest, CallsAtAHostThatLeftTheFleetEndAsUnknown)
{
    constexpr std::size_t Calls = 3;
    for (std::size_t i = 0; i < Calls; ++i) {
        call();
    }
    ASSERT_TRUE(runUntil(m_loop, [&] { return m_opened == Calls; }));
    m_fleet.removeHost();
    m_besideLink->close(ResultCode::LinkLost);
    ASSERT_TRUE(runUntil(m_loop, [&] { return m_statuses.size() == Calls; }));
    EXPECT_EQ(m_statuses, std::vector<unsigned>(Calls, 502));
}
