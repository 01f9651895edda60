// How much of an answer a host takes from its target when nobody reads on.
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

constexpr std::size_t AnswerBytes = 4 << 20;

/// Counts what it gets and reads on only when told to.
class CountingSink final : public AnswerSink
{
public:
    void refused(ResultCode, const std::string &, float) override
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
    /// Starts an attempt on a host whose links hold \p held bytes.
    void start(std::size_t held)
    {
        m_held = held;
        OpenMessage open;
        open.method = "GET";
        open.target = "/";
        open.repeatable = true;
        m_attempt = std::make_shared<TargetAttempt>(std::move(open), "", m_sink);
        m_attempt->setHeadContext([](HeadMessage &) {});
        const auto window = [this] {
            return responseWindow(m_held);
        };
        m_attempt->start(
            m_http, TargetRequest {"http://" + m_address.toString(), 60'000ms, {}, window},
            [this](const HttpClientResult &, const std::shared_ptr<const CachedResponse> &) { m_done = true; });
    }

    /// Runs until nothing more arrives for some time.
    void settle()
    {
        std::size_t last = 0;
        int quiet = 0;
        ASSERT_TRUE(runUntil(m_loop, [&] {
            quiet = m_sink->received() == last && last > 0 ? quiet + 1 : 0;
            last = m_sink->received();
            return quiet > 50;
        }));
    }

    Loop m_loop;
    SocketAddress m_address = testAddress();
    HttpServer m_server {m_loop, m_address, HttpServerLimits {},
                         [](const std::shared_ptr<HttpExchange> &exchange) {
                             exchange->respond(200, {}, std::string(AnswerBytes, 'x'));
                         },
                         [](ResultCode) {
                         }};
    HttpClient m_http {m_loop};
    std::shared_ptr<CountingSink> m_sink = std::make_shared<CountingSink>();
    std::shared_ptr<TargetAttempt> m_attempt;
    std::size_t m_held = 0;
    bool m_done = false;
};

/// libcurl passes on pieces of up to this size, so that a window is overstepped by less than one.
constexpr std::size_t PieceBytes = 64 << 10;

} // namespace

TEST_F(TargetAttemptTest, TakesNoMoreThanTheWindow)
{
    start(0);
    settle();
    EXPECT_GE(m_sink->received(), ResponseWindowLimits {}.maxBytes);
    EXPECT_LT(m_sink->received(), ResponseWindowLimits {}.maxBytes + PieceBytes);
    EXPECT_FALSE(m_done) << "the target is still busy with the answer";
    m_attempt->abort();
}

// Forty slow readers of large answers would otherwise make a process of 88 MB hold 10 MB and more.
TEST_F(TargetAttemptTest, TakesLessWhileTheHostHoldsMuch)
{
    start(ResponseWindowLimits {}.maxQueuedBytes);
    settle();
    EXPECT_GE(m_sink->received(), ResponseWindowLimits {}.minBytes);
    EXPECT_LT(m_sink->received(), ResponseWindowLimits {}.minBytes + PieceBytes);
    m_attempt->abort();
}

TEST_F(TargetAttemptTest, GoesOnWhenItsReaderDoesThoughTheWindowShrank)
{
    start(0);
    settle();
    m_held = ResponseWindowLimits {}.maxQueuedBytes;
    std::size_t credited = 0;
    ASSERT_TRUE(runUntil(m_loop, [&] {
        const std::size_t read = m_sink->received();
        m_attempt->credit(read - std::exchange(credited, read)); // more may arrive within the call
        return m_done;
    }));
    EXPECT_EQ(m_sink->received(), AnswerBytes);
}
