// Responses of the store that arrive slowly, stall, or never begin.
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
    /// Sends \p body in \p pieces with a pause after each, and stops after \p maxPieces of them.
    void respondInPieces(const std::string &body, std::size_t pieces, std::size_t maxPieces)
    {
        m_server = std::make_unique<HttpServer>(
            m_loop, m_address, HttpServerLimits {},
            [this, body, pieces, maxPieces](const std::shared_ptr<HttpExchange> &exchange) {
                m_exchange = exchange;
                exchange->beginBody(200, {}, body.size());
                m_sender = std::make_unique<Timer>(m_loop,
                                                   [this, body, pieces, maxPieces] { send(body, pieces, maxPieces); });
                m_sender->startRepeating(300ms);
            },
            [](ResultCode) {});
    }

    void send(const std::string &body, std::size_t pieces, std::size_t maxPieces)
    {
        if (m_sent == maxPieces) {
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
        client.list("", [&](RegistryResponse response) { result = std::move(response); });
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

// On a slow link, a large configuration takes longer than the timeout that detects an unreachable store.
TEST_F(StoreClientTest, WaitsForSlowResponseThatMakesProgress)
{
    respondInPieces(R"({"items":[],"store-revision":530})", 8, 8);
    const RegistryResponse response = list();
    EXPECT_EQ(response.code, ResultCode::Ok);
    EXPECT_EQ(response.revision, Revision(530));
}

TEST_F(StoreClientTest, TimesOutWhenResponseStalls)
{
    respondInPieces(R"({"items":[],"store-revision":530})", 8, 2);
    EXPECT_EQ(list().code, ResultCode::RegistryUnreachable);
    EXPECT_EQ(m_sent, 2U);
}

TEST_F(StoreClientTest, TimesOutWhenResponseNeverBegins)
{
    m_server = std::make_unique<HttpServer>(
        m_loop, m_address, HttpServerLimits {},
        [this](const std::shared_ptr<HttpExchange> &exchange) { m_exchange = exchange; }, [](ResultCode) {});
    EXPECT_EQ(list().code, ResultCode::RegistryUnreachable);
}
