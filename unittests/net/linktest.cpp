// Links with malformed, silent and replaced peers, and the order in which frames are sent.
#include "jasminemast/net/linkpool.h"

#include "testpeer.h"

#include "jasminemast/support/archive.h"
#include "jasminemast/support/random.h"

#include <gtest/gtest.h>

#include <cstring>
#include <thread>

namespace jasminemast
{
namespace
{

using std::chrono_literals::operator""ms;

constexpr FrameType HelloType = 1;
constexpr FrameType HeartbeatType = 2;
constexpr FrameType UserType = 20;
constexpr FrameType BulkType = 21;

std::string frame(FrameType type, std::string_view payload)
{
    const auto length = static_cast<std::uint32_t>(payload.size() + 1);
    std::string bytes(reinterpret_cast<const char *>(&length), sizeof(length));
    bytes.push_back(static_cast<char>(type));
    return bytes.append(payload);
}

std::string hello(const std::string &host, std::uint32_t version = 1)
{
    return frame(HelloType, encodeMessage(version) + encodeMessage(LinkIdentity {HostId(host), Incarnation(1)}));
}

/// The types of the complete frames in \p bytes.
std::vector<FrameType> frameTypes(std::string_view bytes)
{
    std::vector<FrameType> types;
    std::uint32_t length = 0;
    while (bytes.size() >= sizeof(length)) {
        std::memcpy(&length, bytes.data(), sizeof(length));
        if (bytes.size() < sizeof(length) + length) {
            break;
        }
        types.push_back(static_cast<FrameType>(bytes[sizeof(length)]));
        bytes.remove_prefix(sizeof(length) + length);
    }
    return types;
}

class LinkTest : public testing::Test
{
protected:
    std::unique_ptr<LinkPool> makePool(const std::string &host, const SocketAddress &address,
                                       Milliseconds idleLimit = 30'000ms)
    {
        return makePool(host, address, m_clock, idleLimit);
    }

    std::unique_ptr<LinkPool> makePool(const std::string &host, const SocketAddress &address, const Clock &clock,
                                       Milliseconds idleLimit, ByteRate rate = ByteRate(0))
    {
        Link::Handlers handlers;
        handlers.onFrame = [this](const std::shared_ptr<Link> &, FrameType, std::string_view payload) {
            m_frames.emplace_back(payload);
        };
        handlers.onUp = [this](const std::shared_ptr<Link> &link) {
            m_up.push_back(link);
        };
        handlers.onDown = [this](const std::shared_ptr<Link> &, ResultCode reason) {
            m_down.push_back(reason);
        };
        return std::make_unique<LinkPool>(m_loop, clock, LinkIdentity {HostId(host), Incarnation(5)}, address,
                                          LinkSettings {20ms, 60ms, idleLimit, rate}, handlers);
    }

    /// Runs the loop, advancing the test's clock by a millisecond for each check, until \p done holds.
    bool runTicking(const std::function<bool()> &done)
    {
        return runUntil(m_loop, [&] {
            m_clock.advance(1ms);
            return done();
        });
    }

    Loop m_loop;
    ManualClock m_clock;
    std::vector<std::string> m_frames;
    std::vector<std::shared_ptr<Link>> m_up;
    std::vector<ResultCode> m_down;
    SocketAddress m_address = testAddress();
};

struct MalformedBytes
{
    const char *name;
    std::string bytes;
    ResultCode code;
};

TEST_F(LinkTest, RefusesMalformedBytes)
{
    const std::string huge = "\xff\xff\xff\x7f";
    const std::vector<MalformedBytes> table = {
        {"frame before the hello", frame(UserType, "x"), ResultCode::FrameMalformed},
        {"empty frame", std::string(4, '\0'), ResultCode::FrameTooLarge},
        {"oversized frame", huge + "x", ResultCode::FrameTooLarge},
        {"truncated hello", frame(HelloType, "\1\0\0"), ResultCode::FrameMalformed},
        {"hello with trailing bytes", frame(HelloType, hello("h2").substr(5) + "x"), ResultCode::FrameMalformed},
        {"hello of another version", hello("h2", 2), ResultCode::FrameMalformed},
        {"hello without a host", hello(""), ResultCode::FrameMalformed},
        {"second hello", hello("h2") + hello("h2"), ResultCode::FrameMalformed},
        {"text", "GET / HTTP/1.1\r\n\r\n", ResultCode::FrameTooLarge},
    };
    const auto pool = makePool("h1", m_address);
    for (const MalformedBytes &input : table) {
        SCOPED_TRACE(input.name);
        m_down.clear();
        TestPeer peer(m_address);
        runUntil(m_loop, [&] { return peer.write(input.bytes) > 0; });
        EXPECT_TRUE(runUntil(m_loop, [&] { return !m_down.empty() && peer.isClosed(); }));
        EXPECT_EQ(m_down, std::vector<ResultCode> {input.code});
        EXPECT_EQ(pool->size(), 0U);
    }
    EXPECT_TRUE(m_frames.empty());
}

TEST_F(LinkTest, DoesNotDeliverTruncatedFrame)
{
    const auto pool = makePool("h1", m_address);
    TestPeer peer(m_address);
    const std::string completeFrame = frame(UserType, "complete");
    runUntil(m_loop, [&] {
        return peer.write(hello("h2") + completeFrame + completeFrame.substr(0, completeFrame.size() - 1)) > 0;
    });
    ASSERT_TRUE(runUntil(m_loop, [&] { return m_frames.size() == 1; }));
    peer.close();
    EXPECT_TRUE(runUntil(m_loop, [&] { return !m_down.empty(); }));
    EXPECT_EQ(m_frames, std::vector<std::string> {"complete"});
}

TEST_F(LinkTest, SurvivesRandomBytes)
{
    const auto pool = makePool("h1", m_address);
    Random random(11);
    for (int i = 0; i < 100; ++i) {
        std::string bytes = i % 2 == 0 ? "" : hello("h2");
        for (std::uint64_t length = 1 + random.nextBelow(300); length > 0; --length) {
            bytes.push_back(static_cast<char>(random.nextBelow(i % 4 == 1 ? 3 : 256)));
        }
        TestPeer peer(m_address);
        runUntil(m_loop, [&] { return peer.write(bytes) > 0; });
        peer.close();
    }
    EXPECT_TRUE(runUntil(m_loop, [&] { return pool->size() == 0; }));
}

TEST_F(LinkTest, RefusesWrongPeer)
{
    TestListener listener(m_address);
    const auto pool = makePool("h1", testAddress());
    const auto link = pool->connect(HostId("h2"), m_address);
    TestPeer peer = acceptPeer(m_loop, listener);
    peer.write(hello("h3"));
    EXPECT_TRUE(runUntil(m_loop, [&] { return !m_down.empty(); }));
    EXPECT_EQ(m_down, std::vector<ResultCode> {ResultCode::LinkWrongPeer});
}

TEST_F(LinkTest, ReportsInvalidAddressAndReplacesLink)
{
    const auto pool = makePool("h1", m_address);
    const auto first = pool->connect(HostId("h2"), {"not-an-ip", 1});
    first->send(UserType, "x");
    EXPECT_TRUE(runUntil(m_loop, [&] { return !m_down.empty(); }));
    EXPECT_EQ(m_down, std::vector<ResultCode> {ResultCode::AddressInvalid});
    EXPECT_NE(pool->connect(HostId("h2"), m_address), first);
}

TEST_F(LinkTest, ConnectsToNewAddressOfMovedHost)
{
    TestListener oldListener(m_address);
    const SocketAddress newAddress = testAddress();
    TestListener newListener(newAddress);
    const auto pool = makePool("h1", testAddress());
    const auto first = pool->connect(HostId("h2"), m_address);
    EXPECT_EQ(pool->connect(HostId("h2"), m_address), first);
    EXPECT_NE(pool->connect(HostId("h2"), newAddress), first);
    EXPECT_TRUE(runUntil(m_loop, [&] { return newListener.accept().isOpen(); }));
}

/// A peer that sends nothing after its hello.
class SilentPeerTest : public LinkTest, public testing::WithParamInterface<bool>
{
};

TEST_P(SilentPeerTest, ClosesAndReplacesLinkToSilentPeer)
{
    const bool isRetained = GetParam();
    TestListener listener(m_address);
    const auto pool = makePool("h1", testAddress());
    const auto link = pool->connect(HostId("h2"), m_address);
    TestPeer peer = acceptPeer(m_loop, listener);
    peer.write(hello("h2"));
    ASSERT_TRUE(runUntil(m_loop, [&] { return link->isUp(); }));
    if (isRetained) {
        link->retain();
    } else {
        link->send(UserType, "question");
    }
    EXPECT_TRUE(runTicking([&] { return !m_down.empty(); }));
    EXPECT_EQ(m_down, std::vector<ResultCode> {ResultCode::LinkSilent});
    EXPECT_NE(pool->connect(HostId("h2"), m_address), link);
}

INSTANTIATE_TEST_SUITE_P(RetainedOrRequested, SilentPeerTest, testing::Bool());

TEST_F(LinkTest, RetainedLinkToRespondingPeerStaysUp)
{
    constexpr Milliseconds IdleLimit {200};
    const auto server = makePool("h2", m_address, IdleLimit);
    const auto client = makePool("h1", testAddress(), IdleLimit);
    const auto link = client->connect(HostId("h2"), m_address);
    link->retain();
    ASSERT_TRUE(runUntil(m_loop, [&] { return m_up.size() == 2; }));
    const TimePoint end = m_clock.now() + 3 * IdleLimit;
    EXPECT_TRUE(runTicking([&] { return m_clock.now() > end; }));
    EXPECT_TRUE(m_down.empty());
}

TEST_F(LinkTest, PauseOfThisProcessIsNotSilenceOfPeer)
{
    const ManualClock serverClock;
    const auto server = makePool("h2", m_address, serverClock, 30'000ms);
    const auto client = makePool("h1", testAddress());
    const auto link = client->connect(HostId("h2"), m_address);
    link->retain();
    ASSERT_TRUE(runUntil(m_loop, [&] { return m_up.size() == 2; }));
    m_clock.advance(std::chrono::hours(1));
    const TimePoint end = m_clock.now() + 100ms;
    EXPECT_TRUE(runTicking([&] { return m_clock.now() > end; }));
    EXPECT_TRUE(m_down.empty());
}

TEST_F(LinkTest, ClosesUnretainedIdleLink)
{
    const auto server = makePool("h2", m_address);
    const auto client = makePool("h1", testAddress());
    client->connect(HostId("h2"), m_address);
    ASSERT_TRUE(runUntil(m_loop, [&] { return m_up.size() == 2; }));
    m_clock.advance(std::chrono::minutes(1));
    EXPECT_TRUE(runTicking([&] { return m_down.size() == 2; }));
    EXPECT_NE(std::find(m_down.begin(), m_down.end(), ResultCode::LinkIdle), m_down.end());
}

TEST_F(LinkTest, FrameThatArrivedDuringAPauseIsReadBeforeAnIdleLinkIsClosed)
{
    constexpr Milliseconds IdleLimit {500};
    const auto pool = makePool("h1", m_address, IdleLimit);
    TestPeer peer(m_address);
    runUntil(m_loop, [&] { return peer.write(hello("h2")) > 0; });
    ASSERT_TRUE(runUntil(m_loop, [&] { return m_up.size() == 1; }));
    m_clock.advance(IdleLimit + 1ms);
    peer.write(frame(UserType, "sent during the pause"));
    std::this_thread::sleep_for(50ms); // the pool's check of its links is due
    EXPECT_TRUE(runUntil(m_loop, [&] { return !m_frames.empty() || !m_down.empty(); }));
    EXPECT_EQ(m_frames.size(), 1U);
    EXPECT_TRUE(m_down.empty());
}

TEST_F(LinkTest, SendsUrgentFramesFirstAndBulkStreamsRoundRobin)
{
    constexpr int SmallBufferBytes = 8'192;
    constexpr std::size_t PayloadBytes = 16'000;
    constexpr int FrameCount = 500;
    TestListener listener(m_address, SmallBufferBytes);
    const auto pool = makePool("h1", testAddress());
    const auto link = pool->connect(HostId("h2"), m_address);
    TestPeer peer = acceptPeer(m_loop, listener);
    peer.write(hello("h2"));
    ASSERT_TRUE(runUntil(m_loop, [&] { return link->isUp(); }));
    for (int i = 0; i < FrameCount; ++i) {
        link->sendBulk(StreamId(1), BulkType, std::string(PayloadBytes, '1'));
    }
    int ticks = 0;
    runUntil(m_loop, [&] { return ++ticks > 20; });
    link->sendBulk(StreamId(2), BulkType + 1, "short");
    link->send(UserType, "urgent");
    ASSERT_TRUE(runUntil(m_loop, [&] {
        const auto types = frameTypes(peer.read());
        return std::count(types.begin(), types.end(), BulkType) == FrameCount;
    }));
    const auto types = frameTypes(peer.read());
    const auto urgent = std::find(types.begin(), types.end(), UserType) - types.begin();
    const auto otherStream = std::find(types.begin(), types.end(), BulkType + 1) - types.begin();
    EXPECT_LT(urgent, FrameCount / 10);
    EXPECT_LT(otherStream, FrameCount / 10);
}

TEST_F(LinkTest, DroppedStreamSendsNothing)
{
    const auto server = makePool("h2", m_address);
    const auto client = makePool("h1", testAddress());
    const auto link = client->connect(HostId("h2"), m_address);
    link->sendBulk(StreamId(1), BulkType, "dropped");
    link->sendBulk(StreamId(2), BulkType, "sent");
    link->dropBulk(StreamId(1));
    EXPECT_TRUE(runUntil(m_loop, [&] { return !m_frames.empty(); }));
    EXPECT_EQ(m_frames, std::vector<std::string> {"sent"});
}

// The process used to exit with these bytes in its send buffer; unread bytes of the peer then reset the connection.
TEST_F(LinkTest, FinishedLinkDeliversWhatWasSentToASlowPeer)
{
    constexpr int SmallBufferBytes = 8'192;
    constexpr std::size_t PayloadBytes = 16'000;
    constexpr int FrameCount = 10;
    TestListener listener(m_address, SmallBufferBytes);
    const auto pool = makePool("h1", testAddress());
    const auto link = pool->connect(HostId("h2"), m_address);
    TestPeer peer = acceptPeer(m_loop, listener);
    peer.write(hello("h2"));
    ASSERT_TRUE(runUntil(m_loop, [&] { return link->isUp(); }));
    for (int i = 0; i < FrameCount; ++i) {
        link->sendBulk(StreamId(1), BulkType, std::string(PayloadBytes, '1'));
    }
    ASSERT_TRUE(runUntil(m_loop, [&] { return peer.received("1"); }));
    peer.write(frame(HeartbeatType, ""));
    pool->finishSending();
    link->sendBulk(StreamId(1), BulkType, "too late");
    EXPECT_TRUE(runUntil(m_loop, [&] { return peer.isClosed(); }));
    const auto types = frameTypes(peer.read());
    EXPECT_EQ(std::count(types.begin(), types.end(), BulkType), FrameCount);
    EXPECT_EQ(pool->finishingLinks(), 1U) << "the peer has not closed its end";
    peer.close();
    EXPECT_TRUE(runUntil(m_loop, [&] { return pool->finishingLinks() == 0; }));
}

TEST_F(LinkTest, FailedSendKeepsFramesThatThePeerSentBefore)
{
    TestListener listener(m_address);
    const auto pool = makePool("h1", testAddress());
    const auto link = pool->connect(HostId("h2"), m_address);
    TestPeer peer = acceptPeer(m_loop, listener);
    peer.write(hello("h2"));
    ASSERT_TRUE(runUntil(m_loop, [&] { return link->isUp(); }));
    link->send(UserType, "unread");
    int ticks = 0;
    runUntil(m_loop, [&] { return ++ticks > 5; });
    peer.write(frame(UserType, "response"));
    peer.close(); // resets the connection, since "unread" is unread
    link->send(UserType, "request");
    EXPECT_TRUE(runUntil(m_loop, [&] { return !m_down.empty(); }));
    EXPECT_EQ(m_frames, std::vector<std::string> {"response"});
}

TEST_F(LinkTest, KnowsThePeersFeaturesOnceItIsUp)
{
    const auto server = makePool("h2", m_address);
    const auto pool = makePool("h1", testAddress());
    pool->connect(HostId("h2"), m_address);
    ASSERT_TRUE(runUntil(m_loop, [&] { return m_up.size() == 2; }));
    for (const auto &link : m_up) {
        EXPECT_TRUE(link->peerSupports(LinkFeature::Uploads)) << link->peer().host;
    }
}

// Earlier versions send no features, and read no payload in what carries those of this node.
TEST_F(LinkTest, PeerOfAnEarlierVersionHasNoFeatures)
{
    constexpr FrameType HeartbeatAckType = 3;
    TestListener listener(m_address);
    const auto pool = makePool("h1", testAddress());
    const auto link = pool->connect(HostId("h2"), m_address);
    TestPeer peer = acceptPeer(m_loop, listener);
    peer.write(hello("h2") + frame(UserType, "first"));
    EXPECT_TRUE(runUntil(m_loop, [&] { return !m_frames.empty(); }));
    EXPECT_EQ(m_up.size(), 1U) << "up before the first frame of a user";
    EXPECT_FALSE(link->peerSupports(LinkFeature::Uploads));
    EXPECT_TRUE(runUntil(m_loop, [&] { return frameTypes(peer.read()).size() == 2; }));
    EXPECT_EQ(frameTypes(peer.read()), (std::vector<FrameType> {HelloType, HeartbeatAckType}));
}

TEST_F(LinkTest, PacesBulkFramesButNotUrgentFrames)
{
    constexpr ByteRate Rate {1'000'000};
    constexpr int FrameCount = 100;
    const std::string body(16'000, '1');
    const auto server = makePool("h2", m_address);
    const auto pool = makePool("h1", testAddress(), m_clock, 30'000ms, Rate);
    const auto link = pool->connect(HostId("h2"), m_address);
    ASSERT_TRUE(runUntil(m_loop, [&] { return link->isUp(); }));
    for (int i = 0; i < FrameCount; ++i) {
        link->sendBulk(StreamId(1), BulkType, body);
    }
    int ticks = 0;
    runUntil(m_loop, [&] { return ++ticks > 20; });
    link->send(UserType, "urgent");
    const auto received = [this](const std::string &payload) {
        return std::count(m_frames.begin(), m_frames.end(), payload);
    };
    // The clock does not advance, so only the burst and the urgent frame are sent.
    ASSERT_TRUE(runUntil(m_loop, [&] { return received("urgent") == 1; }));
    EXPECT_LE(received(body), 4);
    const TimePoint start = m_clock.now();
    ASSERT_TRUE(runTicking([&] { return received(body) == FrameCount; }));
    EXPECT_GT(m_clock.now() - start, 1'500ms);
}

// The limit of bytes queued for slow readers depends on this count.
TEST_F(LinkTest, CountsQueuedBytesUntilSentDroppedOrClosed)
{
    constexpr std::size_t PayloadBytes = 16'000;
    const auto server = makePool("h2", m_address);
    const auto pool = makePool("h1", testAddress(), m_clock, 30'000ms, ByteRate(1'000'000));
    const auto link = pool->connect(HostId("h2"), m_address);
    for (int i = 0; i < 100; ++i) {
        link->sendBulk(StreamId(1), BulkType, std::string(PayloadBytes, '1'));
        link->sendBulk(StreamId(2), BulkType, std::string(PayloadBytes, '2'));
    }
    EXPECT_GT(pool->queuedBytes(), 200 * PayloadBytes);
    link->dropBulk(StreamId(1));
    EXPECT_GT(pool->queuedBytes(), 100 * PayloadBytes);
    EXPECT_LT(pool->queuedBytes(), 101 * PayloadBytes);
    ASSERT_TRUE(runTicking([&] { return pool->queuedBytes() < 50 * PayloadBytes; }));
    link->close(ResultCode::LinkLost);
    EXPECT_EQ(pool->queuedBytes(), 0U);
    const auto unlimited = makePool("h3", testAddress());
    unlimited->connect(HostId("h2"), m_address)->sendBulk(StreamId(1), BulkType, "body");
    EXPECT_TRUE(runUntil(m_loop, [&] { return unlimited->queuedBytes() == 0 && !m_frames.empty(); }));
}

TEST_F(LinkTest, ClosedLinkReleasesItsShareOfRate)
{
    constexpr ByteRate Rate {1'000'000};
    const SocketAddress otherAddress = testAddress();
    const auto server = makePool("h2", m_address);
    const auto other = makePool("h3", otherAddress);
    const auto pool = makePool("h1", testAddress(), m_clock, 30'000ms, Rate);
    const auto closing = pool->connect(HostId("h2"), m_address);
    const auto staying = pool->connect(HostId("h3"), otherAddress);
    for (int i = 0; i < 10; ++i) {
        closing->sendBulk(StreamId(1), BulkType, std::string(16'000, '1'));
    }
    closing->close(ResultCode::LinkLost);
    staying->sendBulk(StreamId(2), BulkType, "sent");
    EXPECT_TRUE(runTicking([&] { return !m_frames.empty(); }));
    EXPECT_EQ(m_frames, std::vector<std::string> {"sent"});
}

} // namespace
} // namespace jasminemast
