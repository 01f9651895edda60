// The HTTP client against servers that cut, repeat, flood and stall.
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
        HttpClientRequest made;
        made.method = method;
        made.url = "http://" + m_address.toString() + "/x";
        return made;
    }

    /// Accepts the client's connection and, once its request is in, writes what is left of the answer in \p rest.
    void answerRequest(std::string_view &rest)
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

    /// Starts a transfer, gives it \p answer and then closes the connection if \p close is set.
    Outcome exchange(HttpClientRequest made, std::string_view answer, bool close = true)
    {
        Outcome outcome;
        m_client.fetch(std::move(made),
                       [&](const HttpClientResult &result, unsigned status, const HttpHeaders &, std::string body) {
                           ++outcome.calls;
                           outcome.result = result;
                           outcome.status = status;
                           outcome.body = std::move(body);
                       });
        std::string_view rest = answer;
        EXPECT_TRUE(runUntil(m_loop, [&] {
            answerRequest(rest);
            if (m_peer && rest.empty() && close) {
                m_peer = nullptr;
            }
            return outcome.calls > 0;
        }));
        m_peer = close ? nullptr : std::move(m_peer);
        return outcome;
    }

    /// How a transfer ends that nobody answers.
    HttpClientResult outcomeOf(const HttpClientRequest &made)
    {
        std::optional<HttpClientResult> outcome;
        m_client.fetch(made, [&](const HttpClientResult &result, unsigned, const HttpHeaders &, const std::string &) {
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

struct Answer
{
    const char *name;
    std::string bytes;
    ResultCode code;
};

TEST_F(HttpClientTest, TakesOnlyWholeAnswersForWhole)
{
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::vector<Answer> table = {
        {"whole with length", ok + "Content-Length: 3\r\n\r\nabc", ResultCode::Ok},
        {"whole in chunks", ok + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", ResultCode::Ok},
        {"whole after an interim answer", "HTTP/1.1 103 Early\r\nX: y\r\n\r\n" + ok + "Content-Length: 3\r\n\r\nabc",
         ResultCode::Ok},
        {"body cut", ok + "Content-Length: 4\r\n\r\nabc", ResultCode::HttpTransferFailed},
        {"chunk cut", ok + "Transfer-Encoding: chunked\r\n\r\n4\r\nabc", ResultCode::HttpTransferFailed},
        {"closing chunk lacking", ok + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
         ResultCode::HttpTransferFailed},
        {"no answer", "", ResultCode::HttpTransferFailed},
        {"no HTTP", "abc abc abc\r\n\r\n", ResultCode::HttpTransferFailed},
        {"length that is no number", ok + "Content-Length: abc\r\n\r\nabc", ResultCode::HttpTransferFailed},
        {"endless header", ok + "X: " + std::string(1 << 20, 'x'), ResultCode::HttpTransferFailed},
        {"body above the limit", ok + "Content-Length: 2000\r\n\r\n" + std::string(2'000, 'x'),
         ResultCode::AnswerTooLarge},
    };
    for (const Answer &answer : table) {
        SCOPED_TRACE(answer.name);
        HttpClientRequest made = request();
        made.maxBodyBytes = 1'000;
        const Outcome outcome = exchange(made, answer.bytes);
        EXPECT_EQ(outcome.result.code, answer.code) << outcome.result.detail;
        EXPECT_TRUE(outcome.result.requestSent);
        EXPECT_EQ(outcome.calls, 1);
        EXPECT_EQ(outcome.body == "abc" || answer.code != ResultCode::Ok, true);
    }
}

TEST_F(HttpClientTest, FloodOfHeadersIsRefused)
{
    std::string answer = "HTTP/1.1 200 OK\r\n";
    for (int i = 0; i < 10'000; ++i) {
        answer += "X-Filler-" + std::to_string(i) + ": " + std::string(50, 'x') + "\r\n";
    }
    EXPECT_EQ(exchange(request(), answer + "Content-Length: 0\r\n\r\n").result.code, ResultCode::AnswerTooLarge);
}

TEST_F(HttpClientTest, LengthBesideChunksIsNotBelieved)
{
    std::optional<std::uint64_t> length = 1;
    HttpTransfer::Handlers handlers;
    bool done = false;
    handlers.onHead = [&](unsigned, const HttpHeaders &, std::optional<std::uint64_t> given) {
        length = given;
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

TEST_F(HttpClientTest, RequestThatCannotBeWrittenSafelyIsNotSent)
{
    std::vector<HttpClientRequest> table(4, request("POST"));
    table[0].method = "GET /other HTTP/1.1\r\nX:";
    table[1].headers = {{"X", "a\r\nInjected: b"}};
    table[2].headers = {{"X: a\r\nInjected", "b"}};
    table[3].url += "\r\nInjected: b";
    for (const HttpClientRequest &made : table) {
        int calls = 0;
        HttpClientResult outcome;
        m_client.fetch(made, [&](const HttpClientResult &result, unsigned, const HttpHeaders &, const std::string &) {
            ++calls;
            outcome = result;
        });
        EXPECT_TRUE(runUntil(m_loop, [&] { return calls > 0; }));
        EXPECT_EQ(outcome.code, ResultCode::BadRequest);
        EXPECT_FALSE(outcome.requestSent);
    }
    EXPECT_FALSE(m_listener.accept().isOpen());
}

TEST_F(HttpClientTest, RefusedConnectionMeansNotSent)
{
    HttpClientRequest made = request("POST");
    made.url = "http://" + testAddress().toString() + "/";
    const HttpClientResult outcome = outcomeOf(made);
    EXPECT_EQ(outcome.code, ResultCode::HttpTransferFailed);
    EXPECT_FALSE(outcome.requestSent);
}

/// libcurl repeats a request when a reused connection dies before any byte of the answer.
class ReusedConnectionTest : public HttpClientTest, public testing::WithParamInterface<bool>
{
};

TEST_P(ReusedConnectionTest, RequestIsRepeatedOnlyWhenItMayBe)
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
    std::unique_ptr<TestPeer> fresh;
    bool doubled = false;
    EXPECT_TRUE(runUntil(m_loop, [&] {
        if (!fresh && (socket = m_listener.accept()).isOpen()) {
            fresh = std::make_unique<TestPeer>(std::move(socket));
        }
        if (fresh && !doubled && fresh->received("book")) {
            doubled = true;
            fresh->write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        }
        return done;
    }));
    EXPECT_EQ(doubled, !atMostOnce);
    EXPECT_EQ(outcome.code, atMostOnce ? ResultCode::RepeatPrevented : ResultCode::Ok);
}

INSTANTIATE_TEST_SUITE_P(AtMostOnce, ReusedConnectionTest, testing::Bool());

TEST_F(HttpClientTest, PausedAnswerStopsAndGoesOnWhole)
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
    const std::string answer
        = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(BodyBytes) + "\r\n\r\n" + std::string(BodyBytes, 'x');
    std::string_view rest = answer;
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

TEST_F(HttpClientTest, CancelledTransferClosesItsConnectionAndCallsNothing)
{
    int calls = 0;
    const auto transfer = m_client.fetch(
        request(), [&](const HttpClientResult &, unsigned, const HttpHeaders &, const std::string &) { ++calls; });
    TestPeer peer = acceptPeer(m_loop, m_listener);
    runUntil(m_loop, [&] { return peer.received("\r\n\r\n"); });
    transfer->cancel();
    EXPECT_TRUE(runUntil(m_loop, [&] { return peer.isOver(); }));
    EXPECT_EQ(calls, 0);
}

TEST_F(HttpClientTest, ServerThatNeverAnswersMeetsTheTimeout)
{
    HttpClientRequest made = request();
    made.timeout = 50ms;
    const HttpClientResult outcome = outcomeOf(made);
    EXPECT_EQ(outcome.code, ResultCode::DeadlineExceeded);
}

TEST_F(HttpClientTest, handlerMayCancelItsOwnTransfer)
{
    const auto kept = std::make_shared<int>(7);
    const std::weak_ptr<int> watched = kept;
    std::shared_ptr<HttpTransfer> transfer;
    int seen = 0;
    HttpTransfer::Handlers handlers;
    handlers.onHead = [&transfer, &seen, held = kept](unsigned, const HttpHeaders &, std::optional<std::uint64_t>) {
        transfer->cancel();
        seen = *held;
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
        answerRequest(rest);
        return seen != 0;
    }));
    EXPECT_EQ(seen, 7) << "the handler's own data outlives the cancel, and nothing is called after it";
}

} // namespace
} // namespace jasminemast
