// How much of a response a node reads from its target while the requester consumes nothing.
#include "jasminemast/node/targetattempt.h"

#include "jasminemast/call/responsewindow.h"
#include "jasminemast/net/httpserver.h"

#include "../net/testpeer.h"

#include <gtest/gtest.h>

#include <utility>

using namespace jasminemast;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t ResponseBytes = 4 << 20;

/// Counts the received bytes and credits none of them.
class CountingSink final : public ResponseSink
{
public:
    void refused(ResultCode, const std::string &, const TargetReport &) override
    {
    }
    void head(const HeadMessage &) override
    {
    }
    void data(std::string_view bytes) override
    {
        m_received += bytes.size();
    }
    void end(ResultCode, const std::string &) override
    {
    }
    void fenced(FenceStatus) override
    {
    }

    [[nodiscard]] std::size_t received() const
    {
        return m_received;
    }

private:
    std::size_t m_received = 0;
};

class TargetAttemptTest : public testing::Test
{
protected:
    /// Starts an attempt on a host whose links have \p queuedBytes queued.
    void start(std::size_t queuedBytes)
    {
        m_queuedBytes = queuedBytes;
        OpenMessage open;
        open.method = "GET";
        open.target = "/";
        open.repeatable = true;
        m_attempt = std::make_shared<TargetAttempt>(std::move(open), AttemptBody {}, MemoryReservation(), m_sink);
        m_attempt->setHeadContext([](HeadMessage &) {});
        const auto window = [this] {
            return responseWindow(m_queuedBytes);
        };
        m_attempt->start(m_http, TargetRequest {m_address, TimePoint(), 60'000ms, 60'000ms, headerNames(), window, {}},
                         [this](const HttpClientResult &result, const std::shared_ptr<const CachedResponse> &) {
                             m_done = true;
                             m_result = result.code;
                         });
    }

    [[nodiscard]] HeaderNames headerNames() const
    {
        HeaderNames names;
        names.notRun = m_notRunHeader;
        return names;
    }

    /// Runs until nothing more arrives for some time.
    void runUntilIdle()
    {
        std::size_t last = 0;
        int idleTurns = 0;
        ASSERT_TRUE(runUntil(m_loop, [&] {
            idleTurns = m_sink->received() == last && last > 0 ? idleTurns + 1 : 0;
            last = m_sink->received();
            return idleTurns > 50;
        }));
    }

    Loop m_loop;
    SystemClock m_clock;
    SocketAddress m_address = testAddress();
    HttpServer m_server {m_loop, m_address, HttpServerLimits {},
                         [](const std::shared_ptr<HttpExchange> &exchange) {
                             exchange->respond(200, {}, std::string(ResponseBytes, 'x'));
                         },
                         [](ResultCode) {
                         }};
    TargetClient m_http {m_loop, m_clock};
    std::shared_ptr<CountingSink> m_sink = std::make_shared<CountingSink>();
    std::shared_ptr<TargetAttempt> m_attempt;
    std::size_t m_queuedBytes = 0;
    std::string m_notRunHeader;
    bool m_done = false;
    ResultCode m_result = ResultCode::Ok;
};

/// The client delivers pieces of up to this size, so that a window is exceeded by less than one piece.
constexpr std::size_t MaxPieceBytes = 64 << 10;

} // namespace

TEST_F(TargetAttemptTest, ReadsNoMoreThanTheWindow)
{
    start(0);
    runUntilIdle();
    EXPECT_GE(m_sink->received(), ResponseWindowLimits {}.maxBytes);
    EXPECT_LT(m_sink->received(), ResponseWindowLimits {}.maxBytes + MaxPieceBytes);
    EXPECT_FALSE(m_done) << "the target is still sending the response";
    m_attempt->abort();
}

// With windows of full size, 40 slow callers of large responses made a process of 88 MB buffer 10 MB or more.
TEST_F(TargetAttemptTest, ReadsLessWhileLinksHaveMuchQueued)
{
    start(ResponseWindowLimits {}.maxQueuedBytes);
    runUntilIdle();
    EXPECT_GE(m_sink->received(), ResponseWindowLimits {}.minBytes);
    EXPECT_LT(m_sink->received(), ResponseWindowLimits {}.minBytes + MaxPieceBytes);
    m_attempt->abort();
}

// The bytes of a refusal are read and dropped; without an end to them the attempt went on until its deadline, and its
// outcome was unknown then.
TEST_F(TargetAttemptTest, RefusalWithABodyWithoutEndIsReportedAtOnce)
{
    const SocketAddress address = testAddress();
    TestListener listener(address);
    m_address = address;
    m_notRunHeader = "X-Not-Run";
    start(0);
    TestPeer peer = acceptPeer(m_loop, listener);
    ASSERT_TRUE(runUntil(m_loop, [&] { return peer.received("\r\n\r\n"); }));
    peer.write("HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\n\r\n");
    std::size_t written = 0;
    ASSERT_TRUE(runUntil(m_loop, [&] {
        written += peer.write(std::string(65'536, 'x'));
        return m_done || written > (64U << 20U);
    }));
    EXPECT_TRUE(m_done) << "read " << written << " bytes";
    EXPECT_EQ(m_result, ResultCode::TargetShed);
    EXPECT_TRUE(runUntil(m_loop, [&] { return peer.isClosed(); }));
}

TEST_F(TargetAttemptTest, ContinuesOnCreditAfterTheWindowShrank)
{
    start(0);
    runUntilIdle();
    m_queuedBytes = ResponseWindowLimits {}.maxQueuedBytes;
    std::size_t credited = 0;
    ASSERT_TRUE(runUntil(m_loop, [&] {
        const std::size_t read = m_sink->received();
        m_attempt->credit(read - std::exchange(credited, read)); // more may arrive within the call
        return m_done;
    }));
    EXPECT_EQ(m_sink->received(), ResponseBytes);
}
