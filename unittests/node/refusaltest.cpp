// Which responses of a target count as "the request was not run": late copies of earlier refusals do not.
#include "jasminemast/node/targetattempt.h"

#include "../net/testpeer.h"

#include <gtest/gtest.h>

#include <utility>
#include <vector>

using namespace jasminemast;
using namespace std::chrono_literals;

namespace
{

/// Keeps what it receives.
class RecordingSink final : public ResponseSink
{
public:
    void refused(ResultCode, const std::string &, const TargetReport &) override
    {
    }
    void head(const HeadMessage &head) override
    {
        m_status = head.status;
    }
    void data(std::string_view bytes) override
    {
        m_body.append(bytes);
    }
    void end(ResultCode, const std::string &) override
    {
    }
    void fenced(FenceStatus) override
    {
    }

    [[nodiscard]] unsigned status() const
    {
        return m_status;
    }
    [[nodiscard]] const std::string &body() const
    {
        return m_body;
    }

private:
    unsigned m_status = 0;
    std::string m_body;
};

/// An attempt and how it ended.
struct Attempt
{
    std::shared_ptr<RecordingSink> sink = std::make_shared<RecordingSink>();
    std::shared_ptr<TargetAttempt> attempt;
    std::optional<HttpClientResult> result;
};

std::string idLine(const std::string &id)
{
    return id.empty() ? std::string() : "X-Id: " + id + "\r\n";
}

/// Refusals of the request with \p id; without a header for it if \p id is empty.
std::vector<std::string> refusals(const std::string &id)
{
    return {"HTTP/1.1 503 Service Unavailable\r\n" + idLine(id) + "X-Not-Run: 1\r\nContent-Length: 4\r\n\r\nfull",
            "HTTP/1.1 421 Misdirected Request\r\n" + idLine(id) + "Content-Length: 0\r\n\r\n",
            "HTTP/1.1 429 Too Many Requests\r\n" + idLine(id)
                + "X-Not-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"};
}

std::string answer(const std::string &id)
{
    return "HTTP/1.1 200 OK\r\n" + idLine(id) + "Content-Length: 4\r\nConnection: close\r\n\r\ndone";
}

class RefusalTest : public testing::Test
{
protected:
    std::shared_ptr<Attempt> start(const std::string &id, const std::string &body = {}, bool repeatable = false)
    {
        OpenMessage open;
        open.method = "POST";
        open.target = "/";
        open.repeatable = repeatable;
        open.endpoint = EndpointId("e");
        if (!id.empty()) {
            open.headers.emplace_back("X-Id", id);
        }
        HeaderNames names;
        names.requestId = "X-Id";
        names.expectedEndpoint = "X-Expect";
        names.notRun = "X-Not-Run";
        const auto started = std::make_shared<Attempt>();
        started->attempt
            = std::make_shared<TargetAttempt>(std::move(open), AttemptBody {body}, MemoryReservation(), started->sink);
        started->attempt->setHeadContext([](HeadMessage &) {});
        const auto window = [] {
            return std::size_t(1) << 20U;
        };
        started->attempt->start(m_http, TargetRequest {m_address, m_clock.now(), 60'000ms, 60'000ms, names, window, {}},
                                [weak = std::weak_ptr(started)](const HttpClientResult &result,
                                                                const std::shared_ptr<const CachedResponse> &) {
                                    if (const auto ended = weak.lock()) {
                                        ended->result = result;
                                    }
                                });
        return started;
    }

    static TargetClientLimits limits()
    {
        TargetClientLimits limits;
        limits.staleResetTime = 60'000ms;
        return limits;
    }

    void awaitRequest(TestPeer &peer, const std::string &id)
    {
        EXPECT_TRUE(runUntil(m_loop, [&] { return peer.received("X-Id: " + id + "\r\n"); }));
    }

    void awaitEnd(const std::shared_ptr<Attempt> &attempt)
    {
        ASSERT_TRUE(runUntil(m_loop, [&] { return attempt->result.has_value(); }));
    }

    void runTurns()
    {
        runUntil(m_loop, [turns = 0]() mutable { return ++turns > 5; });
    }

    /// The connection of a request with \p id that was refused with \p refusal and is kept.
    TestPeer makeIdleConnection(const std::string &id, const std::string &refusal)
    {
        const auto attempt = start(id);
        TestPeer peer = acceptPeer(m_loop, m_listener);
        awaitRequest(peer, id);
        peer.write(refusal);
        awaitEnd(attempt);
        EXPECT_TRUE(attempt->result && isNotRun(attempt->result->code));
        EXPECT_GE(m_http.idleConnections(), 1U);
        return peer;
    }

    /// The target runs the request and answers it, whatever it sent before.
    void expectAnswered(const std::shared_ptr<Attempt> &attempt)
    {
        awaitEnd(attempt);
        EXPECT_EQ(attempt->result->code, ResultCode::Ok) << attempt->result->detail;
        EXPECT_EQ(attempt->sink->status(), 200U);
        EXPECT_EQ(attempt->sink->body(), "done");
    }

