// The client for targets: late copies of earlier responses, reused connections, and targets that send bytes without
// end.
#include "jasminemast/net/targetclient.h"

#include "testpeer.h"

#include <gtest/gtest.h>

namespace jasminemast
{
namespace
{

using std::chrono_literals::operator""ms;

std::string response(const std::string &id, const std::string &body, const std::string &headers = {})
{
    return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + headers
        + "\r\n" + body;
}

class TargetClientTest : public testing::Test
{
protected:
    struct Outcome
    {
        unsigned status = 0;
        std::string body;
        int foreignResponses = 0;
        std::optional<HttpClientResult> result;
    };

    TargetClientRequest request(const std::string &id, bool atMostOnce = false)
    {
        TargetClientRequest toSend;
        toSend.address = m_address;
        toSend.method = atMostOnce ? "POST" : "GET";
        toSend.target = "/x";
        toSend.headers = {{"X-Id", id}};
        toSend.atMostOnce = atMostOnce;
        toSend.requestIdHeader = "X-Id";
        toSend.timeout = 60'000ms;
        return toSend;
    }

    std::shared_ptr<Outcome> start(TargetClientRequest toSend)
    {
        const auto outcome = std::make_shared<Outcome>();
        TargetTransfer::Handlers handlers;
        handlers.onHead = [outcome](unsigned status, const HttpHeaders &, std::optional<std::uint64_t>) {
            outcome->status = status;
        };
        handlers.onData = [outcome](std::string_view bytes) {
            outcome->body.append(bytes);
        };
        handlers.onForeignResponse = [outcome] {
            ++outcome->foreignResponses;
        };
        handlers.onDone = [outcome](const HttpClientResult &result) {
            outcome->result = result;
        };
        m_transfer = m_client.start(std::move(toSend), std::move(handlers));
        return outcome;
    }

    /// Runs until the peer has received the head of the request with \p id.
    void awaitRequest(TestPeer &peer, const std::string &id)
    {
        EXPECT_TRUE(runUntil(m_loop, [&] { return peer.received("X-Id: " + id); }));
    }

    void awaitEnd(const std::shared_ptr<Outcome> &outcome)
    {
        EXPECT_TRUE(runUntil(m_loop, [&] { return outcome->result.has_value(); }));
    }

    /// Sends request "first" and answers it, so that \p peer is an idle connection.
    TestPeer makeIdleConnection()
    {
        const auto outcome = start(request("first"));
        TestPeer peer = acceptPeer(m_loop, m_listener);
        awaitRequest(peer, "first");
        peer.write(response("first", "abc"));
        awaitEnd(outcome);
        EXPECT_EQ(outcome->body, "abc");
        return peer;
    }

    bool hasNewConnection()
    {
        return m_listener.accept().isOpen();
    }

