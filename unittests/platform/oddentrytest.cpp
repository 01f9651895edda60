// Entries of other writers among those of the servers: each names no server, costs little, and stops nothing.
#include "platform/records.h"
#include "platform/storeclient.h"

#include "jasminemast/registry/registryfollower.h"
#include "jasminemast/support/base64.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <malloc.h>
#include <new>

using namespace jasminemast;
using namespace jasminemast::platform;
using Json = nlohmann::json;

namespace
{

std::size_t allocatedBytes = 0;
std::size_t peakBytes = 0;

} // namespace

// NOLINTBEGIN(cppcoreguidelines-no-malloc,cppcoreguidelines-owning-memory): the allocator that counts
[[gnu::noinline]] void *operator new(std::size_t size)
{
    void *memory = std::malloc(size);
    if (memory == nullptr) {
        throw std::bad_alloc();
    }
    allocatedBytes += malloc_usable_size(memory);
    peakBytes = std::max(peakBytes, allocatedBytes);
    return memory;
}

[[gnu::noinline]] void operator delete(void *memory) noexcept
{
    allocatedBytes -= malloc_usable_size(memory);
    std::free(memory);
}

[[gnu::noinline]] void operator delete(void *memory, std::size_t /*size*/) noexcept
{
    operator delete(memory);
}
// NOLINTEND(cppcoreguidelines-no-malloc,cppcoreguidelines-owning-memory)

namespace
{

constexpr std::size_t MaxValueBytes = 1U << 20U;

/// The text of a server's entry with \p extra in a field that is not used.
std::string serverText(const std::string &extra = "0")
{
    return R"({"address":"10.128.0.9:8080","born":1700000000000,"extra":)" + extra
        + R"(,"info":{"service":"huvo11a","version":"v1","zone":"brescia","slots":12},)"
          R"("status":{"state":"ready","seq":4,"cold-left-ms":250}})";
}

/// The text of a server's entry in which the value of \p field is \p value, which need not be valid JSON.
std::string serverTextWith(const std::string &field, const std::string &value)
{
    std::string text = serverText();
    const std::size_t start = text.find("\"" + field + "\":") + field.size() + 3;
    return text.replace(start, text.find_first_of(",}", start) - start, value);
}

std::string repeat(const std::string &text, std::size_t bytes)
{
    std::string result;
    result.reserve(bytes);
    while (result.size() + text.size() <= bytes) {
        result += text;
    }
    return result;
}

Json item(const std::string &key, const std::string &bytes, std::uint64_t revision = 7)
{
    return {
        {"key", key}, {"value", encodeBase64(bytes)}, {"rev", revision}, {"create-revision", revision}, {"lease", 0U}};
}

/// What a node that has just listed \p items knows.
RegistryFollower listed(const std::vector<Json> &items, std::uint64_t revision)
{
    RegistryFollower follower;
    const Json page = {{"items", items}, {"store-revision", revision}};
    follower.onResponse(decodeResponse(200, page.dump()), TimePoint());
    EXPECT_TRUE(follower.isListed());
    return follower;
}

void addChanges(RegistryFollower &follower, const std::vector<Json> &events, std::uint64_t revision)
{
    const Json changes = {{"events", events}, {"store-revision", revision}};
    follower.onResponse(decodeResponse(200, changes.dump()), TimePoint());
}

/// Texts that name no server.
std::vector<std::string> oddTexts()
{
    const std::size_t half = MaxValueBytes / 2 - 200;
    return {"",
            "\xff\xfe",
            repeat("[", MaxValueBytes),
            serverText(repeat("[", half) + repeat("]", half)),
            serverText("1e400"),
            serverTextWith("seq", "18446744073709551616"),
            serverTextWith("slots", "-1"),
            serverTextWith("address", "\"10.0.0.1:65536\""),
            serverTextWith("state", "\"resting\""),
            "[]",
            "null"};
}

/// A store with pages of two items.
class SmallStore
{
public:
    void write(const std::string &id, const std::string &text)
    {
        m_items["servers/" + id] = item("servers/" + id, text, ++m_revision);
        m_events.push_back(m_items["servers/" + id]);
    }

