// Requests that an HTTP server passes on while their body arrives, and the memory of its connections.
#include "jasminemast/net/httpserver.h"

#include "testpeer.h"

#include <gtest/gtest.h>

#include <map>

namespace jasminemast
{
namespace
{

using std::chrono_literals::operator""ms;

constexpr std::size_t CollectedBytes = 100'000;
constexpr std::size_t BodyBytes = 2'000'000;
constexpr MemoryLimits Unlimited {ByteCount(1U << 30U), ByteCount(1U << 30U), ByteCount(1U << 30U)};

std::string uploadHead(std::size_t length)
{
    return "POST /u HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
}

class UploadTest : public testing::Test
{
protected:
    void start(const MemoryLimits &memory = Unlimited)
    {
        m_limits.maxBodyBytes = BodyBytes;
        m_limits.maxCollectedBytes = CollectedBytes;
        m_budget.emplace(memory);
        m_server.emplace(
            m_loop, m_address, m_limits,
            [this](const std::shared_ptr<HttpExchange> &exchange) {
                m_exchanges.push_back(exchange);
                if (!exchange->isUpload() && m_answersAtOnce) {
                    exchange->respond(200, {}, "done");
                }
            },
            [this](ResultCode code) { ++m_refusals[code]; },
            HttpServerMemory {&*m_budget, [this](const EvictedConnection &evicted) {
                                  m_evicted.push_back(evicted);
                              }});
    }

    /// Writes all of \p bytes, if the server reads them.
    bool writeAll(TestPeer &peer, std::string_view bytes)
    {
        return runUntil(m_loop,
                        [&] {
                            bytes.remove_prefix(peer.write(bytes));
                            return bytes.empty() || peer.isClosed();
                        })
            && bytes.empty();
    }

