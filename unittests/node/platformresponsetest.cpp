// Platform responses that are truncated, oversized, of the wrong type or without an index are refused with a code, and
// the next valid response is accepted.
#include "jasminemast/node/configsource.h"
#include "jasminemast/node/sourcewatcher.h"

#include "../net/testpeer.h"

#include "jasminemast/net/httpserver.h"

#include <gtest/gtest.h>

namespace jasminemast
{
namespace
{

struct TestResponse
{
    const char *name;
    unsigned status;
    HttpHeaders headers;
    std::string body;
    ResultCode code; ///< result of reading the head
};

const HttpHeaders ValidIndex = {{"X-Index", "7"}};

std::string validHead()
{
    return R"({"number":3,"digest":")" + std::string(64, 'a') + "\"}";
}

std::vector<TestResponse> invalidResponses()
{
    return {
        {"no index", 200, {}, validHead(), ResultCode::SourceAnswerMalformed},
        {"index that is not a number", 200, {{"X-Index", "7&wait=0"}}, validHead(), ResultCode::SourceAnswerMalformed},
        {"overlong index", 200, {{"X-Index", std::string(30, '9')}}, validHead(), ResultCode::SourceAnswerMalformed},
        {"server error", 500, ValidIndex, validHead(), ResultCode::SourceUnreachable},
        {"redirect", 302, {{"X-Index", "7"}, {"Location", "/elsewhere"}}, "", ResultCode::SourceUnreachable},
        {"cut", 200, ValidIndex, validHead().substr(0, 30), ResultCode::AcceptedMalformed},
        {"wrong type", 200, ValidIndex, R"({"number":"3","digest":5})", ResultCode::AcceptedMalformed},
        {"deep nesting", 200, ValidIndex, std::string(1'000, '['), ResultCode::AcceptedMalformed},
        {"oversized", 200, ValidIndex, std::string(2 << 20, ' '), ResultCode::SourceUnreachable},
        {"random bytes", 200, ValidIndex, std::string("\x00\xff\x17{]\x80", 6), ResultCode::AcceptedMalformed},
    };
}

class PlatformResponseTest : public testing::Test
{
protected:
    void SetUp() override
    {
        m_server = std::make_unique<HttpServer>(
            m_loop, m_address, HttpServerLimits {},
            [this](const std::shared_ptr<HttpExchange> &exchange) {
                exchange->respond(m_response.status, m_response.headers, m_response.body);
            },
            [](ResultCode) {});
    }

    ResultCode readHead()
    {
        std::optional<ResultCode> result;
        HttpConfigSource source(m_client, "http://" + m_address.toString());
        source.watchHead(Milliseconds(0), [&result](ResultCode code, std::optional<Head>) { result = code; });
        EXPECT_TRUE(runUntil(m_loop, [&result] { return result.has_value(); }));
        return result.value_or(ResultCode::InternalError);
    }

    Loop m_loop;
    SocketAddress m_address = testAddress();
    TestResponse m_response;
    std::unique_ptr<HttpServer> m_server;
    HttpClient m_client {m_loop};
};

TEST_F(PlatformResponseTest, RefusesInvalidHeadsAndAcceptsTheNextValidOne)
{
    for (const TestResponse &invalid : invalidResponses()) {
        SCOPED_TRACE(invalid.name);
        m_response = invalid;
        EXPECT_EQ(readHead(), invalid.code);
        m_response = {"valid", 200, ValidIndex, validHead(), ResultCode::Ok};
        EXPECT_EQ(readHead(), ResultCode::Ok);
    }
}

TEST_F(PlatformResponseTest, WatcherReportsOnlyResponsesWithIndex)
{
    int values = 0;
    std::vector<ResultCode> failures;
    SourceWatcher watcher(m_loop, m_client, "http://" + m_address.toString() + "/v1/hosts",
                          {[&values](std::string_view) { ++values; },
                           [&failures](ResultCode code, const std::string &) {
                               failures.push_back(code);
                           }});
    m_response = {"no index", 200, {}, "[]", ResultCode::Ok};
    watcher.start();
    EXPECT_TRUE(runUntil(m_loop, [&failures] { return !failures.empty(); }));
    EXPECT_EQ(values, 0);
    EXPECT_EQ(failures.front(), ResultCode::SourceAnswerMalformed);
    m_response = {"valid", 200, ValidIndex, "[]", ResultCode::Ok};
    EXPECT_TRUE(runUntil(m_loop, [&values] { return values > 0; }));
    watcher.stop();
}

} // namespace
} // namespace jasminemast