    /// Answers calls until the follower knows everything, and returns how many it made.
    int serve(RegistryFollower &follower)
    {
        constexpr int MaxCalls = 20;
        int calls = 0;
        while (calls < MaxCalls) {
            const RegistryAction action = follower.next(m_now);
            if (const auto *wait = std::get_if<registryaction::Wait>(&action)) {
                m_now = wait->until;
                continue;
            }
            const auto *watch = std::get_if<registryaction::Watch>(&action);
            if (watch != nullptr && watch->revision == Revision(m_revision)) {
                break;
            }
            ++calls;
            const Json body = watch != nullptr ? changes(watch->revision.number())
                                               : page(std::get<registryaction::List>(action).after);
            RegistryResponse response = decodeResponse(200, body.dump());
            EXPECT_EQ(response.code, ResultCode::Ok);
            follower.onResponse(std::move(response), m_now);
        }
        return calls;
    }

private:
    [[nodiscard]] Json page(const std::string &after) const
    {
        constexpr std::size_t PageItems = 2;
        auto items = Json::array();
        auto position = m_items.upper_bound(after);
        for (; position != m_items.end() && items.size() < PageItems; ++position) {
            items.push_back(position->second);
        }
        return {{"items", items}, {"has-more", position != m_items.end()}, {"store-revision", m_revision}};
    }

    [[nodiscard]] Json changes(std::uint64_t after) const
    {
        auto events = Json::array();
        for (const Json &event : m_events) {
            if (event["rev"] > after) {
                events.push_back(event);
            }
        }
        return {{"events", events}, {"store-revision", m_revision}};
    }

    std::map<std::string, Json> m_items;
    std::vector<Json> m_events;
    std::uint64_t m_revision = 0;
    TimePoint m_now;
};

bool isTarget(const std::string &bytes)
{
    return std::holds_alternative<RegisteredTarget>(*decodeItem(item("servers/odd", bytes)));
}

/// Memory beyond what was allocated before that decoding an entry takes at most.
std::size_t peakOfDecoding(const std::string &key, const std::string &bytes)
{
    const Json odd = item(key, bytes);
    const std::size_t before = allocatedBytes;
    peakBytes = before;
    EXPECT_TRUE(std::holds_alternative<InvalidRecord>(*decodeItem(odd)));
    return peakBytes - before;
}

/// Texts of the largest size that nest as deeply as they can.
std::vector<std::string> nestedTexts()
{
    const std::size_t half = MaxValueBytes / 2 - 200;
    const std::string closed = repeat("[", half) + repeat("]", half);
    return {repeat("[", MaxValueBytes), repeat("{\"a\":", MaxValueBytes), closed, serverText(closed),
            serverText(repeat("{\"a\":", half) + "0" + repeat("}", half / 5))};
}

} // namespace

TEST(OddEntryTest, NestedValueDoesNotTakeTheMemoryOfTheProcess)
{
    for (const std::string &text : nestedTexts()) {
        EXPECT_LT(peakOfDecoding("servers/odd", text), 8 * MaxValueBytes) << text.substr(0, 60);
        EXPECT_LT(peakOfDecoding("op/config", text), 8 * MaxValueBytes) << text.substr(0, 60);
    }
}

