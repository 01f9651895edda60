// Requests whose body is sent to a target while it arrives.
#include "jasminemast/net/targetclient.h"

#include "testpeer.h"

#include <gtest/gtest.h>

namespace jasminemast
{
namespace
{

using std::chrono_literals::operator""ms;

class TargetUploadTest : public testing::Test
{
protected:
    void start(std::optional<std::uint64_t> length, const std::string &target = "/u")
    {
        TargetClientRequest request;
        request.address = m_address;
        request.method = "POST";
        request.target = target;
        request.isUpload = true;
        request.uploadLength = length;
        request.atMostOnce = true;
        request.timeout = 60'000ms;
        TargetTransfer::Handlers handlers;
        handlers.onBodyWritten = [this] {
            ++m_written;
        };
        handlers.onDone = [this](const HttpClientResult &result) {
            m_result = result;
        };
        m_transfer = m_client.start(std::move(request), std::move(handlers));
    }

    Loop m_loop;
    SystemClock m_clock;
    SocketAddress m_address = testAddress();
    TestListener m_listener {m_address};
    TargetClient m_client {m_loop, m_clock};
    std::shared_ptr<TargetTransfer> m_transfer;
    int m_written = 0;
    std::optional<HttpClientResult> m_result;
};

TEST_F(TargetUploadTest, BodyWithLengthFollowsTheHead)
{
    start(10);
    m_transfer->writeBody("01234");
    TestPeer peer = acceptPeer(m_loop, m_listener);
    EXPECT_TRUE(runUntil(m_loop, [&] { return peer.received("Content-Length: 10\r\n\r\n01234") && m_written == 1; }));
    m_transfer->writeBody("56789");
    m_transfer->endBody();
    EXPECT_TRUE(runUntil(m_loop, [&] { return peer.received("\r\n\r\n0123456789") && m_written == 2; }));
    peer.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    EXPECT_TRUE(runUntil(m_loop, [&] { return m_result.has_value(); }));
    EXPECT_EQ(m_result->code, ResultCode::Ok);
    EXPECT_EQ(m_client.idleConnections(), 1U);
}

TEST_F(TargetUploadTest, BodyOfUnknownLengthIsSentInChunks)
{
    start(std::nullopt);
    TestPeer peer = acceptPeer(m_loop, m_listener);
    m_transfer->writeBody("0123456789abcdefg");
    EXPECT_TRUE(runUntil(m_loop, [&] { return m_written == 1; }));
    m_transfer->endBody();
    m_transfer->endBody();
    EXPECT_TRUE(runUntil(m_loop, [&] { return peer.received("\r\n0\r\n\r\n"); }));
    EXPECT_TRUE(peer.received("Transfer-Encoding: chunked\r\n\r\n11\r\n0123456789abcdefg\r\n0\r\n\r\n"));
    EXPECT_FALSE(peer.received("Content-Length"));
    EXPECT_TRUE(peer.read().ends_with("g\r\n0\r\n\r\n")) << "ended once";
}

TEST_F(TargetUploadTest, TargetThatReadsSlowlyStopsTheWriter)
{
    start(100'000'000);
    TestPeer peer = acceptPeer(m_loop, m_listener);
    const std::string piece(1'000'000, 'x');
    int pieces = 0;
    // The kernels take a few megabytes.
    runUntil(m_loop, [&, turns = 0]() mutable {
        if (m_written == pieces) {
            m_transfer->writeBody(piece);
            ++pieces;
            turns = 0;
        }
        return ++turns > 100;
    });
    EXPECT_LT(pieces, 50);
    EXPECT_EQ(m_written, pieces - 1);
    const std::string &received = peer.read();
    EXPECT_TRUE(runUntil(m_loop, [&] {
        peer.read();
        return m_written == pieces;
    }));
    EXPECT_GT(received.size(), 1'000'000U);
}

// What is left of the body would be taken for the next request.
TEST_F(TargetUploadTest, ConnectionIsNotKeptAfterAnEarlyResponse)
{
    start(10);
    TestPeer peer = acceptPeer(m_loop, m_listener);
    m_transfer->writeBody("01234");
    EXPECT_TRUE(runUntil(m_loop, [&] { return peer.received("\r\n\r\n01234"); }));
    peer.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    EXPECT_TRUE(runUntil(m_loop, [&] { return m_result.has_value(); }));
    EXPECT_EQ(m_result->code, ResultCode::Ok);
    EXPECT_EQ(m_client.idleConnections(), 0U);
    EXPECT_TRUE(runUntil(m_loop, [&] { return peer.isClosed(); }));
    m_transfer->writeBody("56789");
    m_transfer->endBody();
}

TEST_F(TargetUploadTest, MalformedRequestIsRefusedAlthoughItsBodyGoesOn)
{
    start(5, "/\x01");
    m_transfer->writeBody("01234");
    m_transfer->endBody();
    EXPECT_TRUE(runUntil(m_loop, [&] { return m_result.has_value(); }));
    EXPECT_EQ(m_result->code, ResultCode::BadRequest);
    EXPECT_FALSE(m_listener.accept().isOpen());
}

TEST_F(TargetUploadTest, UsesNoKeptConnection)
{
    start(1);
    TestPeer peer = acceptPeer(m_loop, m_listener);
    m_transfer->writeBody("0");
    m_transfer->endBody();
    EXPECT_TRUE(runUntil(m_loop, [&] { return peer.received("\r\n\r\n0"); }));
    peer.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    EXPECT_TRUE(runUntil(m_loop, [&] { return m_client.idleConnections() == 1; }));
    start(1);
    TestPeer second = acceptPeer(m_loop, m_listener);
    m_transfer->cancel();
    EXPECT_TRUE(runUntil(m_loop, [&] { return second.isClosed(); }));
    EXPECT_FALSE(m_result && m_result->code == ResultCode::CallWithdrawn) << "reported after cancel()";
}

} // namespace
} // namespace jasminemast
