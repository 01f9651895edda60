// Uploads between two nodes, over links.
#include "jasminemast/node/callclient.h"
#include "jasminemast/node/callserver.h"

#include "../net/testpeer.h"
#include "onetargetfleet.h"

#include "jasminemast/call/requestupload.h"
#include "jasminemast/net/linkpool.h"

#include <gtest/gtest.h>

using namespace jasminemast;

namespace
{

constexpr std::size_t PieceBytes = 16'384;
constexpr std::size_t BodyBytes = 4'000'000;

class RecordingSink final : public ResponseSink
{
public:
    void refused(ResultCode code, const std::string & /*detail*/, const TargetReport & /*report*/) override
    {
        refusal = code;
    }
    void head(const HeadMessage &head) override
    {
        status = head.status;
    }
    void data(std::string_view /*bytes*/) override
    {
    }
    void end(ResultCode code, const std::string & /*detail*/) override
    {
        endCode = code;
    }
    void consumed(std::size_t bytes) override
    {
        consumedBytes += bytes;
    }
    void fenced(FenceStatus /*status*/) override
    {
    }

    std::optional<ResultCode> refusal;
    std::optional<ResultCode> endCode;
    std::uint32_t status = 0;
    std::size_t consumedBytes = 0;
};

class UploadLinkTest : public testing::Test
{
protected:
    Link::Handlers handlers(bool isTargetHost)
    {
        Link::Handlers result;
        result.onFrame
            = [this, isTargetHost](const std::shared_ptr<Link> &link, FrameType type, std::string_view payload) {
                  if (isTargetHost) {
                      m_server.onFrame(link, static_cast<CallFrame>(type), payload);
                  } else {
                      m_client.onFrame(link, static_cast<CallFrame>(type), payload);
                  }
              };
        result.onUp = [](const std::shared_ptr<Link> &) {
        };
        result.onDown = [this, isTargetHost](const std::shared_ptr<Link> &link, ResultCode reason) {
            if (isTargetHost) {
                m_server.onLinkDown(link);
                m_downReason = reason;
            } else {
                m_client.onLinkDown(link);
            }
        };
        return result;
    }

    void open(std::optional<std::uint64_t> length, std::string_view collected)
    {
        ASSERT_TRUE(runUntil(m_loop, [&] { return m_link->isUp(); }));
        OpenMessage open;
        open.attempt = {CallId {HostId("entry"), Incarnation(1), 1}, 1};
        open.peer = Incarnation(7);
        open.generation = LinkGeneration(1);
        open.remainingMs = 60'000;
        open.endpoint = EndpointId("e");
        open.method = "POST";
        open.target = "/";
        m_handle = m_client.openUpload(m_link, open, collected, length, m_sink);
        m_upload.begin(collected.size());
    }

