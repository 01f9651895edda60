// The HTTP client with servers that close early, send too much, or stall, and libcurl's implicit resend.
#include "jasminemast/net/httpclient.h"

#include "testpeer.h"

#include <gtest/gtest.h>

namespace jasminemast
{
namespace
{

using std::chrono_literals::operator""ms;

class HttpClientTest : public testing::Test
{
protected:
    struct Outcome
    {
        int calls = 0;
        HttpClientResult result;
        unsigned status = 0;
        std::string body;
    };

    HttpClientRequest request(const std::string &method = "GET")
    {
        HttpClientRequest toSend;
        toSend.method = method;
        toSend.url = "http://" + m_address.toString() + "/x";
        return toSend;
    }

    /// Accepts the client's connection and, once its request has arrived, writes from \p rest, the unsent response.
    void respond(std::string_view &rest)
    {
        if (!m_peer) {
            Descriptor socket = m_listener.accept();
            if (socket.isOpen()) {
                m_peer = std::make_unique<TestPeer>(std::move(socket));
            }
        }
        if (m_peer && m_peer->received("\r\n\r\n") && !rest.empty()) {
            rest.remove_prefix(m_peer->write(rest));
        }
    }

    /// Starts a transfer, sends it \p response and then closes the connection if \p close is set.
    Outcome exchange(HttpClientRequest toSend, std::string_view response, bool close = true)
    {
        Outcome outcome;
        m_client.fetch(std::move(toSend),
                       [&](const HttpClientResult &result, unsigned status, const HttpHeaders &, std::string body) {
                           ++outcome.calls;
                           outcome.result = result;
                           outcome.status = status;
                           outcome.body = std::move(body);
                       });
        std::string_view rest = response;
        EXPECT_TRUE(runUntil(m_loop, [&] {
            respond(rest);
            if (m_peer && rest.empty() && close) {
                m_peer = nullptr;
            }
            return outcome.calls > 0;
        }));
        m_peer = close ? nullptr : std::move(m_peer);
        return outcome;
    }

    /// Result of a transfer that gets no response.
    HttpClientResult resultWithoutResponse(const HttpClientRequest &toSend)
    {
        std::optional<HttpClientResult> outcome;
        m_client.fetch(toSend, [&](const HttpClientResult &result, unsigned, const HttpHeaders &, const std::string &) {
            outcome = result;
        });
        EXPECT_TRUE(runUntil(m_loop, [&] { return outcome.has_value(); }));
        return outcome.value_or(HttpClientResult {});
    }

