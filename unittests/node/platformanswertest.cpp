// Answers of the platform that are cut, oversized, of the wrong type or without an index: each is refused with a code,
// and the next good answer is taken.
#include "jasminemast/node/configsource.h"
#include "jasminemast/node/sourcewatcher.h"

#include "../net/testpeer.h"

#include "jasminemast/net/httpserver.h"

#include <gtest/gtest.h>

namespace jasminemast
{
namespace
{

struct Answer
{
    const char *name;
    unsigned status;
    HttpHeaders headers;
    std::string body;
    ResultCode code; ///< what reading the head comes to
};

const HttpHeaders GoodIndex = {{"X-Index", "7"}};

std::string goodHead()
{
    return R"({"number":3,"digest":")" + std::string(64, 'a') + "\"}";
}

std::vector<Answer> badAnswers()
{
    return {
        {"no index", 200, {}, goodHead(), ResultCode::SourceAnswerMalformed},
        {"index that is no number", 200, {{"X-Index", "7&wait=0"}}, goodHead(), ResultCode::SourceAnswerMalformed},
        {"index without end", 200, {{"X-Index", std::string(30, '9')}}, goodHead(), ResultCode::SourceAnswerMalformed},
        {"server error", 500, GoodIndex, goodHead(), ResultCode::SourceUnreachable},
        {"redirect", 302, {{"X-Index", "7"}, {"Location", "/elsewhere"}}, "", ResultCode::SourceUnreachable},
        {"cut", 200, GoodIndex, goodHead().substr(0, 30), ResultCode::AcceptedMalformed},
        {"wrong type", 200, GoodIndex, R"({"number":"3","digest":5})", ResultCode::AcceptedMalformed},
        {"deep nesting", 200, GoodIndex, std::string(1'000, '['), ResultCode::AcceptedMalformed},
        {"oversized", 200, GoodIndex, std::string(2 << 20, ' '), ResultCode::SourceUnreachable},
        {"random bytes", 200, GoodIndex, std::string("\x00\xff\x17{]\x80", 6), ResultCode::AcceptedMalformed},
    };
}

class PlatformAnswerTest : public testing::Test
{
protected:
    void SetUp() override
    {
        m_server = std::make_unique<HttpServer>(
            m_loop, m_address, HttpServerLimits {},
            [this](const std::shared_ptr<HttpExchange> &exchange) {
                exchange->respond(m_answer.status, m_answer.headers, m_answer.body);
            },
            [](ResultCode) {});
    }

    ResultCode readHead()
    {
        std::optional<ResultCode> seen;
        HttpConfigSource source(m_client, "http://" + m_address.toString());
        source.watchHead(Milliseconds(0), [&seen](ResultCode code, std::optional<Head>) { seen = code; });
        EXPECT_TRUE(runUntil(m_loop, [&seen] { return seen.has_value(); }));
        return seen.value_or(ResultCode::InternalError);
    }

    Loop m_loop;
    SocketAddress m_address = testAddress();
    Answer m_answer;
    std::unique_ptr<HttpServer> m_server;
    HttpClient m_client {m_loop};
};

TEST_F(PlatformAnswerTest, BadHeadsAreRefusedAndTheNextGoodOneIsTaken)
{
    for (const Answer &bad : badAnswers()) {
        SCOPED_TRACE(bad.name);
        m_answer = bad;
        EXPECT_EQ(readHead(), bad.code);
        m_answer = {"good", 200, GoodIndex, goodHead(), ResultCode::Ok};
        EXPECT_EQ(readHead(), ResultCode::Ok);
    }
}

TEST_F(PlatformAnswerTest, WatcherReportsOnlyAnswersWithAnIndex)
{
    int values = 0;
    std::vector<ResultCode> failures;
    SourceWatcher watcher(m_loop, m_client, "http://" + m_address.toString() + "/v1/hosts",
                          {[&values](std::string_view) { ++values; },
                           [&failures](ResultCode code, const std::string &) {
                               failures.push_back(code);
                           }});
    m_answer = {"no index", 200, {}, "[]", ResultCode::Ok};
    watcher.start();
    EXPECT_TRUE(runUntil(m_loop, [&failures] { return !failures.empty(); }));
    EXPECT_EQ(values, 0);
    EXPECT_EQ(failures.front(), ResultCode::SourceAnswerMalformed);
    m_answer = {"good", 200, GoodIndex, "[]", ResultCode::Ok};
    EXPECT_TRUE(runUntil(m_loop, [&values] { return values > 0; }));
    watcher.stop();
}

} // namespace
} // namespace jasminemast
