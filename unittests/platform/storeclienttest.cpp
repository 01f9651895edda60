// The store's answers over a connection: slow, standing still, and lost.
#include "platform/storeclient.h"

#include "jasminemast/net/httpserver.h"

#include "../net/testpeer.h"

#include <gtest/gtest.h>

using namespace jasminemast;
using namespace jasminemast::platform;
using namespace std::chrono_literals;

namespace
{

class StoreClientTest : public testing::Test
{
protected:
    /// Sends \p body in pieces with a pause after each; \p upTo of them, then nothing more.
    void answerInPieces(const std::string &body, std::size_t pieces, std::size_t upTo)
    {
        m_server = std::make_unique<HttpServer>(
            m_loop, m_address, HttpServerLimits {},
            [this, body, pieces, upTo](const std::shared_ptr<HttpExchange> &exchange) {
                m_exchange = exchange;
                exchange->beginBody(200, {}, body.size());
                m_sender = std::make_unique<Timer>(m_loop, [this, body, pieces, upTo] { send(body, pieces, upTo); });
                m_sender->startRepeating(300ms);
            },
            [](ResultCode) {});
    }

    void send(const std::string &body, std::size_t pieces, std::size_t upTo)
    {
        if (m_sent == upTo) {
            return;
        }
        const std::size_t size = body.size() / pieces + 1;
        m_exchange->write(body.substr(m_sent * size, size));
        if (++m_sent == pieces) {
            m_exchange->finish();
        }
    }

    RegistryResponse list()
    {
        StoreClient client(m_loop, m_address.toString());
        std::optional<RegistryResponse> result;
        client.list("", [&](RegistryResponse answer) { result = std::move(answer); });
        EXPECT_TRUE(runUntil(m_loop, [&] { return result.has_value(); }));
        return result.value_or(RegistryResponse {});
    }

    Loop m_loop;
    SocketAddress m_address = testAddress();
    std::unique_ptr<HttpServer> m_server;
    std::shared_ptr<HttpExchange> m_exchange;
    std::unique_ptr<Timer> m_sender;
    std::size_t m_sent = 0;
};

} // namespace

// On a narrow link a large configuration takes longer than a store that is down may take to be noticed.
TEST_F(StoreClientTest, AnswerThatComesSteadilyIsWaitedFor)
{
    answerInPieces(R"({"items":[],"store-revision":530})", 8, 8);
    const RegistryResponse answer = list();
    EXPECT_EQ(answer.code, ResultCode::Ok);
    EXPECT_EQ(answer.revision, Revision(530));
}

TEST_F(StoreClientTest, AnswerThatStandsStillIsGivenUp)
{
    answerInPieces(R"({"items":[],"store-revision":530})", 8, 2);
    EXPECT_EQ(list().code, ResultCode::RegistryUnreachable);
    EXPECT_EQ(m_sent, 2U);
}

TEST_F(StoreClientTest, AnswerThatNeverBeginsIsGivenUp)
{
    m_server = std::make_unique<HttpServer>(
        m_loop, m_address, HttpServerLimits {},
        [this](const std::shared_ptr<HttpExchange> &exchange) { m_exchange = exchange; }, [](ResultCode) {});
    EXPECT_EQ(list().code, ResultCode::RegistryUnreachable);
}
