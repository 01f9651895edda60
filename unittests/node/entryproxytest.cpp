// Responses to callers when the host of their target is removed or cuts the response, or when their node exits or
// pauses.
#include "jasminemast/node/entryproxy.h"

#include "jasminemast/node/nodedrain.h"

#include "../net/testpeer.h"
#include "onetargetfleet.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <thread>

using namespace jasminemast;
using namespace std::chrono_literals;

namespace
{

NodeSettings settingsOf(const SocketAddress &self, std::uint16_t linkPort)
{
    NodeSettings settings;
    settings.self = {HostId("entry"), RegionId("r"), ZoneId("z"), self.ip};
    settings.linkPort = linkPort;
    return settings;
}

/// First frame on a link.
std::string helloFrame(const std::string &host)
{
    constexpr std::uint32_t Version = 1;
    constexpr char HelloType = 1;
    const std::string payload = encodeMessage(Version) + encodeMessage(LinkIdentity {HostId(host), Incarnation(7)});
    const auto length = static_cast<std::uint32_t>(payload.size() + 1);
    return std::string(reinterpret_cast<const char *>(&length), sizeof(length)) + HelloType + payload;
}

class EntryProxyTest : public testing::Test
{
protected:
    Link::Handlers entryHandlers()
    {
        Link::Handlers handlers;
        handlers.onFrame = [this](const std::shared_ptr<Link> &link, FrameType type, std::string_view payload) {
            m_remote.onFrame(link, static_cast<CallFrame>(type), payload);
            m_headFrames += type == static_cast<FrameType>(CallFrame::Head) ? 1 : 0;
        };
        handlers.onUp = [this](const std::shared_ptr<Link> &link) {
            m_entryProxy.onLinkUp(link);
        };
        handlers.onDown = [this](const std::shared_ptr<Link> &link, ResultCode reason) {
            ++m_linksDown;
            m_entryProxy.onLinkDown(link, reason);
        };
        return handlers;
    }

    /// The target's node accepts calls and calls m_onOpen for each.
    Link::Handlers targetHostHandlers()
    {
        Link::Handlers handlers;
        handlers.onFrame = [this](const std::shared_ptr<Link> &link, FrameType type, std::string_view payload) {
            m_targetHostLink = link;
            if (type == static_cast<FrameType>(CallFrame::Open)) {
                ++m_openFrames;
                m_onOpen(decodeMessage<OpenMessage>(payload, ResultCode::FrameMalformed).stream);
            }
        };
        handlers.onUp = [](const std::shared_ptr<Link> &) {
        };
        handlers.onDown = [](const std::shared_ptr<Link> &, ResultCode) {
        };
        return handlers;
    }

    void call(HttpHeaders headers = {})
    {
        HttpClientRequest request;
        request.headers = std::move(headers);
        request.method = "POST";
        request.url = "http://" + m_callerAddress.toString() + "/";
        request.timeout = 30'000ms;
        m_http.fetch(
            std::move(request),
            [this](const HttpClientResult &result, unsigned status, const HttpHeaders &, const std::string &body) {
                m_statuses.push_back(result.code == ResultCode::Ok ? status : 0);
                m_body = body;
            });
    }

    /// Sends the head of a response to the first call, whose body is still queued.
    void sendHead()
    {
        HeadMessage head;
        head.stream = 1;
        head.status = 200;
        head.length = BodyBytes;
        m_targetHostLink->send(static_cast<FrameType>(CallFrame::Head), encodeMessage(head));
    }

    void sendBody()
    {
        m_targetHostLink->sendBulk(StreamId(1), static_cast<FrameType>(CallFrame::Data),
                                   encodeDataFrame(1, std::string(BodyBytes, 'x')));
        m_targetHostLink->sendBulk(StreamId(1), static_cast<FrameType>(CallFrame::End),
                                   encodeMessage(EndMessage {1, 0, ""}));
    }

    void pause(Duration length)
    {
        m_clock.advance(length);
        ASSERT_TRUE(m_pauseDetector.observe(m_clock.now()));
    }

