// Encoded messages decode to the same value, and malformed bytes are rejected with the documented result code.
#include "jasminemast/spread/messages.h"

#include "jasminemast/support/result.h"

#include <functional>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace jasminemast;

namespace
{

Sender sampleSender()
{
    Sender sender;
    sender.host = HostId("h1");
    sender.incarnation = Incarnation(1'700'000'000'123);
    sender.refutation = 2;
    sender.reader = true;
    sender.applied = AppliedVersion {TicketNumber(7), sha256("7"), sha256("state 7")};
    sender.accepted = Head {TicketNumber(8), sha256("8")};
    return sender;
}

ControlMessage sampleMessage(ControlBody body)
{
    ControlMessage message;
    message.sender = sampleSender();
    message.updates = {{HostId("h2"), Incarnation(5), 1, Liveness::Dead}};
    ZoneSummary summary;
    summary.zone = ZoneId("z1");
    summary.liveHosts = 40;
    summary.laggards = {{HostId("h9"), TicketNumber(6)}};
    summary.dead = {HostId("h4"), HostId("h5")};
    summary.age = Milliseconds(1234);
    message.summaries = {summary};
    message.body = std::move(body);
    return message;
}

std::vector<ControlBody> allBodies()
{
    return {Ping {3, HostId("h7")}, PingRequest {4, HostId("h8")}, Ack {5, HostId()}, Announce {}, Report {}};
}

PullReply samplePullReply()
{
    PullReply reply;
    reply.id = 9;
    reply.sender = sampleSender();
    reply.tickets = {{TicketNumber(7), std::string(40'000, 'x')}, {TicketNumber(8), "{}"}};
    return reply;
}

void expectDecodeError(ResultCode code, const std::function<void()> &decode)
{
    try {
        decode();
        ADD_FAILURE() << "decoded malformed bytes";
    } catch (const ResultError &error) {
        EXPECT_EQ(error.code(), code) << error.what();
    }
}

/// True when \p decode succeeds or fails with \p code or FrameTooLarge.
bool decodesOrThrows(ResultCode code, const std::function<void()> &decode)
{
    try {
        decode();
    } catch (const ResultError &error) {
        return error.code() == code || error.code() == ResultCode::FrameTooLarge;
    }
    return true;
}

} // namespace

TEST(Messages, EveryKindRoundTrips)
{
    for (const auto &body : allBodies()) {
        const auto message = sampleMessage(body);
        EXPECT_EQ(decodeControlMessage(encodeControlMessage(message)), message);
    }
    const PullRequest request {3, TicketNumber(4), TicketNumber(5), sampleSender()};
    EXPECT_EQ(decodePullRequest(encodePullRequest(request)), request);
    EXPECT_EQ(decodePullReply(encodePullReply(samplePullReply())), samplePullReply());
}

TEST(Messages, RejectsEveryTruncation)
{
    const auto bytes = encodeControlMessage(sampleMessage(Ping {1, HostId("h2")}));
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        expectDecodeError(ResultCode::DatagramMalformed, [&] { decodeControlMessage(bytes.substr(0, length)); });
    }
    expectDecodeError(ResultCode::DatagramMalformed, [&] { decodeControlMessage(bytes + "x"); });
}

TEST(Messages, RejectsOtherProtocolVersion)
{
    auto bytes = encodeControlMessage(sampleMessage(Announce {}));
    bytes[0] = 99;
    expectDecodeError(ResultCode::DatagramMalformed, [&] { decodeControlMessage(bytes); });
}

TEST(Messages, RejectsOverlongNames)
{
    auto message = sampleMessage(Announce {});
    message.sender.host = HostId(std::string(65, 'h'));
    EXPECT_THROW(encodeControlMessage(message), std::length_error);
}

RC_GTEST_PROP(Messages, RandomBytesFailWithTheirResultCode, (const std::string &bytes))
{
    RC_ASSERT(decodesOrThrows(ResultCode::DatagramMalformed, [&] { decodeControlMessage(bytes); }));
    RC_ASSERT(decodesOrThrows(ResultCode::FrameMalformed, [&] { decodePullRequest(bytes); }));
    RC_ASSERT(decodesOrThrows(ResultCode::FrameMalformed, [&] { decodePullReply(bytes); }));
}

RC_GTEST_PROP(Messages, CorruptedMessagesDecodeOrFailWithTheirResultCode, ())
{
    const auto bodies = allBodies();
    auto bytes = encodeControlMessage(sampleMessage(*rc::gen::elementOf(bodies)));
    const auto flips = *rc::gen::container<std::vector<std::pair<std::size_t, std::uint8_t>>>(
        rc::gen::pair(rc::gen::inRange<std::size_t>(0, bytes.size()), rc::gen::arbitrary<std::uint8_t>()));
    for (const auto &[position, value] : flips) {
        bytes[position] = static_cast<char>(value);
    }
    RC_ASSERT(decodesOrThrows(ResultCode::DatagramMalformed, [&] { decodeControlMessage(bytes); }));
}
