// Callers and handlers of uploads that do anything at any time: the server goes on, and all memory is given back.
#include "jasminemast/net/httpserver.h"

#include "testpeer.h"

#include "jasminemast/support/random.h"

#include <gtest/gtest.h>

#include <list>

namespace jasminemast
{
namespace
{

constexpr std::size_t Callers = 300; ///< of one seed
constexpr std::size_t ConcurrentCallers = 20;

class UploadFaultsTest : public testing::TestWithParam<std::uint64_t>
{
protected:
    struct Caller
    {
        TestPeer peer;
        std::string rest; ///< to be sent
        std::size_t turnsLeft; ///< until the caller leaves
    };

    std::size_t below(std::size_t bound)
    {
        return static_cast<std::size_t>(m_random.nextBelow(bound));
    }

    std::string request()
    {
        const std::size_t size = below(4) == 0 ? below(400'000) : below(60'000);
        const std::string body(size, 'x');
        switch (below(5)) {
        case 0: // stops short
            return "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(size + 1) + "\r\n\r\n" + body;
        case 1: { // small chunks, some without the last one
            std::string chunks;
            for (std::size_t i = 0; i < size / 50; ++i) {
                chunks += "5\r\nabcde\r\n";
            }
            return "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks
                + (below(2) == 0 ? "0\r\n\r\n" : "");
        }
        case 2: // more than announced
            return "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(size / 2) + "\r\n\r\n" + body;
        case 3: // malformed in the middle
            return "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nea60\r\n" + std::string(60'000, 'x')
                + "\r\nzz\r\n";
        default:
            return "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n" + body;
        }
    }

    /// Does something with a request that was passed to the handler.
    void act(HttpExchange &exchange)
    {
        switch (below(12)) {
        case 0:
            exchange.respond(503, {{"Retry-After", "1"}}, "later");
            break;
        case 1:
            exchange.beginBody(200, {}, std::nullopt);
            break;
        case 2:
            exchange.write(std::string(below(100'000), 'y'));
            break;
        case 3:
            exchange.finish();
            break;
        case 4:
            exchange.abort();
            break;
        case 5:
            exchange.withdrawResponse();
            break;
        case 6:
            exchange.dropCollectedBody();
            break;
        default:
            exchange.takeUpload(below(40'000));
        }
    }

    void turn()
    {
        if (m_started < Callers && m_callers.size() < ConcurrentCallers) {
            m_callers.push_back({TestPeer(m_address), request(), below(60)});
            ++m_started;
        }
        for (auto caller = m_callers.begin(); caller != m_callers.end();) {
            caller->rest.erase(0, caller->peer.write(std::string_view(caller->rest).substr(0, below(100'000))));
            if (caller->turnsLeft-- == 0 || caller->peer.isClosed()) {
                caller = m_callers.erase(caller);
            } else {
                ++caller;
            }
        }
        for (const auto &exchange : m_exchanges) {
            act(*exchange);
        }
        std::erase_if(m_exchanges, [](const auto &exchange) { return exchange->isOver(); });
    }

    Random m_random {GetParam()};
    Loop m_loop;
    SocketAddress m_address = testAddress();
    MemoryBudget m_budget {{ByteCount(1'000'000), ByteCount(300'000), ByteCount(3'000'000)}};
    std::list<Caller> m_callers;
    std::size_t m_started = 0;
    std::vector<std::shared_ptr<HttpExchange>> m_exchanges;
};

TEST_P(UploadFaultsTest, ServerGoesOnAndAllMemoryIsGivenBack)
{
    HttpServerLimits limits;
    limits.maxBodyBytes = 300'000;
    limits.maxCollectedBytes = 50'000;
    limits.uploadTimeout = Milliseconds(100);
    // libmicrohttpd may miss the end of a connection that arrives together with data; these timeouts close it then.
    limits.headTimeout = Milliseconds(500);
    limits.idleTimeout = Milliseconds(500);
    bool isCalm = false;
    {
        HttpServer server(
            m_loop, m_address, limits,
            [&](const std::shared_ptr<HttpExchange> &exchange) {
                if (isCalm) {
                    exchange->respond(200, {}, "calm");
                    return;
                }
                m_exchanges.push_back(exchange);
            },
            [](ResultCode) {}, HttpServerMemory {&m_budget, {}});
        EXPECT_TRUE(runUntil(m_loop, [&] {
            turn();
            return m_started == Callers && m_callers.empty();
        }));
        isCalm = true;
        for (const auto &exchange : m_exchanges) {
            exchange->abort();
        }
        EXPECT_TRUE(runUntil(m_loop, [&] { return server.connections() == 0; }));
        EXPECT_EQ(m_budget.holders(), 0U);
        TestPeer peer(m_address);
        runUntil(m_loop, [&] { return peer.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n") > 0; });
        EXPECT_TRUE(runUntil(m_loop, [&] { return peer.received("\r\n\r\ncalm"); }));
    }
    EXPECT_EQ(m_budget.holders(), 0U);
}

TEST_P(UploadFaultsTest, ServerIsDestroyedInTheMiddle)
{
    HttpServerLimits limits;
    limits.maxBodyBytes = 300'000;
    limits.maxCollectedBytes = 50'000;
    {
        HttpServer server(
            m_loop, m_address, limits,
            [&](const std::shared_ptr<HttpExchange> &exchange) { m_exchanges.push_back(exchange); }, [](ResultCode) {},
            HttpServerMemory {&m_budget, {}});
        runUntil(m_loop, [&, turns = 0]() mutable {
            turn();
            return ++turns > 100;
        });
    }
    EXPECT_EQ(m_budget.holders(), 0U);
}

INSTANTIATE_TEST_SUITE_P(Seeds, UploadFaultsTest, testing::Range<std::uint64_t>(1, 7));

} // namespace
} // namespace jasminemast