    /// Takes what has arrived of the first upload.
    void take(std::string &body)
    {
        body += m_exchanges.front()->takeUpload(16'384);
    }

    bool awaitExchange()
    {
        return runUntil(m_loop, [this] { return !m_exchanges.empty(); });
    }

    Loop m_loop;
    SocketAddress m_address = testAddress();
    HttpServerLimits m_limits;
    std::optional<MemoryBudget> m_budget;
    std::optional<HttpServer> m_server;
    std::vector<std::shared_ptr<HttpExchange>> m_exchanges;
    std::map<ResultCode, int> m_refusals;
    std::vector<EvictedConnection> m_evicted;
    bool m_answersAtOnce = true;
};

TEST_F(UploadTest, ArrivesWholeAndIsReadOnlyAsFastAsItIsTaken)
{
    start();
    std::string expected;
    for (std::size_t i = 0; i < BodyBytes; ++i) {
        expected.push_back(static_cast<char>('a' + i * i % 23));
    }
    TestPeer peer(m_address);
    const std::string request = uploadHead(BodyBytes) + expected;
    std::string_view rest = request;
    std::size_t idleTurns = 0;
    // The kernels take some more than the server reads.
    EXPECT_TRUE(runUntil(m_loop, [&] {
        const std::size_t written = peer.write(rest);
        rest.remove_prefix(written);
        idleTurns = written == 0 ? idleTurns + 1 : 0;
        return idleTurns > 50;
    }));
    ASSERT_EQ(m_exchanges.size(), 1U);
    HttpExchange &exchange = *m_exchanges.front();
    EXPECT_TRUE(exchange.isUpload());
    EXPECT_EQ(exchange.uploadLength(), BodyBytes);
    const std::uint64_t arrived = exchange.bodyBytes();
    EXPECT_LE(arrived, CollectedBytes + 3 * 65'536);
    std::string body = exchange.request().body;
    EXPECT_TRUE(runUntil(m_loop, [&] {
        rest.remove_prefix(peer.write(rest));
        take(body);
        return exchange.isUploadTaken();
    }));
    EXPECT_TRUE(body == expected);
    exchange.respond(200, {}, "done");
    EXPECT_TRUE(runUntil(m_loop, [&] { return peer.received("\r\n\r\ndone"); }));
    EXPECT_FALSE(peer.isClosed());
}

TEST_F(UploadTest, ChunksArriveWhole)
{
    start();
    TestPeer peer(m_address);
    std::string request = "POST /u HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (int i = 0; i < 40'000; ++i) {
        request += "7\r\nabcdefg\r\n";
    }
    request += "0\r\n\r\n";
    std::string_view rest = request;
    std::string body;
    bool isStarted = false;
    EXPECT_TRUE(runUntil(m_loop, [&] {
        rest.remove_prefix(peer.write(rest));
        if (m_exchanges.empty()) {
            return false;
        }
        if (!std::exchange(isStarted, true)) {
            body = m_exchanges.front()->request().body;
        }
        take(body);
        return m_exchanges.front()->isUploadTaken();
    }));
    EXPECT_FALSE(m_exchanges.front()->uploadLength());
    EXPECT_EQ(body.size(), 280'000U);
    EXPECT_TRUE(body.starts_with("abcdefgabcdefg") && body.ends_with("abcdefg"));
}

TEST_F(UploadTest, FailureIsWrittenBeforeTheBodyHasArrived)
{
    start();
    TestPeer peer(m_address);
    EXPECT_TRUE(writeAll(peer, uploadHead(BodyBytes) + std::string(CollectedBytes + 1, 'x')));
    ASSERT_TRUE(awaitExchange());
    m_exchanges.front()->respond(503, {{"Retry-After", "1"}}, "later");
    EXPECT_TRUE(runUntil(m_loop, [&] { return peer.received("\r\n\r\nlater"); }));
    EXPECT_TRUE(peer.received("HTTP/1.1 503 "));
    EXPECT_TRUE(peer.received("Connection: close"));
    peer.write(std::string(50'000, 'x'));
    EXPECT_TRUE(runUntil(m_loop, [&] { return m_server->connections() == 0; }));
    EXPECT_FALSE(peer.wasReset()) << "the caller may lose the response";
}

TEST_F(UploadTest, ResponseThatBeginsEarlyIsSentAfterTheBody)
{
    start();
    TestPeer peer(m_address);
    EXPECT_TRUE(writeAll(peer, uploadHead(BodyBytes) + std::string(CollectedBytes + 1, 'x')));
    ASSERT_TRUE(awaitExchange());
    m_exchanges.front()->beginBody(200, {}, 5);
    m_exchanges.front()->write("early");
    m_exchanges.front()->finish();
    EXPECT_TRUE(writeAll(peer, std::string(BodyBytes - CollectedBytes - 1, 'x')));
    EXPECT_TRUE(runUntil(m_loop, [&] { return peer.received("\r\n\r\nearly"); }));
    EXPECT_FALSE(peer.isClosed());
    peer.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    EXPECT_TRUE(runUntil(m_loop, [&] { return peer.received("\r\n\r\ndone"); }));
}

TEST_F(UploadTest, ResponseThatWasHeldBackCanBeWithdrawn)
{
    start();
    TestPeer peer(m_address);
    EXPECT_TRUE(writeAll(peer, uploadHead(BodyBytes) + std::string(CollectedBytes + 1, 'x')));
    ASSERT_TRUE(awaitExchange());
    HttpExchange &exchange = *m_exchanges.front();
    exchange.beginBody(200, {}, 5);
    runUntil(m_loop, [turns = 0]() mutable { return ++turns > 3; });
    EXPECT_TRUE(exchange.withdrawResponse());
    exchange.respond(502, {}, "failed");
    EXPECT_TRUE(runUntil(m_loop, [&] { return peer.received("HTTP/1.1 502 "); }));
}

TEST_F(UploadTest, CallerThatStopsIsReportedOnlyWhileMoreCanBeTaken)
{
    m_limits.uploadTimeout = 100ms;
    start();
    TestPeer peer(m_address);
    const std::string request = uploadHead(BodyBytes) + std::string(BodyBytes - 1, 'x');
    std::string_view rest = request;
    // Nothing is taken: the caller is not the one who stops.
    int turns = 0;
    EXPECT_TRUE(runUntil(m_loop, [&] {
        rest.remove_prefix(peer.write(rest));
        return ++turns > 2'000;
    }));
    ASSERT_EQ(m_exchanges.size(), 1U);
    EXPECT_EQ(m_exchanges.front()->uploadError(), ResultCode::Ok);
    std::string body;
    EXPECT_TRUE(runUntil(m_loop, [&] {
        rest.remove_prefix(peer.write(rest));
        take(body);
        return m_exchanges.front()->uploadError() != ResultCode::Ok;
    }));
    EXPECT_EQ(m_exchanges.front()->uploadError(), ResultCode::RequestTooSlow);
    EXPECT_EQ(m_refusals, (std::map<ResultCode, int> {{ResultCode::RequestTooSlow, 1}}));
}

TEST_F(UploadTest, ChunksOverTheLimitAreReported)
{
    start();
    TestPeer peer(m_address);
    const std::string request = "POST /u HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n7fffffff\r\n";
    peer.write(request);
    const std::string block(100'000, 'x');
    ResultCode error = ResultCode::Ok;
    bool isFollowed = false;
    EXPECT_TRUE(runUntil(m_loop, [&] {
        peer.write(block);
        if (!m_exchanges.empty() && !std::exchange(isFollowed, true)) {
            HttpExchange &exchange = *m_exchanges.front();
            // A response that came later could find the connection closed for all that arrived meanwhile.
            exchange.setUploadHandler([&] {
                while (!exchange.takeUpload(16'384).empty()) { }
                error = exchange.uploadError();
                if (error != ResultCode::Ok) {
                    exchange.respond(413, {}, "");
                }
            });
        }
        return peer.received("HTTP/1.1 413 ") && peer.isClosed();
    })) << peer.read();
    EXPECT_EQ(error, ResultCode::RequestTooLarge);
}

TEST_F(UploadTest, DisconnectedCallerCancels)
{
    start();
    bool isCancelled = false;
    {
        TestPeer peer(m_address);
        EXPECT_TRUE(writeAll(peer, uploadHead(BodyBytes) + std::string(CollectedBytes + 1, 'x')));
        ASSERT_TRUE(awaitExchange());
        m_exchanges.front()->setCancelHandler([&] { isCancelled = true; });
    }
    EXPECT_TRUE(runUntil(m_loop, [&] { return isCancelled; }));
    EXPECT_TRUE(runUntil(m_loop, [&] { return m_budget->holders() == 0; }));
}

TEST_F(UploadTest, IsRefusedWithoutMemoryForUploads)
{
    MemoryLimits memory = Unlimited;
    memory.uploads = ByteCount(1);
    start(memory);
    TestPeer peer(m_address);
    EXPECT_TRUE(writeAll(peer, uploadHead(BodyBytes) + std::string(CollectedBytes + 1, 'x')));
    EXPECT_TRUE(runUntil(m_loop, [&] { return peer.isClosed(); }));
    EXPECT_TRUE(peer.received("HTTP/1.1 503 "));
    EXPECT_TRUE(peer.received("Jasminemast-Outcome: not-run"));
    EXPECT_TRUE(peer.received("Retry-After: "));
    EXPECT_TRUE(m_exchanges.empty());
    EXPECT_EQ(m_refusals, (std::map<ResultCode, int> {{ResultCode::MemoryShort, 1}}));
}

TEST_F(UploadTest, IncompleteRequestMakesRoomForANewOne)
{
    MemoryLimits memory = Unlimited;
    memory.requests = ByteCount(150'000);
    start(memory);
    TestPeer slow(m_address);
    EXPECT_TRUE(writeAll(slow, uploadHead(60'000) + std::string(59'999, 'x')));
    EXPECT_TRUE(runUntil(m_loop, [&] { return m_budget->used(MemoryUse::Requests) > ByteCount(100'000); }));
    TestPeer other(m_address);
    EXPECT_TRUE(writeAll(other, uploadHead(30'000) + std::string(30'000, 'x')));
    EXPECT_TRUE(runUntil(m_loop, [&] { return other.received("\r\n\r\ndone"); }));
    EXPECT_TRUE(runUntil(m_loop, [&] { return slow.isClosed(); }));
    EXPECT_TRUE(slow.received("HTTP/1.1 503 "));
    ASSERT_EQ(m_evicted.size(), 1U);
    EXPECT_FALSE(m_evicted.front().isIdle);
    EXPECT_EQ(m_evicted.front().bodyBytes, 59'999U);
}

TEST_F(UploadTest, IdleConnectionMakesRoomAndOneInWorkDoesNot)
{
    MemoryLimits memory = Unlimited;
    memory.connections = ByteCount(200'000);
    start(memory);
    m_answersAtOnce = false;
    TestPeer working(m_address);
    EXPECT_TRUE(writeAll(working, "GET /w HTTP/1.1\r\nHost: a\r\n\r\n"));
    ASSERT_TRUE(awaitExchange());
    m_answersAtOnce = true;
    std::vector<TestPeer> idle;
    for (int i = 0; i < 6; ++i) {
        idle.emplace_back(m_address);
        EXPECT_TRUE(writeAll(idle.back(), "GET /i HTTP/1.1\r\nHost: a\r\n\r\n"));
        EXPECT_TRUE(runUntil(m_loop, [&] { return idle.back().received("\r\n\r\ndone"); })) << i;
    }
    EXPECT_TRUE(idle.front().isClosed());
    EXPECT_FALSE(working.isClosed());
    EXPECT_LE(m_budget->used(MemoryUse::Connections), memory.connections);
    m_exchanges.front()->respond(200, {}, "worked");
    EXPECT_TRUE(runUntil(m_loop, [&] { return working.received("\r\n\r\nworked"); }));
}

TEST_F(UploadTest, NewConnectionIsRefusedIfAllAreInWork)
{
    MemoryLimits memory = Unlimited;
    memory.connections = ByteCount(100'000);
    start(memory);
    m_answersAtOnce = false;
    TestPeer first(m_address);
    EXPECT_TRUE(writeAll(first, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"));
    TestPeer second(m_address);
    EXPECT_TRUE(writeAll(second, "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n"));
    ASSERT_TRUE(runUntil(m_loop, [&] { return m_exchanges.size() == 2; }));
    TestPeer third(m_address);
    EXPECT_TRUE(runUntil(m_loop, [&] { return third.isClosed(); }));
    EXPECT_EQ(m_exchanges.size(), 2U);
    EXPECT_FALSE(first.isClosed());
}

// What an evicted connection has sent already must not be run, as its caller can't get the answer.
TEST_F(UploadTest, RequestOnAnEvictedConnectionIsNotHandled)
{
    MemoryLimits memory = Unlimited;
    memory.connections = ByteCount(110'000);
    start(memory);
    TestPeer idle(m_address);
    EXPECT_TRUE(writeAll(idle, "GET /i HTTP/1.1\r\nHost: a\r\n\r\n"));
    EXPECT_TRUE(runUntil(m_loop, [&] { return idle.received("\r\n\r\ndone"); }));
    ASSERT_EQ(m_exchanges.size(), 1U);
    // Both arrive before the server runs again.
    TestPeer other(m_address);
    idle.write("GET /late HTTP/1.1\r\nHost: a\r\n\r\n");
    EXPECT_TRUE(runUntil(m_loop, [&] { return idle.isClosed() || m_exchanges.size() == 2; }));
    if (m_exchanges.size() == 2) {
        EXPECT_TRUE(runUntil(m_loop, [&] { return idle.read().ends_with("done"); })) << "handled and not answered";
    }
}

} // namespace
} // namespace jasminemast