TEST(OddEntryTest, NestedFieldThatIsNotUsedNamesNoServer)
{
    EXPECT_TRUE(isTarget(serverText("[[[[[[[[{\"a\":{\"b\":{}}}]]]]]]]]")));
    EXPECT_TRUE(isTarget(serverText("\"\\\"" + repeat("[", 1'000) + "\\\\\"")));
    EXPECT_FALSE(isTarget(serverText(repeat("[", 1'000) + repeat("]", 1'000))));
}

TEST(OddEntryTest, LargeValueOfManySmallValuesDoesNotTakeTheMemoryOfTheProcess)
{
    constexpr std::size_t Bytes = MaxValueBytes - 300;
    for (const std::string text : {"{},", "[],", "[0],", "0,", "{\"a\":0},"}) {
        const std::string array = "[" + repeat(text, Bytes) + "0]";
        EXPECT_LT(peakOfDecoding("servers/odd", array), 8 * MaxValueBytes) << text;
        EXPECT_LT(peakOfDecoding("servers/odd", serverText(array)), 8 * MaxValueBytes) << text;
    }
}

TEST(OddEntryTest, EntryWithManyUnknownFieldsNamesItsServer)
{
    std::string fields = "{\"f\":0";
    for (int i = 0; i < 1'000; ++i) {
        fields += ",\"field" + std::to_string(i) + "\":{\"a\":[1,2.5,null]}";
    }
    EXPECT_TRUE(isTarget(serverText(fields + "}")));
}

TEST(OddEntryTest, NumberThatIsTooLargeDoesNotHideLaterReportsOfTheServer)
{
    const std::string draining = serverTextWith("state", "\"draining\"");
    const std::string next = serverTextWith("seq", "5");
    for (const char *field : {"born", "seq"}) {
        for (const char *value : {"18446744073709551615", "9223372036854775807", "9007199254740993", "9007199254740991",
                                  "18446744073709551616", "1e400", "1e3", "1.5", "-1"}) {
            const Json odd = item("servers/i-1", serverTextWith(field, value), 8);
            RegistryFollower follower = listed({item("servers/i-1", serverText())}, 7);
            addChanges(follower, {odd}, 8);
            EXPECT_TRUE(follower.targets().empty()) << field << " " << value;
            addChanges(follower, {item("servers/i-1", next, 9)}, 9);
            EXPECT_TRUE(follower.targets().contains(EndpointId("i-1"))) << field << " " << value;
            RegistryFollower another = listed({odd}, 8);
            addChanges(another, {item("servers/i-1", draining, 9)}, 9);
            ASSERT_EQ(another.targets().size(), 1U) << field << " " << value;
            EXPECT_TRUE(another.targets().begin()->second.target.draining) << field << " " << value;
        }
    }
}

TEST(OddEntryTest, NumberOutOfRangeNamesNoServer)
{
    for (const char *field : {"slots", "cold-left-ms", "seq", "born"}) {
        for (const char *value : {"1e400", "-1e400", "\"1\"", "true", "null", "NaN", "Infinity", "00", "0x10"}) {
            EXPECT_FALSE(isTarget(serverTextWith(field, value))) << field << " " << value;
        }
    }
    for (const char *field : {"seq", "born"}) {
        for (const char *value : {"18446744073709551615", "18446744073709551616", "9223372036854775808", "1e3", "1.5",
                                  "-1", "-9223372036854775809"}) {
            EXPECT_FALSE(isTarget(serverTextWith(field, value))) << field << " " << value;
        }
    }
    for (const char *value : {"0", "0.5", "-1", "-9223372036854775809"}) {
        EXPECT_FALSE(isTarget(serverTextWith("slots", value))) << value;
    }
    EXPECT_FALSE(isTarget(serverText("1e400"))) << "in a field that is not used";
}

// Guards against a living server that is taken out for a number of which the node needs no more than its size.
TEST(OddEntryTest, NumberOfUnusualSizeOrFormKeepsItsServer)
{
    const auto target = [](const char *field, const char *value) {
        const auto record = decodeItem(item("servers/odd", serverTextWith(field, value)));
        const auto *result = std::get_if<RegisteredTarget>(&*record);
        return result == nullptr ? RegisteredTarget() : *result;
    };
    const std::vector<std::pair<const char *, unsigned>> slots = {{"12.0", 12},
                                                                  {"1e3", 1'000},
                                                                  {"1.5", 1},
                                                                  {"1000001", 1'000'000},
                                                                  {"9223372036854775808", 1'000'000},
                                                                  {"18446744073709551616", 1'000'000}};
    for (const auto &[value, expected] : slots) {
        EXPECT_EQ(target("slots", value).slots, expected) << value;
    }
    const std::vector<std::pair<const char *, Milliseconds>> warmUps
        = {{"250.0", Milliseconds(250)},
           {"1e3", Milliseconds(1'000)},
           {"1.5", Milliseconds(1)},
           {"-1", Milliseconds(0)},
           {"172800000", std::chrono::hours(24)},
           {"18446744073709551616", std::chrono::hours(24)}};
    for (const auto &[value, expected] : warmUps) {
        EXPECT_EQ(target("cold-left-ms", value).id, EndpointId("odd")) << value;
        EXPECT_EQ(target("cold-left-ms", value).warmUpRemaining, expected) << value;
    }
}

TEST(OddEntryTest, AddressThatCannotBeReachedNamesNoServer)
{
    for (const std::string address : {"10.0.0.1",
                                      "10.0.0.1:",
                                      ":80",
                                      "10.0.0.1:0",
                                      "10.0.0.1:65536",
                                      "10.0.0.1:99999999999",
                                      "10.0.0.1:18446744073709551696",
                                      "10.0.0.1:-1",
                                      "10.0.0.1:+80",
                                      "10.0.0.1: 80",
                                      "10.0.0.1:80 ",
                                      "10.0.0.1:80:80",
                                      "10.0.0.1:8e1",
                                      "10.0.0.1:0x50",
                                      "10.0.0.1:http",
                                      "",
                                      ":",
                                      "[::1]:80",
                                      "::1",
                                      "::1:80",
                                      "localhost:80",
                                      "10.0.0:80",
                                      "10.0.0.256:80",
                                      "10.0.0.1\\u0000:80",
                                      "10.0.0.1\\u0000x:80",
                                      "10.0.0.1:80\\u0000",
                                      " 10.0.0.1:80",
                                      "10.0.0.1\\r\\n:80"}) {
        EXPECT_FALSE(isTarget(serverTextWith("address", "\"" + address + "\""))) << address;
    }
    EXPECT_FALSE(isTarget(serverTextWith("address", "\"10.0.0.1:" + std::string(100'000, '8') + "\"")));
    EXPECT_FALSE(isTarget(serverTextWith("address", "\"" + std::string(100'000, '1') + ":80\"")));
    EXPECT_TRUE(isTarget(serverTextWith("address", "\"10.0.0.1:65535\"")));
}

TEST(OddEntryTest, IdThatCannotStandInAHeaderNamesNoServer)
{
    const auto isServer = [](const std::string &id) {
        const auto record = decodeItem(item("servers/" + id, serverText()));
        return record && std::holds_alternative<RegisteredTarget>(*record);
    };
    for (const std::string id : {"a\r\nX-Caller-Service: b", "a\nb", "a b", " a", "a ", "a\tb", "a\x7f", "a\x01"}) {
        EXPECT_FALSE(isServer(id)) << id;
    }
    EXPECT_FALSE(isServer(std::string("a\0b", 3)));
    EXPECT_FALSE(isServer(""));
    EXPECT_TRUE(isServer("i-7f3a91c2"));
    EXPECT_TRUE(isServer("a/b"));
    EXPECT_TRUE(isServer(std::string(192, 'a')));
}

TEST(OddEntryTest, TextOfAnotherTypeNamesNoServer)
{
    for (const char *field : {"address", "service", "version", "zone", "state"}) {
        for (const std::string value : {"0", "null", "true", "[]", "{}", "[\"a\"]", "\"\xff\"", "\"a\xc3\"",
                                        "\"\\ud800\"", "\"\\udc00\"", "\"a"}) {
            EXPECT_FALSE(isTarget(serverTextWith(field, value))) << field << " " << value;
        }
    }
    for (const char *field : {"address", "service", "zone", "state"}) {
        EXPECT_FALSE(isTarget(serverTextWith(field, "\"\""))) << field;
    }
    for (const char *field : {"address", "state"}) {
        EXPECT_FALSE(isTarget(serverTextWith(field, "\"" + std::string(201, 'a') + "\""))) << field;
    }
    EXPECT_FALSE(isTarget(std::string("\0", 1)));
    EXPECT_FALSE(isTarget(serverText() + std::string("\0", 1)));
    EXPECT_FALSE(isTarget("\xef\xbb\xbf[]"));
}

// Guards against a living server that is taken out for a long name, or for the version of its software.
TEST(OddEntryTest, TextOfAnyLengthKeepsItsServer)
{
    const std::string text(5'000, 'a');
    const auto record = [&text](const char *field) {
        return std::get<RegisteredTarget>(*decodeItem(item("servers/odd", serverTextWith(field, "\"" + text + "\""))));
    };
    EXPECT_EQ(record("service").service, ServiceId(text));
    EXPECT_EQ(record("zone").zone, ZoneId(text));
    EXPECT_EQ(record("version").slots, 12U);
    EXPECT_TRUE(isTarget(serverTextWith("version", "\"\"")));
}

TEST(OddEntryTest, OddEntryStopsNeitherTheListingNorTheWatch)
{
    for (const std::string &text : oddTexts()) {
        const std::string name = text.substr(0, 80);
        SmallStore store;
        RegistryFollower follower;
        // The second page ends with the odd entry, and the third begins after it.
        for (const char *id : {"1", "2", "3", "5", "6"}) {
            store.write(id, serverText());
        }
        store.write("4", text);
        EXPECT_EQ(store.serve(follower), 3) << name;
        EXPECT_EQ(follower.targets().size(), 5U) << name;
        store.write("7", serverText());
        EXPECT_EQ(store.serve(follower), 1) << name;
        EXPECT_EQ(follower.targets().size(), 6U) << name;
        // Changes of over 1 MB are followed by a listing.
        store.write("4", text);
        store.write("8", serverText());
        EXPECT_LE(store.serve(follower), 1 + 4) << name;
        EXPECT_EQ(follower.targets().size(), 7U) << name;
        store.write("9", serverText());
        EXPECT_EQ(store.serve(follower), 1) << name;
        EXPECT_EQ(follower.targets().size(), 8U) << name;
        EXPECT_FALSE(follower.targets().contains(EndpointId("4"))) << name;
        EXPECT_FALSE(follower.isDown()) << name;
    }
}

TEST(OddEntryTest, OddEntryIsReportedOnceForEachTimeItIsRead)
{
    RegistryFollower follower = listed({item("servers/i-1", serverText())}, 7);
    const Json odd = item("servers/i-2", "[]", 8);
    addChanges(follower, {odd, odd, odd}, 8);
    const std::vector<InvalidRecord> reported = follower.takeInvalidRecords();
    ASSERT_EQ(reported.size(), 1U);
    EXPECT_LT(reported[0].detail.size(), 300U);
    addChanges(follower, {}, 8);
    EXPECT_TRUE(follower.takeInvalidRecords().empty());
    EXPECT_EQ(follower.changes(), 1U) << "peers are told nothing";
}

TEST(OddEntryTest, KeyThatCannotBeReadDoesNotHideTheOtherItems)
{
    const std::string value = encodeBase64(serverText());
    for (const std::string key : {"\xff", "a\xc3", "\xed\xa0\x80", "\xf4\x90\x80\x80", "\\udcff", "\\ud800",
                                  "\\ud800\\u0041", "\\ud800\\ud83d\\ude00", "\\\\\\udcff", "\xf0\x9f\x98"}) {
        const std::string page = R"({"items":[{"key":"servers/i-1","rev":7,"value":")" + value
            + R"("},{"key":"servers/)" + key + R"(","rev":8,"value":")" + value
            + R"("},{"key":"servers/\u00e9\ud83d\ude00","rev":8,"value":""}],"has-more":true,"store-revision":9})";
        const RegistryResponse response = decodeResponse(200, page);
        ASSERT_EQ(response.code, ResultCode::Ok) << key;
        ASSERT_EQ(response.records.size(), 3U) << key;
        EXPECT_TRUE(std::holds_alternative<RegisteredTarget>(response.records[0])) << key;
        EXPECT_TRUE(std::holds_alternative<InvalidRecord>(response.records[1])) << key;
        EXPECT_EQ(response.next, "servers/\u00e9\U0001F600") << "what can be read stays";
    }
    EXPECT_EQ(decodeResponse(200, R"({"items":[{"key":"\udcff)").code, ResultCode::RegistryAnswerMalformed);
    EXPECT_EQ(decodeResponse(200, "\\u").code, ResultCode::RegistryAnswerMalformed);
    EXPECT_EQ(decodeResponse(200, "\\").code, ResultCode::RegistryAnswerMalformed);
}

TEST(OddEntryTest, KeyThatCannotBeReadDoesNotMakeTheListingEndless)
{
    const std::string page = "{\"items\":[{\"key\":\"servers/\xff\",\"rev\":8,\"value\":\"\"}],\"has-more\":true,"
                             "\"store-revision\":9}";
    RegistryFollower follower;
    follower.onResponse(decodeResponse(200, page), TimePoint());
    EXPECT_FALSE(follower.isListed());
    follower.onResponse(decodeResponse(200, page), TimePoint());
    EXPECT_TRUE(follower.isListed());
}

TEST(OddEntryTest, KeysThatAreNotUsedDoNotCostACallForEachChange)
{
    constexpr int Changes = 100;
    RegistryFollower follower = listed({item("servers/i-1", serverText())}, 7);
    TimePoint now;
    int calls = 0;
    for (std::uint64_t revision = 8; revision < 8 + Changes; ++revision) {
        now += Milliseconds(10);
        if (std::holds_alternative<registryaction::Wait>(follower.next(now))) {
            continue;
        }
        ++calls;
        const Json changes = {{"events", Json::array({item("notes/x", "", revision)})}, {"store-revision", revision}};
        follower.onResponse(decodeResponse(200, changes.dump()), now);
    }
    EXPECT_LE(calls, 3) << "in a second";
}