    Loop m_loop;
    SocketAddress m_address = testAddress();
    TestListener m_listener {m_address};
    std::unique_ptr<TestPeer> m_peer;
    HttpClient m_client {m_loop};
};

struct ResponseCase
{
    const char *name;
    std::string bytes;
    ResultCode code;
};

TEST_F(HttpClientTest, DetectsIncompleteResponses)
{
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::vector<ResponseCase> table = {
        {"complete with length", ok + "Content-Length: 3\r\n\r\nabc", ResultCode::Ok},
        {"complete in chunks", ok + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", ResultCode::Ok},
        {"complete after an interim response",
         "HTTP/1.1 103 Early\r\nX: y\r\n\r\n" + ok + "Content-Length: 3\r\n\r\nabc", ResultCode::Ok},
        {"truncated body", ok + "Content-Length: 4\r\n\r\nabc", ResultCode::HttpTransferFailed},
        {"truncated chunk", ok + "Transfer-Encoding: chunked\r\n\r\n4\r\nabc", ResultCode::HttpTransferFailed},
        {"missing last chunk", ok + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", ResultCode::HttpTransferFailed},
        {"truncated chunk header", ok + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n1",
         ResultCode::HttpTransferFailed},
        {"truncated trailers",
         ok + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX: ", ResultCode::HttpTransferFailed},
        {"two lengths, the last the shorter", ok + "Content-Length: 4\r\nContent-Length: 3\r\n\r\nabc",
         ResultCode::HttpTransferFailed},
        {"two lengths, the last the longer", ok + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
         ResultCode::HttpTransferFailed},
        {"two lengths in one header", ok + "Content-Length: 3, 4\r\n\r\nabc", ResultCode::HttpTransferFailed},
        {"the same length twice", ok + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc", ResultCode::Ok},
        {"no response", "", ResultCode::HttpTransferFailed},
        {"not HTTP", "abc abc abc\r\n\r\n", ResultCode::HttpTransferFailed},
        {"length is not a number", ok + "Content-Length: abc\r\n\r\nabc", ResultCode::HttpTransferFailed},
        {"endless header", ok + "X: " + std::string(1 << 20, 'x'), ResultCode::HttpTransferFailed},
        {"body above the limit", ok + "Content-Length: 2000\r\n\r\n" + std::string(2'000, 'x'),
         ResultCode::AnswerTooLarge},
    };
    for (const ResponseCase &response : table) {
        SCOPED_TRACE(response.name);
        HttpClientRequest toSend = request();
        toSend.maxBodyBytes = 1'000;
        const Outcome outcome = exchange(toSend, response.bytes);
        EXPECT_EQ(outcome.result.code, response.code) << outcome.result.detail;
        EXPECT_TRUE(outcome.result.requestSent);
        EXPECT_EQ(outcome.calls, 1);
        EXPECT_EQ(outcome.body == "abc" || response.code != ResultCode::Ok, true);
    }
}

TEST_F(HttpClientTest, HeadCutAtAnyByteIsNoResponse)
{
    const std::vector<std::string> heads = {
        "HTTP/1.1 200 OK\r\nX: y\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 404 Not Found\r\nX: y\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX: y\r\nTransfer-Encoding: chunked\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX: y\r\n\r\n",
    };
    for (const std::string &head : heads) {
        for (std::size_t size = 0; size < head.size(); ++size) {
            SCOPED_TRACE(head.substr(0, size));
            const Outcome outcome = exchange(request(), std::string_view(head).substr(0, size));
            EXPECT_EQ(outcome.result.code, ResultCode::HttpTransferFailed);
            EXPECT_TRUE(outcome.result.requestSent);
            EXPECT_EQ(outcome.status, 0U);
        }
    }
}

TEST_F(HttpClientTest, RefusesResponseWithTooManyHeaderBytes)
{
    std::string response = "HTTP/1.1 200 OK\r\n";
    for (int i = 0; i < 10'000; ++i) {
        response += "X-Filler-" + std::to_string(i) + ": " + std::string(50, 'x') + "\r\n";
    }
    EXPECT_EQ(exchange(request(), response + "Content-Length: 0\r\n\r\n").result.code, ResultCode::AnswerTooLarge);
}

TEST_F(HttpClientTest, IgnoresContentLengthOfChunkedResponse)
{
    std::optional<std::uint64_t> length = 1;
    HttpTransfer::Handlers handlers;
    bool done = false;
    handlers.onHead = [&](unsigned, const HttpHeaders &, std::optional<std::uint64_t> contentLength) {
        length = contentLength;
    };
    handlers.onDone = [&](const HttpClientResult &) {
        done = true;
    };
    m_client.start(request(), handlers);
    TestPeer peer = acceptPeer(m_loop, m_listener);
    runUntil(m_loop, [&] { return peer.received("\r\n\r\n"); });
    peer.write("HTTP/1.1 200 OK\r\nContent-Length: 77\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
    EXPECT_TRUE(runUntil(m_loop, [&] { return done; }));
    EXPECT_EQ(length, std::nullopt);
}

TEST_F(HttpClientTest, DoesNotSendMalformedRequest)
{
    std::vector<HttpClientRequest> table(4, request("POST"));
    table[0].method = "GET /other HTTP/1.1\r\nX:";
    table[1].headers = {{"X", "a\r\nInjected: b"}};
    table[2].headers = {{"X: a\r\nInjected", "b"}};
    table[3].url += "\r\nInjected: b";
    for (const HttpClientRequest &toSend : table) {
        int calls = 0;
        HttpClientResult outcome;
        m_client.fetch(toSend, [&](const HttpClientResult &result, unsigned, const HttpHeaders &, const std::string &) {
            ++calls;
            outcome = result;
        });
        EXPECT_TRUE(runUntil(m_loop, [&] { return calls > 0; }));
        EXPECT_EQ(outcome.code, ResultCode::BadRequest);
        EXPECT_FALSE(outcome.requestSent);
    }
    EXPECT_FALSE(m_listener.accept().isOpen());
}

TEST_F(HttpClientTest, RefusedConnectionReportsRequestNotSent)
{
    HttpClientRequest toSend = request("POST");
    toSend.url = "http://" + testAddress().toString() + "/";
    const HttpClientResult outcome = resultWithoutResponse(toSend);
    EXPECT_EQ(outcome.code, ResultCode::HttpTransferFailed);
    EXPECT_FALSE(outcome.requestSent);
}

/// libcurl resends a request if a reused connection closes before any byte of the response.
class ReusedConnectionTest : public HttpClientTest, public testing::WithParamInterface<bool>
{
};

TEST_P(ReusedConnectionTest, ResendsRequestOnlyIfAllowed)
{
    const bool atMostOnce = GetParam();
    const Outcome first = exchange(request(), "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false);
    ASSERT_EQ(first.result.code, ResultCode::Ok);
    HttpClientRequest second = request("POST");
    second.body = "book";
    second.atMostOnce = atMostOnce;
    bool done = false;
    HttpClientResult outcome;
    m_client.fetch(second, [&](const HttpClientResult &result, unsigned, const HttpHeaders &, const std::string &) {
        outcome = result;
        done = true;
    });
    ASSERT_TRUE(runUntil(m_loop, [&] { return m_peer->received("book"); }));
    m_peer->close();
    Descriptor socket;
    std::unique_ptr<TestPeer> newPeer;
    bool resent = false;
    EXPECT_TRUE(runUntil(m_loop, [&] {
        if (!newPeer && (socket = m_listener.accept()).isOpen()) {
            newPeer = std::make_unique<TestPeer>(std::move(socket));
        }
        if (newPeer && !resent && newPeer->received("book")) {
            resent = true;
            newPeer->write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        }
        return done;
    }));
    EXPECT_EQ(resent, !atMostOnce);
    EXPECT_EQ(outcome.code, atMostOnce ? ResultCode::RepeatPrevented : ResultCode::Ok);
}

INSTANTIATE_TEST_SUITE_P(AtMostOnce, ReusedConnectionTest, testing::Bool());

TEST_F(HttpClientTest, PausedResponseStopsAndContinues)
{
    constexpr std::size_t BodyBytes = 4'000'000;
    std::size_t received = 0;
    bool done = false;
    HttpClientResult outcome;
    std::shared_ptr<HttpTransfer> transfer;
    HttpTransfer::Handlers handlers;
    handlers.onData = [&](std::string_view bytes) {
        received += bytes.size();
        transfer->pause();
    };
    handlers.onDone = [&](const HttpClientResult &result) {
        outcome = result;
        done = true;
    };
    transfer = m_client.start(request(), handlers);
    TestPeer peer = acceptPeer(m_loop, m_listener);
    const std::string response
        = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(BodyBytes) + "\r\n\r\n" + std::string(BodyBytes, 'x');
    std::string_view rest = response;
    runUntil(m_loop, [&] { return peer.received("\r\n\r\n"); });
    runUntil(m_loop, [&] {
        rest.remove_prefix(peer.write(rest));
        return received > 0;
    });
    const std::size_t whilePaused = received;
    int ticks = 0;
    runUntil(m_loop, [&] {
        rest.remove_prefix(peer.write(rest));
        return ++ticks > 50;
    });
    EXPECT_EQ(received, whilePaused);
    EXPECT_TRUE(runUntil(m_loop, [&] {
        rest.remove_prefix(rest.empty() ? 0 : peer.write(rest));
        transfer->unpause();
        return done;
    }));
    EXPECT_EQ(outcome.code, ResultCode::Ok);
    EXPECT_EQ(received, BodyBytes);
}

TEST_F(HttpClientTest, CanceledTransferClosesConnectionWithoutCallbacks)
{
    int calls = 0;
    const auto transfer = m_client.fetch(
        request(), [&](const HttpClientResult &, unsigned, const HttpHeaders &, const std::string &) { ++calls; });
    TestPeer peer = acceptPeer(m_loop, m_listener);
    runUntil(m_loop, [&] { return peer.received("\r\n\r\n"); });
    transfer->cancel();
    EXPECT_TRUE(runUntil(m_loop, [&] { return peer.isClosed(); }));
    EXPECT_EQ(calls, 0);
}

TEST_F(HttpClientTest, TimesOutWithoutResponse)
{
    HttpClientRequest toSend = request();
    toSend.timeout = 50ms;
    const HttpClientResult outcome = resultWithoutResponse(toSend);
    EXPECT_EQ(outcome.code, ResultCode::DeadlineExceeded);
}

TEST_F(HttpClientTest, HandlerMayCancelItsOwnTransfer)
{
    const auto handlerData = std::make_shared<int>(7);
    const std::weak_ptr<int> observer = handlerData;
    std::shared_ptr<HttpTransfer> transfer;
    int seen = 0;
    HttpTransfer::Handlers handlers;
    handlers.onHead
        = [&transfer, &seen, ownedData = handlerData](unsigned, const HttpHeaders &, std::optional<std::uint64_t>) {
              transfer->cancel();
              seen = *ownedData;
          };
    handlers.onData = [&seen](std::string_view) {
        seen = -1;
    };
    handlers.onDone = [&seen](const HttpClientResult &) {
        seen = -2;
    };
    transfer = m_client.start(request(), std::move(handlers));
    std::string_view rest = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";
    EXPECT_TRUE(runUntil(m_loop, [&] {
        respond(rest);
        return seen != 0;
    }));
    EXPECT_EQ(seen, 7) << "the handler stays valid after cancel(), and no further handler is called";
}

} // namespace
} // namespace jasminemast