    Loop m_loop;
    SystemClock m_clock;
    SocketAddress m_address = testAddress();
    TestListener m_listener {m_address};
    TargetClient m_http {m_loop, m_clock, limits()};
};

} // namespace

TEST_F(RefusalTest, LateCopyOfARefusalIsNotTheResponseToARunningRequest)
{
    for (const std::string id : {"first", ""}) {
        for (const std::string &copy : refusals(id)) {
            SCOPED_TRACE(copy);
            TestPeer peer = makeIdleConnection("first", refusals("first").front());
            const auto attempt = start("second");
            awaitRequest(peer, "second");
            peer.write(copy);
            runTurns();
            EXPECT_FALSE(attempt->result.has_value()) << "the target works on the request";
            peer.write(answer("second"));
            expectAnswered(attempt);
        }
    }
}

TEST_F(RefusalTest, LateCopyThatArrivesBeforeTheRequestIsWrittenIsNotItsResponse)
{
    for (const std::string id : {"first", ""}) {
        for (const std::string &copy : refusals(id)) {
            SCOPED_TRACE(copy);
            TestPeer peer = makeIdleConnection("first", refusals("first").front());
            peer.write(copy);
            const auto attempt = start("second");
            awaitRequest(peer, "second");
            peer.write(answer("second"));
            expectAnswered(attempt);
        }
    }
}

TEST_F(RefusalTest, LateCopiesInPiecesAreNotTheResponseToARunningRequest)
{
    for (const std::string id : {"first", ""}) {
        const std::string copy = refusals(id).front();
        const std::string all = copy + copy + copy + answer("second");
        for (std::size_t cut = 1; cut < all.size(); cut += 7) {
            SCOPED_TRACE(cut);
            TestPeer peer = makeIdleConnection("first", refusals("first").front());
            const auto attempt = start("second");
            awaitRequest(peer, "second");
            peer.write(all.substr(0, cut));
            runTurns();
            peer.write(all.substr(cut));
            expectAnswered(attempt);
        }
    }
}

TEST_F(RefusalTest, LateCopyWhileTheBodyIsBeingWrittenIsNotTheResponse)
{
    for (const std::string id : {"first", ""}) {
        for (const std::string &copy : refusals(id)) {
            SCOPED_TRACE(copy);
            TestPeer peer = makeIdleConnection("first", refusals("first").front());
            constexpr std::size_t BodyBytes = 16U << 20U;
            const auto attempt = start("second", std::string(BodyBytes, 'x'));
            runTurns();
            peer.write(copy);
            runTurns();
            EXPECT_FALSE(attempt->result.has_value());
            EXPECT_TRUE(runUntil(m_loop, [&] { return peer.read().size() > BodyBytes; }));
            peer.write(answer("second"));
            expectAnswered(attempt);
        }
    }
}

TEST_F(RefusalTest, ConnectionThatEndsAfterALateCopyLeavesTheOutcomeUnknown)
{
    for (const std::string id : {"first", ""}) {
        for (const std::string &copy : refusals(id)) {
            SCOPED_TRACE(copy);
            TestPeer peer = makeIdleConnection("first", refusals("first").front());
            const auto attempt = start("second");
            awaitRequest(peer, "second");
            peer.write(copy);
            peer.close();
            awaitEnd(attempt);
            EXPECT_NE(attempt->result->code, ResultCode::Ok);
            EXPECT_FALSE(isNotRun(attempt->result->code));
            EXPECT_TRUE(attempt->result->requestSent);
        }
    }
}

TEST_F(RefusalTest, ResponseWithoutIdOnAKeptConnectionIsNotPassedOn)
{
    TestPeer peer = makeIdleConnection("first", refusals("first").front());
    const auto attempt = start("second");
    awaitRequest(peer, "second");
    peer.write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother" + answer("second"));
    expectAnswered(attempt);
}

TEST_F(RefusalTest, TrueRefusalMeansNotRun)
{
    for (const std::string &refusal : refusals("second")) {
        SCOPED_TRACE(refusal);
        TestPeer peer = makeIdleConnection("first", refusals("first").front());
        const auto attempt = start("second");
        awaitRequest(peer, "second");
        peer.write(refusal + "x"); // the extra byte ends the connection
        awaitEnd(attempt);
        EXPECT_TRUE(isNotRun(attempt->result->code));
    }
}

TEST_F(RefusalTest, RefusalWithoutIdOfTheFirstRequestOnAConnectionMeansNotRun)
{
    for (const std::string &refusal : refusals("")) {
        SCOPED_TRACE(refusal);
        const auto attempt = start("second");
        TestPeer peer = acceptPeer(m_loop, m_listener);
        awaitRequest(peer, "second");
        peer.write(refusal);
        peer.close();
        awaitEnd(attempt);
        EXPECT_TRUE(isNotRun(attempt->result->code));
    }
}

