// Responses of targets that are cut at each byte: none may pass for a complete one.
#include "jasminemast/net/targetclient.h"

#include "testpeer.h"

#include <gtest/gtest.h>

#include <vector>

namespace jasminemast
{
namespace
{

using std::chrono_literals::operator""ms;

const std::string Ok = "HTTP/1.1 200 OK\r\nX-Id: a\r\n";
const std::string Chunks = "3\r\nabc\r\n1a;x=y\r\nabcdefghijklmnopqrstuvwxyz\r\n0\r\nX-Trailer: z\r\n\r\n";

enum class End {
    Orderly,
    Reset,
};

class CutResponseTest : public testing::TestWithParam<std::tuple<bool, End>>
{
protected:
    struct Outcome
    {
        unsigned status = 0;
        std::string body;
        std::optional<HttpClientResult> result;
    };

    std::shared_ptr<Outcome> start(const std::string &id)
    {
        TargetClientRequest request;
        request.address = m_address;
        request.method = "POST";
        request.target = "/x";
        request.headers = {{"X-Id", id}};
        request.requestIdHeader = "X-Id";
        request.atMostOnce = true;
        request.timeout = 60'000ms;
        const auto outcome = std::make_shared<Outcome>();
        TargetTransfer::Handlers handlers;
        handlers.onHead = [outcome](unsigned status, const HttpHeaders &, std::optional<std::uint64_t>) {
            outcome->status = status;
        };
        handlers.onData = [outcome](std::string_view bytes) {
            outcome->body.append(bytes);
        };
        handlers.onDone = [outcome](const HttpClientResult &result) {
            outcome->result = result;
        };
        m_client.start(std::move(request), std::move(handlers));
        return outcome;
    }

    /// What becomes of a response that ends after \p bytes.
    Outcome responseOf(std::string_view bytes)
    {
        const auto [isKept, end] = GetParam();
        std::shared_ptr<Outcome> outcome = start(isKept ? "before" : "a");
        TestPeer peer = acceptPeer(m_loop, m_listener);
        if (isKept) {
            EXPECT_TRUE(runUntil(m_loop, [&] { return peer.received("X-Id: before\r\n"); }));
            peer.write("HTTP/1.1 200 OK\r\nX-Id: before\r\nContent-Length: 0\r\n\r\n");
            EXPECT_TRUE(runUntil(m_loop, [&] { return outcome->result.has_value(); }));
            outcome = start("a");
        }
        EXPECT_TRUE(runUntil(m_loop, [&] { return peer.received("X-Id: a\r\n"); }));
        peer.write(bytes);
        if (end == End::Reset) {
            peer.reset();
        } else {
            peer.close();
        }
        EXPECT_TRUE(runUntil(m_loop, [&] { return outcome->result.has_value(); }));
        return *outcome;
    }

    void expectIncomplete(std::string_view bytes)
    {
        SCOPED_TRACE(bytes);
        const Outcome outcome = responseOf(bytes);
        ASSERT_TRUE(outcome.result);
        EXPECT_NE(outcome.result->code, ResultCode::Ok);
        EXPECT_TRUE(outcome.result->requestSent) << "it may have run";
    }

