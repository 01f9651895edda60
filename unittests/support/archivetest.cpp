// Encoding of messages and decoding of random and damaged bytes.
#include "jasminemast/support/archive.h"
#include "jasminemast/support/ids.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <map>
#include <optional>

namespace jasminemast
{
namespace
{

/// Has a field of each kind that messages use.
struct SampleMessage
{
    std::uint64_t number = 0;
    CallId call;
    std::vector<std::pair<std::string, std::string>> headers;
    std::vector<std::uint16_t> ports;
    std::optional<std::uint64_t> length;
    std::map<std::string, std::uint32_t> names;
    bool flag = false;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(number, call, headers, ports, length, names, flag);
    }
};

SampleMessage sample()
{
    SampleMessage message;
    message.number = 7;
    message.call = {HostId("h1"), Incarnation(2), 3};
    message.headers = {{"A", "b"}, {"C", ""}};
    message.ports = {1, 2};
    message.length = 9;
    message.names = {{"x", 1}};
    message.flag = true;
    return message;
}

TEST(Archive, DecodesEncodedMessage)
{
    const std::string bytes = encodeMessage(sample());
    const auto decoded = decodeMessage<SampleMessage>(bytes, ResultCode::FrameMalformed);
    EXPECT_EQ(encodeMessage(decoded), bytes);
    EXPECT_EQ(decoded.headers.at(1).first, "C");
}

TEST(Archive, RefusesTruncatedMessagesAndExtraBytes)
{
    const std::string bytes = encodeMessage(sample());
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        EXPECT_THROW(decodeMessage<SampleMessage>(bytes.substr(0, size), ResultCode::FrameMalformed), ResultError)
            << size;
    }
    EXPECT_THROW(decodeMessage<SampleMessage>(bytes + "x", ResultCode::FrameMalformed), ResultError);
}

/// True if \p bytes are decoded or refused with the code passed to decodeMessage().
bool isDecodedOrRefused(const std::string &bytes)
{
    try {
        decodeMessage<SampleMessage>(bytes, ResultCode::DatagramMalformed);
        return true;
    } catch (const ResultError &error) {
        return error.code() == ResultCode::DatagramMalformed;
    }
}

RC_GTEST_PROP(Archive, DecodesOrRefusesRandomBytes, (const std::string &bytes))
{
    RC_ASSERT(isDecodedOrRefused(bytes));
}

RC_GTEST_PROP(Archive, DecodesOrRefusesDamagedMessages, (std::uint8_t value))
{
    std::string bytes = encodeMessage(sample());
    bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = static_cast<char>(value);
    RC_ASSERT(isDecodedOrRefused(bytes));
}

/// Counts how many instances were constructed.
struct CountedElement
{
    CountedElement()
    {
        ++s_constructed;
    }

    std::string text;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(text);
    }

    static inline int s_constructed = 0;
};

TEST(Archive, FalseLengthConstructsNoElementsBeyondTheInput)
{
    std::vector<CountedElement> elements;
    const std::uint32_t claimedLength = 1'000;
    const std::string bytes = encodeMessage(claimedLength) + std::string(1'000, '\xff');
    EXPECT_THROW(decodeMessage<std::vector<CountedElement>>(bytes, ResultCode::FrameMalformed), ResultError);
    EXPECT_EQ(CountedElement::s_constructed, 1);
}

// Found by syncfuzzer: any other byte in a bool is undefined behavior.
TEST(Archive, RefusesFlagThatIsNeitherTrueNorFalse)
{
    std::string bytes = encodeMessage(sample());
    for (const char byte : {'\2', '\xff'}) {
        bytes.back() = byte;
        EXPECT_THROW(decodeMessage<SampleMessage>(bytes, ResultCode::FrameMalformed), ResultError);
    }
    bytes.back() = '\1';
    EXPECT_TRUE(decodeMessage<SampleMessage>(bytes, ResultCode::FrameMalformed).flag);
}

} // namespace
} // namespace jasminemast