TEST_F(RefusalTest, RequestWithoutIdUsesANewConnection)
{
    const TestPeer peer = makeIdleConnection("first", refusals("first").front());
    const auto attempt = start("");
    TestPeer next = acceptPeer(m_loop, m_listener);
    EXPECT_TRUE(runUntil(m_loop, [&] { return next.received("\r\n\r\n"); }));
    next.write(refusals("").front());
    awaitEnd(attempt);
    EXPECT_TRUE(isNotRun(attempt->result->code));
}

// A target that refused an attempt may get the next attempt of the same call, with the same id.
TEST_F(RefusalTest, LateCopyOfTheRefusalOfAnEarlierAttemptIsNotTheResponseToTheNext)
{
    for (const std::string &copy : refusals("same")) {
        SCOPED_TRACE(copy);
        TestPeer first = makeIdleConnection("same", copy);
        const auto attempt = start("same");
        TestPeer next = acceptPeer(m_loop, m_listener);
        first.write(copy);
        runTurns();
        awaitRequest(next, "same");
        EXPECT_FALSE(attempt->result.has_value()) << "the target works on the request";
        next.write(answer("same"));
        expectAnswered(attempt);
    }
}

TEST_F(RefusalTest, ConnectionCarriesNoIdTwiceAlsoAfterOtherRequests)
{
    TestPeer peer = makeIdleConnection("same", refusals("same").front());
    for (const std::string id : {"a", "b", "c"}) {
        const auto attempt = start(id);
        awaitRequest(peer, id);
        peer.write(refusals(id).front());
        awaitEnd(attempt);
    }
    start("same");
    TestPeer next = acceptPeer(m_loop, m_listener);
    awaitRequest(next, "same");
}

TEST_F(RefusalTest, OnlyTheConnectionWithTheIdIsPassedOver)
{
    TestPeer other = makeIdleConnection("other", refusals("other").front());
    const auto refused = start("same");
    const auto parallel = start("parallel");
    TestPeer next = acceptPeer(m_loop, m_listener);
    awaitRequest(other, "same");
    awaitRequest(next, "parallel");
    next.write(refusals("parallel").front());
    awaitEnd(parallel);
    other.write(refusals("same").front());
    awaitEnd(refused);
    const auto attempt = start("same");
    awaitRequest(next, "same");
    next.write(answer("same"));
    expectAnswered(attempt);
}

// The rest of a header line of the copy is then the status line of the response.
TEST_F(RefusalTest, LateCopyCutInItsHeadIsNotJoinedWithTheResponse)
{
    std::vector<std::string> copies = refusals("first");
    for (const std::string &copy : refusals("")) {
        copies.push_back(copy);
    }
    copies.emplace_back("HTTP/1.1 500 Internal Server Error\r\nX-Seal: 1\r\nX-Id: first\r\nContent-Length: 0\r\n\r\n");
    for (const std::string &copy : copies) {
        for (std::size_t size = 0; size < copy.find("\r\n\r\n") + 4; ++size) {
            SCOPED_TRACE(copy.substr(0, size));
            TestPeer peer = makeIdleConnection("first", refusals("first").front());
            const auto attempt = start("second");
            awaitRequest(peer, "second");
            peer.write(copy.substr(0, size) + answer("second"));
            peer.close();
            awaitEnd(attempt);
            EXPECT_FALSE(isNotRun(attempt->result->code));
            EXPECT_TRUE(attempt->result->requestSent);
            if (attempt->result->code == ResultCode::Ok) {
                expectAnswered(attempt);
            }
        }
    }
}

// The target may have taken the request on the kept connection before that ended.
TEST_F(RefusalTest, RefusalAfterAResendLeavesTheOutcomeUnknown)
{
    for (const std::string &refusal : refusals("second")) {
        SCOPED_TRACE(refusal);
        TestPeer peer = makeIdleConnection("first", refusals("first").front());
        const auto attempt = start("second", {}, true);
        awaitRequest(peer, "second");
        peer.close();
        TestPeer next = acceptPeer(m_loop, m_listener);
        awaitRequest(next, "second");
        next.write(refusal);
        next.close();
        awaitEnd(attempt);
        EXPECT_NE(attempt->result->code, ResultCode::Ok);
        EXPECT_FALSE(isNotRun(attempt->result->code));
        EXPECT_TRUE(attempt->result->requestSent);
    }
}

TEST_F(RefusalTest, FailedConnectionAfterAResendLeavesTheOutcomeUnknown)
{
    TestPeer peer = makeIdleConnection("first", refusals("first").front());
    const auto attempt = start("second", {}, true);
    awaitRequest(peer, "second");
    m_listener.close();
    peer.close();
    awaitEnd(attempt);
    EXPECT_FALSE(isNotRun(attempt->result->code));
    EXPECT_TRUE(attempt->result->requestSent);
}