    Loop m_loop;
    SystemClock m_clock;
    SocketAddress m_address = testAddress();
    TestListener m_listener {m_address};
    TargetClient m_client {m_loop, m_clock};
};

TEST_P(CutResponseTest, HeadCutAtAnyByteIsNeverPassedOn)
{
    const std::vector<std::string> heads = {
        Ok + "Content-Length: 12\r\n\r\n",
        Ok + "\r\n",
        Ok + "Transfer-Encoding: chunked\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\n" + Ok + "Content-Length: 0\r\n\r\n",
    };
    for (const std::string &head : heads) {
        for (std::size_t size = 0; size < head.size(); ++size) {
            const std::string_view cut = std::string_view(head).substr(0, size);
            expectIncomplete(cut);
            EXPECT_EQ(responseOf(cut).status, 0U);
        }
    }
}

// 000 was taken for an interim response whose body was passed on, 600 and more for a final one.
TEST_P(CutResponseTest, StatusThatNoResponseHasIsNeverPassedOn)
{
    for (const char *status :
         {"000", "001", "099", "600", "999", "0", "20", "2000", "+20", "-20", " 20", "2 0", "2OO", ""}) {
        for (const char *before : {"", "HTTP/1.1 100 Continue\r\n\r\n"}) {
            const std::string response = std::string(before) + "HTTP/1.1 " + status
                + " Strange\r\nX-Id: a\r\nX-Seal: s\r\nContent-Length: 3\r\n\r\nabc";
            expectIncomplete(response);
            EXPECT_EQ(responseOf(response).status, 0U) << response;
            EXPECT_EQ(responseOf(response).body, "") << response;
        }
    }
}

TEST_P(CutResponseTest, BodyCutAtAnyByteIsIncomplete)
{
    const std::vector<std::string> responses = {
        Ok + "Content-Length: 20\r\n\r\n01234567890123456789",
        Ok + "Transfer-Encoding: chunked\r\n\r\n" + Chunks,
        "HTTP/1.1 100 Continue\r\n\r\n" + Ok + "Transfer-Encoding: chunked\r\n\r\n" + Chunks,
    };
    for (const std::string &response : responses) {
        for (std::size_t size = response.find("\r\n\r\n") + 4; size < response.size(); ++size) {
            expectIncomplete(std::string_view(response).substr(0, size));
        }
    }
}

TEST_P(CutResponseTest, BodyWithoutLengthIsCompleteOnlyAfterAnOrderlyEnd)
{
    const Outcome outcome = responseOf(Ok + "\r\nabc");
    ASSERT_TRUE(outcome.result);
    if (std::get<End>(GetParam()) == End::Reset) {
        EXPECT_NE(outcome.result->code, ResultCode::Ok);
        return;
    }
    EXPECT_EQ(outcome.result->code, ResultCode::Ok) << outcome.result->detail;
    EXPECT_EQ(outcome.body, "abc");
}

TEST_P(CutResponseTest, ConflictingLengthsAreNotPassedOn)
{
    const std::vector<std::string> heads = {
        Ok + "Content-Length: 3\r\nContent-Length: 4\r\n\r\n",
        Ok + "Content-Length: 4\r\nContent-Length: 3\r\n\r\n",
        Ok + "Content-Length: 3, 4\r\n\r\n",
        Ok + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
        Ok + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n",
        Ok + "Content-Length: -3\r\n\r\n",
        Ok + "Content-Length: 99999999999999999999999\r\n\r\n",
        Ok + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
    };
    for (const std::string &head : heads) {
        expectIncomplete(head + "abc");
    }
}

TEST_P(CutResponseTest, BodyWithATransferEncodingIsNotPassedOnAsDecoded)
{
    for (const std::string encoding : {"gzip", "gzip, chunked", "chunked, gzip", "chunked, chunked"}) {
        for (const std::string length : {"", "Content-Length: 3\r\n"}) {
            expectIncomplete(Ok + "Transfer-Encoding: " + encoding + "\r\n" + length + "\r\n3\r\nabc\r\n0\r\n\r\n");
        }
    }
}

TEST_P(CutResponseTest, NamesOfTransferEncodingsIgnoreCase)
{
    const Outcome outcome = responseOf(Ok + "Transfer-Encoding: Chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
    ASSERT_TRUE(outcome.result);
    if (std::get<End>(GetParam()) == End::Orderly) {
        EXPECT_EQ(outcome.result->code, ResultCode::Ok) << outcome.result->detail;
        EXPECT_EQ(outcome.body, "abc");
    }
}

INSTANTIATE_TEST_SUITE_P(Connections, CutResponseTest,
                         testing::Combine(testing::Bool(), testing::Values(End::Orderly, End::Reset)));

} // namespace
} // namespace jasminemast