    Loop m_loop;
    SystemClock m_clock;
    SocketAddress m_address = testAddress();
    TestListener m_listener {m_address};
    TargetClient m_client {m_loop, m_clock};
    std::shared_ptr<TargetTransfer> m_transfer;
};

TEST_F(TargetClientTest, SkipsLateCopyOfAnEarlierResponse)
{
    TestPeer peer = makeIdleConnection();
    const auto outcome = start(request("second", true));
    awaitRequest(peer, "second");
    const std::string copy = response("first", "abc");
    peer.write(copy.substr(0, 20));
    runUntil(m_loop, [&, turns = 0]() mutable { return ++turns > 5; });
    peer.write(copy.substr(20));
    EXPECT_TRUE(runUntil(m_loop, [&] { return outcome->foreignResponses == 1; }));
    EXPECT_FALSE(peer.isClosed()) << "the target works on the request";
    EXPECT_FALSE(outcome->result.has_value());
    peer.write(response("second", "xyz"));
    awaitEnd(outcome);
    EXPECT_EQ(outcome->result->code, ResultCode::Ok) << outcome->result->detail;
    EXPECT_EQ(outcome->body, "xyz");
}

TEST_F(TargetClientTest, SkipsChunkedCopyInTheSamePacketAsTheResponse)
{
    TestPeer peer = makeIdleConnection();
    const auto outcome = start(request("second"));
    awaitRequest(peer, "second");
    peer.write("HTTP/1.1 200 OK\r\nX-Id: first\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
               + response("second", "xyz"));
    awaitEnd(outcome);
    EXPECT_EQ(outcome->body, "xyz");
    EXPECT_EQ(outcome->foreignResponses, 1);
}

TEST_F(TargetClientTest, FailsIfOnlyResponsesToOtherRequestsFollow)
{
    TestPeer peer = makeIdleConnection();
    const auto outcome = start(request("second"));
    awaitRequest(peer, "second");
    EXPECT_TRUE(runUntil(m_loop, [&] {
        peer.write(response("first", "abc"));
        return outcome->result.has_value();
    }));
    EXPECT_EQ(outcome->result->code, ResultCode::AnswerForeign);
    EXPECT_TRUE(outcome->body.empty());
}

TEST_F(TargetClientTest, DoesNotReuseConnectionWithBytesAfterTheResponse)
{
    const auto first = start(request("first"));
    TestPeer peer = acceptPeer(m_loop, m_listener);
    awaitRequest(peer, "first");
    peer.write(response("first", "abc") + response("first", "abc"));
    awaitEnd(first);
    EXPECT_EQ(m_client.idleConnections(), 0U);
    start(request("second"));
    EXPECT_TRUE(runUntil(m_loop, [&] { return hasNewConnection(); }));
}

TEST_F(TargetClientTest, ClosesIdleConnectionOnWhichBytesArrive)
{
    TestPeer peer = makeIdleConnection();
    peer.write(response("first", "abc"));
    EXPECT_TRUE(runUntil(m_loop, [&] { return peer.isClosed(); }));
    start(request("second"));
    EXPECT_TRUE(runUntil(m_loop, [&] { return hasNewConnection(); }));
}

TEST_F(TargetClientTest, ReusesConnections)
{
    TestPeer peer = makeIdleConnection();
    const auto outcome = start(request("second"));
    awaitRequest(peer, "second");
    peer.write(response("second", "xyz", "Connection: close\r\n"));
    awaitEnd(outcome);
    EXPECT_EQ(outcome->body, "xyz");
    EXPECT_TRUE(runUntil(m_loop, [&] { return peer.isClosed(); }));
}

TEST_F(TargetClientTest, HonorsTheTimeoutThatTheTargetNames)
{
    const auto first = start(request("first"));
    TestPeer peer = acceptPeer(m_loop, m_listener);
    awaitRequest(peer, "first");
    peer.write(response("first", "abc", "Keep-Alive: timeout=0\r\n"));
    awaitEnd(first);
    start(request("second"));
    EXPECT_TRUE(runUntil(m_loop, [&] { return hasNewConnection(); }));
}

TEST_F(TargetClientTest, ConnectionEndsBeforeItHasMoreIdsThanItRemembers)
{
    TargetClientLimits limits;
    limits.maxRequestsPerConnection = 3;
    TargetClient client(m_loop, m_clock, limits);
    std::optional<TestPeer> peer;
    for (int i = 0; i < 6; ++i) {
        const std::string id = "id" + std::to_string(i);
        bool done = false;
        TargetTransfer::Handlers handlers;
        handlers.onDone = [&done](const HttpClientResult &) {
            done = true;
        };
        client.start(request(id), handlers);
        if (i % 3 == 0) {
            peer.emplace(acceptPeer(m_loop, m_listener));
        }
        awaitRequest(*peer, id);
        peer->write(response(id, "abc"));
        EXPECT_TRUE(runUntil(m_loop, [&] { return done; }));
        EXPECT_EQ(client.idleConnections(), i % 3 == 2 ? 0U : 1U);
    }
}

// The target drops the idle connection while the request is on its way.
TEST_F(TargetClientTest, SendsAgainOverANewConnectionWhatCannotHaveArrived)
{
    TargetClientLimits limits;
    limits.staleResetTime = 60'000ms;
    TargetClient client(m_loop, m_clock, limits);
    for (const bool atMostOnce : {false, true}) {
        SCOPED_TRACE(atMostOnce);
        std::optional<HttpClientResult> result;
        TargetTransfer::Handlers handlers;
        handlers.onDone = [&result](const HttpClientResult &end) {
            result = end;
        };
        client.start(request("first"), handlers);
        TestPeer peer = acceptPeer(m_loop, m_listener);
        awaitRequest(peer, "first");
        peer.write(response("first", "abc"));
        EXPECT_TRUE(runUntil(m_loop, [&] { return result.has_value(); }));
        result.reset();
        client.start(request("second", atMostOnce), handlers);
        awaitRequest(peer, "second");
        peer.close();
        if (atMostOnce) {
            EXPECT_TRUE(runUntil(m_loop, [&] { return result.has_value(); }));
            EXPECT_EQ(result->code, ResultCode::HttpTransferFailed);
            EXPECT_TRUE(result->requestSent) << "it may have run";
            EXPECT_FALSE(hasNewConnection());
            continue;
        }
        TestPeer next = acceptPeer(m_loop, m_listener);
        awaitRequest(next, "second");
        next.write(response("second", "xyz", "Connection: close\r\n"));
        EXPECT_TRUE(runUntil(m_loop, [&] { return result.has_value(); }));
        EXPECT_EQ(result->code, ResultCode::Ok);
    }
}

TEST_F(TargetClientTest, NeverReportsABrokenResponseAsComplete)
{
    const std::vector<std::string> broken = {
        "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 4\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
        "HTTP/1.1 200 OK\r\nX-Id: a\r\n",
        "HTTP/1.1 100 Continue\r\n\r\n",
        "abc abc abc\r\n\r\n",
        "",
    };
    for (const std::string &bytes : broken) {
        SCOPED_TRACE(bytes);
        const auto outcome = start(request("a"));
        {
            TestPeer peer = acceptPeer(m_loop, m_listener);
            awaitRequest(peer, "a");
            peer.write(bytes);
        }
        awaitEnd(outcome);
        EXPECT_NE(outcome->result->code, ResultCode::Ok);
        EXPECT_TRUE(outcome->result->requestSent);
    }
}

TEST_F(TargetClientTest, TakesResponseThatEndsWithItsConnection)
{
    const auto outcome = start(request("a"));
    {
        TestPeer peer = acceptPeer(m_loop, m_listener);
        awaitRequest(peer, "a");
        peer.write("HTTP/1.1 103 Early\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nabc");
        EXPECT_TRUE(runUntil(m_loop, [&] { return outcome->body == "abc"; }));
        EXPECT_FALSE(outcome->result.has_value());
    }
    awaitEnd(outcome);
    EXPECT_EQ(outcome->result->code, ResultCode::Ok) << outcome->result->detail;
}

// Each of these goes on until the caller closes the connection.
TEST_F(TargetClientTest, EndsResponsesWithoutEnd)
{
    struct Endless
    {
        const char *name;
        std::string start;
        std::string piece;
    };
    const std::vector<Endless> table = {
        {"header line", "HTTP/1.1 200 OK\r\nX-Filler: ", std::string(4'096, 'x')},
        {"headers", "HTTP/1.1 200 OK\r\n", "X-Filler: x\r\n"},
        {"status line", "HTTP/1.1 200 ", std::string(4'096, 'x')},
        {"interim responses", "", "HTTP/1.1 103 Early\r\n\r\n"},
        {"chunk extension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;x=", std::string(4'096, 'x')},
        {"trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Filler: x\r\n"},
        {"no HTTP", "", std::string(4'096, 'x')},
    };
    for (const Endless &endless : table) {
        SCOPED_TRACE(endless.name);
        const auto outcome = start(request("a"));
        TestPeer peer = acceptPeer(m_loop, m_listener);
        awaitRequest(peer, "a");
        peer.write(endless.start);
        EXPECT_TRUE(runUntil(m_loop, [&] {
            for (int i = 0; i < 16; ++i) {
                peer.write(endless.piece);
            }
            return outcome->result.has_value();
        }));
        ASSERT_TRUE(outcome->result);
        EXPECT_NE(outcome->result->code, ResultCode::Ok);
        EXPECT_TRUE(runUntil(m_loop, [&] { return peer.isClosed(); }));
    }
}

// A body to another request without end was read until the deadline of the own request.
TEST_F(TargetClientTest, EndsForeignResponsesWithoutEnd)
{
    const std::string piece(4'096, 'x');
    const std::vector<std::pair<std::string, std::string>> table = {
        {"HTTP/1.1 200 OK\r\nX-Id: other\r\n\r\n", piece},
        {"HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 99999999999\r\n\r\n", piece},
        {"HTTP/1.1 200 OK\r\nX-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n" + piece + "\r\n"},
    };
    for (const auto &[head, endlessPiece] : table) {
        SCOPED_TRACE(head);
        const auto outcome = start(request("a"));
        TestPeer peer = acceptPeer(m_loop, m_listener);
        awaitRequest(peer, "a");
        peer.write(head);
        std::string unwritten;
        std::size_t written = 0;
        EXPECT_TRUE(runUntil(m_loop, [&] {
            if (unwritten.empty()) {
                unwritten = endlessPiece;
            }
            const std::size_t size = peer.write(unwritten);
            unwritten.erase(0, size);
            written += size;
            return outcome->result.has_value() || written > (64U << 20U);
        }));
        ASSERT_TRUE(outcome->result) << "read " << written << " bytes";
        EXPECT_EQ(outcome->result->code, ResultCode::AnswerForeign);
        EXPECT_TRUE(outcome->body.empty());
        EXPECT_TRUE(runUntil(m_loop, [&] { return peer.isClosed(); }));
    }
}

TEST_F(TargetClientTest, StopsReadingWhilePausedAndEndsAtTheTimeout)
{
    TargetClientRequest toSend = request("a");
    toSend.timeout = 200ms;
    const auto outcome = start(std::move(toSend));
    TestPeer peer = acceptPeer(m_loop, m_listener);
    awaitRequest(peer, "a");
    m_transfer->pause();
    peer.write("HTTP/1.1 200 OK\r\n\r\n");
    std::size_t written = 0;
    EXPECT_TRUE(runUntil(m_loop, [&] {
        written += peer.write(std::string(65'536, 'x'));
        return outcome->result.has_value();
    }));
    EXPECT_EQ(outcome->result->code, ResultCode::DeadlineExceeded);
    EXPECT_LT(outcome->body.size(), 64U << 10U);
}

// A target may answer before it has read the whole request; closing the connection then resets it.
TEST_F(TargetClientTest, FailedSendKeepsResponseThatTheTargetSentBefore)
{
    constexpr std::size_t ResponseBytes = 40'000;
    TargetClientRequest toSend = request("a", true);
    toSend.body = std::string(8 << 20, 'x');
    const auto outcome = start(std::move(toSend));
    TestPeer peer = acceptPeer(m_loop, m_listener);
    awaitRequest(peer, "a");
    const std::string early = response("a", std::string(ResponseBytes, 'r'), "Connection: close\r\n");
    ASSERT_EQ(peer.write(early), early.size());
    peer.close();
    awaitEnd(outcome);
    EXPECT_EQ(outcome->result->code, ResultCode::Ok) << outcome->result->detail;
    EXPECT_EQ(outcome->body.size(), ResponseBytes);
}

// The reset may have dropped the rest of a response whose only end is that of its connection.
TEST_F(TargetClientTest, FailedSendLeavesResponseWithoutLengthIncomplete)
{
    TargetClientRequest toSend = request("a", true);
    toSend.body = std::string(8 << 20, 'x');
    const auto outcome = start(std::move(toSend));
    TestPeer peer = acceptPeer(m_loop, m_listener);
    awaitRequest(peer, "a");
    peer.write("HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nabc");
    peer.close();
    awaitEnd(outcome);
    EXPECT_NE(outcome->result->code, ResultCode::Ok);
    EXPECT_TRUE(outcome->result->requestSent);
}

TEST_F(TargetClientTest, CancelClosesTheConnection)
{
    const auto outcome = start(request("a"));
    TestPeer peer = acceptPeer(m_loop, m_listener);
    awaitRequest(peer, "a");
    m_transfer->cancel();
    EXPECT_TRUE(runUntil(m_loop, [&] { return peer.isClosed(); }));
    EXPECT_FALSE(outcome->result.has_value());
}

TEST_F(TargetClientTest, RefusedConnectionMeansNotSent)
{
    TargetClientRequest toSend = request("a");
    toSend.address.port = 1;
    const auto outcome = start(std::move(toSend));
    awaitEnd(outcome);
    EXPECT_FALSE(outcome->result->requestSent);
}

// The target answers before it has read the body: the rest must not be taken for another request.
TEST_F(TargetClientTest, DoesNotReuseConnectionWithUnsentBody)
{
    TargetClientRequest toSend = request("a", true);
    toSend.body = std::string(16U << 20U, 'x');
    const auto outcome = start(std::move(toSend));
    TestPeer peer = acceptPeer(m_loop, m_listener);
    runUntil(m_loop, [&, turns = 0]() mutable { return ++turns > 20; });
    peer.write(response("a", "abc"));
    awaitEnd(outcome);
    EXPECT_EQ(outcome->result->code, ResultCode::Ok) << outcome->result->detail;
    EXPECT_EQ(m_client.idleConnections(), 0U);
}

TEST_F(TargetClientTest, RefusesRequestsThatCouldBeReadAsTwo)
{
    TargetClientRequest toSend = request("a");
    toSend.headers.push_back({"X", "y\r\n\r\nGET /"});
    const auto outcome = start(std::move(toSend));
    awaitEnd(outcome);
    EXPECT_EQ(outcome->result->code, ResultCode::BadRequest);
    EXPECT_FALSE(outcome->result->requestSent);
}

} // namespace
} // namespace jasminemast