    /// Sends the rest of \p body as the window allows, while the target reads.
    bool sendAll(TestPeer &target, std::string_view body)
    {
        std::size_t offset = 0;
        return runUntil(m_loop, [&] {
            target.read();
            m_upload.recordConsumed(std::exchange(m_sink->consumedBytes, 0));
            while (offset < body.size() && m_upload.allowance() >= PieceBytes) {
                const std::string_view piece = body.substr(offset, PieceBytes);
                m_handle->sendBody(piece);
                m_upload.recordSent(piece.size());
                offset += piece.size();
            }
            return offset == body.size();
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
    TestListener m_listener {m_targetAddress};
    MemoryBudget m_memory {MemoryLimits::forMachine(ByteCount(88'000'000))};
    LinkPool m_targetHost {
        m_loop,          m_clock,       LinkIdentity {HostId("target-host"), Incarnation(7)}, m_targetHostAddress,
        LinkSettings {}, handlers(true)};
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
    CallServer m_server {m_targetProxy, m_clock, m_pauseDetector, 64 << 20, m_memory};
    LinkPool m_entry {m_loop,        m_clock,         LinkIdentity {HostId("entry"), Incarnation(1)},
                      testAddress(), LinkSettings {}, handlers(false)};
    CallClient m_client {m_loop};
    std::shared_ptr<Link> m_link = m_entry.connect(HostId("target-host"), m_targetHostAddress);
    std::shared_ptr<RecordingSink> m_sink = std::make_shared<RecordingSink>();
    std::unique_ptr<AttemptHandle> m_handle;
    RequestUpload m_upload;
    std::optional<ResultCode> m_downReason;
};

} // namespace

TEST_F(UploadLinkTest, BodyWithLengthArrivesWholeWithinTheWindow)
{
    std::string body;
    for (std::size_t i = 0; i < BodyBytes; ++i) {
        body.push_back(static_cast<char>('a' + i * i % 23));
    }
    open(BodyBytes, std::string_view(body).substr(0, UploadLimits::CollectedBytes));
    TestPeer target = acceptPeer(m_loop, m_listener);
    EXPECT_TRUE(sendAll(target, std::string_view(body).substr(UploadLimits::CollectedBytes)));
    EXPECT_TRUE(runUntil(m_loop, [&] { return target.read().size() > BodyBytes; }));
    EXPECT_TRUE(target.received("Content-Length: 4000000\r\n"));
    EXPECT_TRUE(runUntil(m_loop, [&] { return target.read().ends_with(body); }));
    target.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    EXPECT_TRUE(runUntil(m_loop, [&] { return m_sink->endCode.has_value(); }));
    EXPECT_EQ(m_sink->endCode, ResultCode::Ok);
    EXPECT_EQ(m_sink->status, 200U);
    EXPECT_EQ(m_memory.holders(), 0U);
}

TEST_F(UploadLinkTest, BodyOfUnknownLengthEndsWithItsLastChunk)
{
    open(std::nullopt, std::string(UploadLimits::CollectedBytes, 'x'));
    TestPeer target = acceptPeer(m_loop, m_listener);
    EXPECT_TRUE(sendAll(target, std::string(1'000'000, 'y')));
    EXPECT_FALSE(target.received("\r\n0\r\n\r\n"));
    m_handle->endBody();
    EXPECT_TRUE(runUntil(m_loop, [&] { return target.received("\r\n0\r\n\r\n"); }));
}

TEST_F(UploadLinkTest, TargetThatDoesNotReadHoldsUpTheSender)
{
    open(64 << 20, std::string(UploadLimits::CollectedBytes, 'x'));
    TestPeer target = acceptPeer(m_loop, m_listener);
    std::size_t sent = UploadLimits::CollectedBytes;
    // The kernels of the target's connection take a few megabytes.
    runUntil(m_loop, [&, turns = 0]() mutable {
        m_upload.recordConsumed(std::exchange(m_sink->consumedBytes, 0));
        while (m_upload.allowance() >= PieceBytes) {
            m_handle->sendBody(std::string(PieceBytes, 'x'));
            m_upload.recordSent(PieceBytes);
            sent += PieceBytes;
            turns = 0;
        }
        return ++turns > 200;
    });
    EXPECT_LT(sent, 20U << 20U);
    EXPECT_LT(m_upload.allowance(), PieceBytes);
}

TEST_F(UploadLinkTest, SenderBeyondTheWindowLosesItsLink)
{
    open(64 << 20, std::string(UploadLimits::CollectedBytes, 'x'));
    TestPeer target = acceptPeer(m_loop, m_listener);
    m_handle->sendBody(std::string(40 << 20, 'x'));
    EXPECT_TRUE(runUntil(m_loop, [&] { return m_downReason.has_value(); }));
    EXPECT_EQ(m_downReason, ResultCode::FrameMalformed);
}

// The attempt is not repeatable: its response could be asked for on a new link, but the rest of its body can't follow.
TEST_F(UploadLinkTest, LostLinkEndsAnIncompleteUpload)
{
    open(BodyBytes, std::string(UploadLimits::CollectedBytes, 'x'));
    TestPeer target = acceptPeer(m_loop, m_listener);
    EXPECT_TRUE(runUntil(m_loop, [&] { return target.received("xxx"); }));
    m_link->close(ResultCode::LinkLost);
    EXPECT_TRUE(runUntil(m_loop, [&] { return target.isClosed(); }));
    EXPECT_EQ(m_targetProxy.core().accepted(), 0U);
    EXPECT_EQ(m_memory.holders(), 0U);
}

TEST_F(UploadLinkTest, CancelledUploadEndsAtTheTarget)
{
    open(BodyBytes, std::string(UploadLimits::CollectedBytes, 'x'));
    TestPeer target = acceptPeer(m_loop, m_listener);
    EXPECT_TRUE(runUntil(m_loop, [&] { return target.received("xxx"); }));
    m_handle->cancel(ResultCode::CallWithdrawn);
    EXPECT_TRUE(runUntil(m_loop, [&] { return target.isClosed(); }));
    EXPECT_EQ(m_memory.holders(), 0U);
}

TEST_F(UploadLinkTest, IsRefusedAsNotRunWithoutMemoryBesideTheTarget)
{
    m_memory.setLimits(MemoryLimits {});
    open(BodyBytes, std::string(UploadLimits::CollectedBytes, 'x'));
    EXPECT_TRUE(runUntil(m_loop, [&] { return m_sink->refusal.has_value(); }));
    EXPECT_EQ(m_sink->refusal, ResultCode::MemoryShort);
    EXPECT_TRUE(isNotRun(*m_sink->refusal));
    EXPECT_FALSE(m_listener.accept().isOpen()) << "the target was reached";
}

TEST_F(UploadLinkTest, PeerOfAnEarlierVersionGetsAnUploadAsAnOrdinaryRequest)
{
    constexpr FrameType HelloType = 1;
    const SocketAddress oldAddress = testAddress();
    TestListener oldNode(oldAddress);
    m_link = m_entry.connect(HostId("old"), oldAddress);
    TestPeer peer = acceptPeer(m_loop, oldNode);
    const std::string hello
        = encodeMessage(std::uint32_t(1)) + encodeMessage(LinkIdentity {HostId("old"), Incarnation(3)});
    const auto length = static_cast<std::uint32_t>(hello.size() + 1);
    peer.write(std::string(reinterpret_cast<const char *>(&length), sizeof(length)) + static_cast<char>(HelloType)
               + hello);
    open(std::nullopt, std::string(UploadLimits::CollectedBytes, 'x'));
    EXPECT_TRUE(runUntil(m_loop, [&] { return m_sink->refusal.has_value(); }));
    EXPECT_EQ(m_sink->refusal, ResultCode::PeerUnreachable) << "its length would have to come first";
    open(BodyBytes, std::string(UploadLimits::CollectedBytes, 'x'));
    EXPECT_EQ(m_sink->consumedBytes, 0U);
    EXPECT_TRUE(runUntil(m_loop, [&] {
        peer.read();
        m_client.reportWritten();
        return m_sink->consumedBytes == UploadLimits::CollectedBytes;
    }));
    EXPECT_TRUE(runUntil(m_loop, [&] { return peer.read().size() > UploadLimits::CollectedBytes; }));
    EXPECT_EQ(peer.read().find(static_cast<char>(CallFrame::OpenUpload)), std::string::npos);
}