    /// Moves the clock and has the node check the deadlines of its calls.
    void advanceAndTick(Duration step)
    {
        m_clock.advance(step);
        bool isOver = false;
        Timer timer(m_loop, [&] { isOver = true; });
        timer.start(TickInterval * 3);
        ASSERT_TRUE(runUntil(m_loop, [&] { return isOver; }));
    }

    static constexpr std::size_t BodyBytes = 1'000;
    static constexpr Milliseconds TickInterval {10}; ///< at least that of the node

    Loop m_loop;
    ManualClock m_clock;
    Metrics m_metrics {m_clock};
    PauseDetector m_pauseDetector {PauseDetectorLimits {}, m_clock.now()};
    SocketAddress m_targetHostAddress = testAddress();
    SocketAddress m_callerAddress = testAddress();
    OneTargetFleet m_fleet {SocketAddress {m_targetHostAddress.ip, 80}};
    NodeSettings m_settings = settingsOf(m_callerAddress, m_targetHostAddress.port);
    std::size_t m_openFrames = 0;
    std::size_t m_headFrames = 0;
    std::size_t m_linksDown = 0;
    std::shared_ptr<Link> m_targetHostLink;
    std::function<void(std::uint64_t stream)> m_onOpen = [](std::uint64_t /*stream*/) {
    };
    LinkPool m_targetHost {m_loop,
                           m_clock,
                           LinkIdentity {HostId("target-host"), Incarnation(7)},
                           m_targetHostAddress,
                           LinkSettings {},
                           targetHostHandlers()};
    LinkPool m_links {m_loop,        m_clock,         LinkIdentity {HostId("entry"), Incarnation(1)},
                      testAddress(), LinkSettings {}, entryHandlers()};
    MemoryBudget m_memory {MemoryLimits::forMachine(ByteCount(88'000'000))};
    TargetProxy m_targetProxy {m_loop,
                               m_clock,
                               m_fleet,
                               m_fleet,
                               TargetProxyIdentity {HostId("entry"), Incarnation(1), m_callerAddress.ip},
                               m_settings.calls,
                               m_metrics,
                               m_memory,
                               [](const EndpointId &, bool) {},
                               [] {
                                   return std::size_t(0);
                               }};
    CallClient m_remote {m_loop};
    EntryProxy m_entryProxy {
        EntryContext {m_loop, m_clock, m_pauseDetector, m_fleet, m_fleet, m_targetProxy, m_links, m_remote, m_metrics},
        m_settings, Incarnation(1), 1};
    HttpServer m_server {m_loop, m_callerAddress, HttpServerLimits {},
                         [this](const std::shared_ptr<HttpExchange> &exchange) { m_entryProxy.handle(exchange); },
                         [](ResultCode) {
                         }};
    HttpClient m_http {m_loop};
    std::vector<unsigned> m_statuses; ///< 0: the connection broke
    std::string m_body;
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

TEST_F(EntryProxyTest, ResponseCutBeforeItsFirstByteWasForwardedBecomesAFailureResponse)
{
    m_onOpen = [this](std::uint64_t stream) {
        HeadMessage head;
        head.stream = stream;
        head.status = 200;
        head.length = 10;
        m_targetHostLink->send(static_cast<FrameType>(CallFrame::Head), encodeMessage(head));
        const auto code = static_cast<std::uint32_t>(number(ResultCode::AnswerCut));
        m_targetHostLink->send(static_cast<FrameType>(CallFrame::End), encodeMessage(EndMessage {stream, code, ""}));
    };
    call();
    ASSERT_TRUE(runUntil(m_loop, [&] { return !m_statuses.empty(); }));
    EXPECT_EQ(m_statuses, std::vector<unsigned> {502}) << "a connection that is closed has status 0";
}

class HeadStatusTest : public EntryProxyTest, public testing::WithParamInterface<unsigned>
{
};

// No target sends such a status; the caller would get a failure that bears the target's headers and another status.
TEST_P(HeadStatusTest, StatusThatNoResponseHasClosesTheLink)
{
    m_onOpen = [this](std::uint64_t stream) {
        HeadMessage head;
        head.stream = stream;
        head.status = GetParam();
        head.headers = {{"X-Seal", "s"}};
        head.length = BodyBytes;
        m_targetHostLink->send(static_cast<FrameType>(CallFrame::Head), encodeMessage(head));
    };
    call();
    EXPECT_TRUE(runUntil(m_loop, [&] { return m_linksDown > 0 || !m_statuses.empty(); }));
    EXPECT_EQ(m_linksDown, 1U);
    EXPECT_TRUE(m_statuses.empty()) << "its outcome is asked for over a new link";
}

INSTANTIATE_TEST_SUITE_P(EveryRange, HeadStatusTest, testing::Values(0, 99, 100, 199, 600, 65'000));

// Nothing else would end them before the process does.
TEST_F(EntryProxyTest, EndsCallsThatWaitForATicketWhenTheNodeExits)
{
    call({{"Jasminemast-Ticket", "2"}});
    ASSERT_TRUE(runUntil(m_loop, [&] { return m_entryProxy.openCalls() == 1; }));
    m_entryProxy.limitDeadlines(m_clock.now(), 0ms);
    EXPECT_TRUE(runUntil(m_loop, [&] { return !m_statuses.empty(); }));
    EXPECT_EQ(m_statuses, std::vector<unsigned> {503});
    EXPECT_EQ(m_entryProxy.openCalls(), 0U);
}

// Heads overtake bodies, and once the caller has one, its response can only break off.
TEST_F(EntryProxyTest, AnswersCallWhoseBodyHasNotBegunWhenTheNodeExits)
{
    call();
    ASSERT_TRUE(runUntil(m_loop, [&] { return m_openFrames == 1; }));
    m_entryProxy.limitDeadlines(m_clock.now() + 60s, 0ms);
    sendHead();
    ASSERT_TRUE(runUntil(m_loop, [&] { return m_headFrames == 1; }));
    m_entryProxy.limitDeadlines(m_clock.now(), 0ms);
    ASSERT_TRUE(runUntil(m_loop, [&] { return !m_statuses.empty(); }));
    EXPECT_EQ(m_statuses, std::vector<unsigned> {504});
}

// A request on a kept connection was read late in the drain and passed on, and its call was cut at the exit (LOST).
TEST_F(EntryProxyTest, DrainingNodeRefusesLateCallThatMayOutlastIt)
{
    const NodeDrain drain({0ms, 500ms, 5'000ms, 250ms}, m_clock.now());
    m_entryProxy.setAdmission([&](const CallForecast &call) { return drain.acceptsCall(call, m_clock.now()); });
    m_entryProxy.limitDeadlines(drain.latestDeadline(), 0ms);
    m_entryProxy.beginDrain();
    call({{"Jasminemast-Deadline-Ms", "4000"}});
    ASSERT_TRUE(runUntil(m_loop, [&] { return m_openFrames == 1; })) << "the caller cannot know yet";
    m_clock.advance(4'200ms);
    call({{"Jasminemast-Deadline-Ms", "3800"}});
    EXPECT_TRUE(runUntil(m_loop, [&] { return !m_statuses.empty(); }));
    EXPECT_EQ(m_statuses, std::vector<unsigned> {503});
    EXPECT_EQ(m_openFrames, 1U);
    EXPECT_THAT(m_body, testing::HasSubstr("4025"));
    call({{"Jasminemast-Deadline-Ms", "300"}});
    EXPECT_TRUE(runUntil(m_loop, [&] { return m_openFrames == 2; })) << "it ends before the exit";
}

// The caller cannot know of the drain yet, but calls of its route take longer than the node has left.
TEST_F(EntryProxyTest, DrainingNodeRefusesCallWhoseResponseMayNotBeSentBeforeTheExit)
{
    call();
    ASSERT_TRUE(runUntil(m_loop, [&] { return m_openFrames == 1; }));
    m_clock.advance(3s);
    sendHead();
    sendBody();
    ASSERT_TRUE(runUntil(m_loop, [&] { return !m_statuses.empty(); }));
    ASSERT_EQ(m_statuses, std::vector<unsigned> {200}) << "it took 3 s";
    const NodeDrain drain({0ms, 2'400ms, 5'500ms, 250ms}, m_clock.now());
    m_entryProxy.setAdmission([&](const CallForecast &call) { return drain.acceptsCall(call, m_clock.now()); });
    m_entryProxy.limitDeadlines(drain.latestDeadline(), 0ms);
    m_entryProxy.beginDrain();
    m_clock.advance(2'340ms);
    m_statuses.clear();
    call({{"Jasminemast-Deadline-Ms", "8000"}});
    EXPECT_TRUE(runUntil(m_loop, [&] { return !m_statuses.empty(); }));
    EXPECT_EQ(m_statuses, std::vector<unsigned> {503}) << "3.16 s are left";
    EXPECT_EQ(m_openFrames, 1U);
    EXPECT_THAT(m_body, testing::HasSubstr("4025"));
}

TEST_F(EntryProxyTest, DrainingNodeForwardsResponseCompletely)
{
    call();
    ASSERT_TRUE(runUntil(m_loop, [&] { return m_openFrames == 1; }));
    m_entryProxy.limitDeadlines(m_clock.now() + 60s, 0ms);
    sendHead();
    sendBody();
    ASSERT_TRUE(runUntil(m_loop, [&] { return !m_statuses.empty(); }));
    EXPECT_EQ(m_statuses, std::vector<unsigned> {200});
    EXPECT_EQ(m_body.size(), BodyBytes);
}

// A request that is read after a pause may have arrived just before.
TEST_F(EntryProxyTest, ResponseToRequestReadAfterAPauseIsNotCutBeforeTheDeadlineOfItsCaller)
{
    pause(3s);
    call();
    ASSERT_TRUE(runUntil(m_loop, [&] { return m_openFrames == 1; }));
    sendHead();
    ASSERT_TRUE(runUntil(m_loop, [&] { return m_headFrames == 1; }));
    advanceAndTick(3s);
    sendBody();
    ASSERT_TRUE(runUntil(m_loop, [&] { return !m_statuses.empty(); }));
    EXPECT_EQ(m_statuses, std::vector<unsigned> {200}) << "a connection that is closed has status 0";
    EXPECT_EQ(m_body.size(), BodyBytes);
}

// The target may still be at work for a caller that waits.
TEST_F(EntryProxyTest, CallReadAfterAPauseIsNotFailedBeforeTheDeadlineOfItsCaller)
{
    pause(3s);
    call();
    ASSERT_TRUE(runUntil(m_loop, [&] { return m_openFrames == 1; }));
    advanceAndTick(3s);
    sendHead();
    sendBody();
    ASSERT_TRUE(runUntil(m_loop, [&] { return !m_statuses.empty(); }));
    EXPECT_EQ(m_statuses, std::vector<unsigned> {200});
}

TEST_F(EntryProxyTest, AttemptIsSentOnALinkWhosePeerRespondedDuringAPause)
{
    m_targetHost.stopAccepting();
    TestListener listener(m_targetHostAddress);
    call();
    Descriptor accepted;
    ASSERT_TRUE(runUntil(m_loop, [&] {
        accepted = accepted.isOpen() ? std::move(accepted) : listener.accept();
        return accepted.isOpen();
    }));
    TestPeer peer(std::move(accepted));
    ASSERT_GT(peer.write(helloFrame("target-host")), 0U);
    m_clock.advance(EntryLimits {}.connectTimeout + 1ms);
    std::this_thread::sleep_for(TickInterval * 3); // the node's check of its calls is due
    ASSERT_TRUE(runUntil(m_loop, [&] { return peer.received("POST"); }));
    EXPECT_EQ(m_metrics.countedTotal(Counter::CallRetries), 0U);
}
