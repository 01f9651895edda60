// Responses that a target's node sends over links.
#include "jasminemast/node/callserver.h"

#include "../net/testpeer.h"
#include "onetargetfleet.h"

#include "jasminemast/net/httpserver.h"
#include "jasminemast/net/linkpool.h"

#include <gtest/gtest.h>

using namespace jasminemast;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t BodyBytes = 120'000;
/// Lets the burst pass and almost nothing else.
constexpr ByteRate SlowRate {1};

class CallServerTest : public testing::Test
{
protected:
    Link::Handlers targetHostHandlers()
    {
        Link::Handlers handlers;
        handlers.onFrame = [this](const std::shared_ptr<Link> &link, FrameType type, std::string_view payload) {
            m_server.onFrame(link, static_cast<CallFrame>(type), payload);
        };
        handlers.onUp = [](const std::shared_ptr<Link> &) {
        };
        handlers.onDown = [this](const std::shared_ptr<Link> &link, ResultCode) {
            m_server.onLinkDown(link);
        };
        return handlers;
    }

    Link::Handlers entryHandlers()
    {
        Link::Handlers handlers;
        handlers.onFrame = [this](const std::shared_ptr<Link> &, FrameType type, std::string_view) {
            m_heads += type == static_cast<FrameType>(CallFrame::Head) ? 1 : 0;
        };
        handlers.onUp = [](const std::shared_ptr<Link> &) {
        };
        handlers.onDown = [](const std::shared_ptr<Link> &, ResultCode) {
        };
        return handlers;
    }

    void open(std::uint64_t stream)
    {
        OpenMessage open;
        open.stream = stream;
        open.attempt = {CallId {HostId("entry"), Incarnation(1), stream}, 1};
        open.peer = Incarnation(7);
        open.generation = LinkGeneration(1);
        open.remainingMs = 60'000;
        open.endpoint = EndpointId("e");
        open.repeatable = true;
        open.method = "GET";
        open.target = "/";
        m_link->send(static_cast<FrameType>(CallFrame::Open), encodeMessage(open));
    }

    /// True once the target has finished all responses and some of their bytes are queued.
    bool areResponsesQueued(std::size_t responses)
    {
        return runUntil(m_loop, [&] {
            return m_heads == responses && m_targetProxy.core().accepted() == 0
                && m_targetHost.queuedBytes() > responses * BodyBytes / 2;
        });
    }

    Loop m_loop;
    SystemClock m_clock;
    Metrics m_metrics {m_clock};
    PauseDetector m_pauseDetector {PauseDetectorLimits {}, m_clock.now()};
    SocketAddress m_targetAddress = testAddress();
    SocketAddress m_targetHostAddress = testAddress();
    OneTargetFleet m_fleet {m_targetAddress};
    CallSettings m_settings;
    HttpServer m_target {
        m_loop, m_targetAddress, HttpServerLimits {},
        [](const std::shared_ptr<HttpExchange> &exchange) { exchange->respond(200, {}, std::string(BodyBytes, 'x')); },
        [](ResultCode) {
        }};
    LinkPool m_targetHost {m_loop,
                           m_clock,
                           LinkIdentity {HostId("target-host"), Incarnation(7)},
                           m_targetHostAddress,
                           LinkSettings {500ms, 1'500ms, 30'000ms, SlowRate},
                           targetHostHandlers()};
    TargetProxy m_targetProxy {m_loop,
                               m_clock,
                               m_fleet,
                               m_fleet,
                               TargetProxyIdentity {HostId("target-host"), Incarnation(7), m_targetAddress.ip},
                               m_settings,
                               m_metrics,
                               [](const EndpointId &, bool) {},
                               [this] {
                                   return m_targetHost.queuedBytes();
                               }};
    CallServer m_server {m_targetProxy, m_clock, m_pauseDetector, 1 << 20};
    LinkPool m_entry {m_loop,        m_clock,         LinkIdentity {HostId("entry"), Incarnation(1)},
                      testAddress(), LinkSettings {}, entryHandlers()};
    std::shared_ptr<Link> m_link = m_entry.connect(HostId("target-host"), m_targetHostAddress);
    std::size_t m_heads = 0;
};

} // namespace

TEST_F(CallServerTest, CancelledResponseLeavesTheSendQueueAfterItsTargetHasFinished)
{
    open(1);
    open(2);
    ASSERT_TRUE(areResponsesQueued(2));
    for (const std::uint64_t stream : {1, 2}) {
        m_link->send(static_cast<FrameType>(CallFrame::Cancel), encodeMessage(CancelMessage {stream}));
    }
    EXPECT_TRUE(runUntil(m_loop, [&] { return m_targetHost.queuedBytes() == 0; }))
        << m_targetHost.queuedBytes() << " bytes are queued for nobody";
}
