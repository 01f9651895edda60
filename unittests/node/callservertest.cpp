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
        handlers.onFrame = [this](const std::shared_ptr<Link> &, FrameType type, std::string_view payload) {
            m_heads += type == static_cast<FrameType>(CallFrame::Head) ? 1 : 0;
            if (type == static_cast<FrameType>(CallFrame::End)) {
                m_endCodes.push_back(decodeMessage<EndMessage>(payload, ResultCode::FrameMalformed).code);
            }
            if (type == static_cast<FrameType>(CallFrame::FenceReply)) {
                const auto reply = decodeMessage<FenceReplyMessage>(payload, ResultCode::FrameMalformed);
                m_fenceReplies.push_back(static_cast<FenceStatus>(reply.status));
            }
        };
        handlers.onUp = [](const std::shared_ptr<Link> &) {
        };
        handlers.onDown = [](const std::shared_ptr<Link> &, ResultCode) {
        };
        return handlers;
    }

    void open(std::uint64_t stream, bool isRepeatable = true)
    {
        OpenMessage open;
        open.stream = stream;
        open.attempt = {CallId {HostId("entry"), Incarnation(1), stream}, 1};
        open.peer = Incarnation(7);
        open.generation = LinkGeneration(1);
        open.remainingMs = 60'000;
        open.endpoint = EndpointId("e");
        open.repeatable = isRepeatable;
        open.method = "GET";
        open.target = "/";
        m_link->send(static_cast<FrameType>(CallFrame::Open), encodeMessage(open));
    }

    void pause(Duration length)
    {
        m_clock.advance(length);
        ASSERT_TRUE(m_pauseDetector.observe(m_clock.now()));
    }

    /// Runs the loop for longer than the node's interval between checks of deadlines, and than \p atLeast.
    void runTicks(Milliseconds atLeast)
    {
        constexpr Milliseconds Ticks {30};
        bool isOver = false;
        Timer timer(m_loop, [&] { isOver = true; });
        timer.start(atLeast + Ticks);
        ASSERT_TRUE(runUntil(m_loop, [&] { return isOver; }));
    }

    /// Has the target of a withheld request respond.
    void respond()
    {
        ASSERT_EQ(m_withheld.size(), 1U);
        m_withheld.front()->respond(200, {}, "x");
        ASSERT_TRUE(runUntil(m_loop, [&] { return !m_endCodes.empty(); }));
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
    ManualClock m_clock;
    Metrics m_metrics {m_clock};
    PauseDetector m_pauseDetector {PauseDetectorLimits {}, m_clock.now()};
    SocketAddress m_targetAddress = testAddress();
    SocketAddress m_targetHostAddress = testAddress();
    OneTargetFleet m_fleet {m_targetAddress};
    CallSettings m_settings;
    MemoryBudget m_memory {MemoryLimits::forMachine(ByteCount(88'000'000))};
    HttpServer m_target {m_loop, m_targetAddress, HttpServerLimits {},
                         [this](const std::shared_ptr<HttpExchange> &exchange) {
                             if (m_isWithholding) {
                                 m_withheld.push_back(exchange);
                                 return;
                             }
                             exchange->respond(200, {}, std::string(BodyBytes, 'x'));
                         },
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
                               m_memory,
                               [](const EndpointId &, bool) {},
                               [this] {
                                   return m_targetHost.queuedBytes();
                               }};
    CallServer m_server {m_targetProxy, m_clock, m_pauseDetector, 1 << 20, m_memory};
    LinkPool m_entry {m_loop,        m_clock,         LinkIdentity {HostId("entry"), Incarnation(1)},
                      testAddress(), LinkSettings {}, entryHandlers()};
    std::shared_ptr<Link> m_link = m_entry.connect(HostId("target-host"), m_targetHostAddress);
    std::size_t m_heads = 0;
    std::vector<std::uint32_t> m_endCodes;
    std::vector<FenceStatus> m_fenceReplies;
    bool m_isWithholding = false;
    std::vector<std::shared_ptr<HttpExchange>> m_withheld;
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

// The entry node ends the attempt when its caller stops waiting.
TEST_F(CallServerTest, AttemptReadAfterAPauseIsNotCutBeforeTheDeadlineOfItsCaller)
{
    m_isWithholding = true;
    pause(59s);
    open(1);
    ASSERT_TRUE(runUntil(m_loop, [&] { return m_withheld.size() == 1; }));
    m_clock.advance(59s);
    runTicks(0ms);
    respond();
    EXPECT_EQ(m_endCodes, std::vector<std::uint32_t> {0});
}

// The transfer from the target has a timeout of its own.
TEST_F(CallServerTest, TransferOfAttemptReadAfterAPauseIsNotCutBeforeTheDeadlineOfItsCaller)
{
    constexpr Milliseconds Left {50};
    m_isWithholding = true;
    pause(60s - Left);
    open(1);
    ASSERT_TRUE(runUntil(m_loop, [&] { return m_withheld.size() == 1; }));
    runTicks(Left * 2);
    respond();
    EXPECT_EQ(m_endCodes, std::vector<std::uint32_t> {0});
}

// The fence's stream has no body of its own; the attempt that it took over runs on.
TEST_F(CallServerTest, AttemptThatMayNotBeRepeatedOutlivesTheLinkOfItsFence)
{
    m_isWithholding = true;
    open(1, false);
    ASSERT_TRUE(runUntil(m_loop, [&] { return m_withheld.size() == 1; }));
    for (std::uint64_t generation = 2; generation <= 3; ++generation) {
        m_link->close(ResultCode::LinkLost);
        m_link = m_entry.connect(HostId("target-host"), m_targetHostAddress);
        const FenceMessage fence {
            generation, {CallId {HostId("entry"), Incarnation(1), 1}, 1}, Incarnation(7), LinkGeneration(generation)};
        m_fenceReplies.clear();
        m_link->send(static_cast<FrameType>(CallFrame::Fence), encodeMessage(fence));
        ASSERT_TRUE(runUntil(m_loop, [&] { return !m_fenceReplies.empty(); }));
        EXPECT_EQ(m_fenceReplies.front(), FenceStatus::Running) << generation;
    }
    respond();
    EXPECT_EQ(m_endCodes, std::vector<std::uint32_t> {0});
}
