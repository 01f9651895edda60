// Snapshots and checkpoints: round trips, and a result code for every kind of damage.
#include "jasminemast/config/snapshot.h"
#include "jasminemast/config/checkpoint.h"
#include "jasminemast/config/log.h"
#include "jasminemast/support/archive.h"
#include "jasminemast/support/base64.h"
#include "jasminemast/support/compression.h"
#include "ticketchain.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <functional>

using namespace jasminemast;

namespace
{

const WallTimePoint Now {std::chrono::hours(1)};

/// A chain whose states contain every kind of field.
TicketChain fullChain()
{
    TicketChain chain;
    chain.add(R"(,"routes":{"r":{"pathPrefix":"/a/","service":"s","methods":["GET","PUT"],"repeatable":false,
        "timeoutMs":250},"q":{"pathPrefix":"/","service":"s"}},"services":{"s":{"endpoints":["e","f"]}},
        "endpoints":{"e":{"host":"h1","port":9000,"slots":12,"draining":true},
        "f":{"host":"h\u00e6ngsel","port":9001,"slots":3}})");
    chain.add(R"(,"bad":1)");
    chain.add(slotsSection(5));
    return chain;
}

TicketLog fullLog(const TicketChain &chain)
{
    TicketLog log;
    log.addAcceptedHead(chain.head());
    for (std::uint64_t number = chain.size(); number > 0; --number) {
        log.addTicket(TicketNumber(number), chain.bytes(number), Now);
    }
    EXPECT_EQ(log.applied(), chain.head());
    return log;
}

std::string fullSnapshot()
{
    const TicketLog log = fullLog(fullChain());
    return encodeSnapshot(*log.state(), log.logbook().tail(10));
}

/// The code of the ResultError that \p action throws; Ok if it throws none.
ResultCode codeOf(const std::function<void()> &action)
{
    try {
        action();
    } catch (const ResultError &error) {
        return error.code();
    }
    return ResultCode::Ok;
}

/// A snapshot whose uncompressed bytes were changed by \p change.
std::string recompress(const std::function<void(std::string &)> &change)
{
    std::string data = decompress(fullSnapshot(), SnapshotLimits::MaxUncompressedBytes,
                                  {ResultCode::SnapshotMalformed, ResultCode::SnapshotTooLarge});
    change(data);
    return compress(data);
}

void readAll(CheckpointReader &reader, const std::map<std::string, std::string> &store)
{
    while (const auto key = reader.nextKey()) {
        const auto value = store.find(*key);
        if (value == store.end()) {
            reader.reportMissingValue();
        }
        reader.addValue(value->second);
    }
}

std::map<std::string, std::string> checkpointStore(const State &state)
{
    std::map<std::string, std::string> store;
    for (CheckpointValue &value : makeCheckpoint(state, {})) {
        EXPECT_LT(value.value.size(), CheckpointLimits::MaxValueBytes);
        store.emplace(value.key, std::move(value.value));
    }
    return store;
}

/// A state whose compressed snapshot is larger than one part.
StatePtr largeState()
{
    TicketChain chain;
    StatePtr state = emptyState();
    for (int part = 0; part < 3; ++part) {
        std::string section;
        for (int i = 0; i < 9'000; ++i) {
            const std::string id = sha256(std::to_string(part * 9'000 + i)).hex();
            section += (i == 0 ? "\"" : ",\"") + id + R"(":{"host":"h","port":1,"slots":1})";
        }
        const Head head = chain.add(R"(,"endpoints":{)" + section + "}");
        const ApplyResult result = applyTicket(state, head.number, chain.bytes(head.number.value()));
        EXPECT_EQ(result.code, ResultCode::Ok) << result.detail;
        state = result.state;
    }
    return state;
}

} // namespace

TEST(SnapshotTest, RoundTripPreservesStateAndHistory)
{
    const TicketChain chain = fullChain();
    const Snapshot snapshot = decodeSnapshot(fullSnapshot());
    const StatePtr expected = chain.apply(3);
    EXPECT_EQ(snapshot.state->number, TicketNumber(3));
    EXPECT_EQ(snapshot.state->ticketDigest, chain.head(3).digest);
    EXPECT_EQ(snapshot.state->stateDigest, expected->stateDigest);
    EXPECT_EQ(*snapshot.state->routes.at(RouteId("r")), *expected->routes.at(RouteId("r")));
    EXPECT_EQ(*snapshot.state->endpoints.at(EndpointId("e")), *expected->endpoints.at(EndpointId("e")));
    EXPECT_EQ(*snapshot.state->services.at(ServiceId("s")), *expected->services.at(ServiceId("s")));
    ASSERT_EQ(snapshot.history.size(), 3U);
    EXPECT_EQ(snapshot.history[1].code, ResultCode::TicketUnknownKey);
    EXPECT_EQ(snapshot.history[1].detail, "/bad: unknown key");
}

TEST(SnapshotTest, TicketsApplyOnTopOfInstalledSnapshot)
{
    TicketChain chain = fullChain();
    const Snapshot snapshot = decodeSnapshot(fullSnapshot());
    TicketLog log;
    const Head next = chain.add(slotsSection(9));
    log.addAcceptedHead(next);
    EXPECT_EQ(log.installSnapshot(snapshot.state, snapshot.history, Now), InstallSnapshotResult::Installed);
    log.addTicket(next.number, chain.bytes(4), Now);
    EXPECT_EQ(log.state()->stateDigest, chain.apply(4)->stateDigest);
    EXPECT_EQ(log.logbook().find(TicketNumber(2))->code, ResultCode::TicketUnknownKey);
}

TEST(SnapshotTest, RefusesDamagedBytesWithCode)
{
    const std::string good = fullSnapshot();
    const std::size_t stateDigestAt = 4 + 8 + Digest::Bytes;
    struct Case
    {
        const char *name;
        std::string bytes;
        ResultCode code;
    };
    const std::vector<Case> cases = {
        {"empty", "", ResultCode::SnapshotMalformed},
        {"not a zstd frame", "plain text that is no frame", ResultCode::SnapshotMalformed},
        {"truncated frame", good.substr(0, good.size() - 5), ResultCode::SnapshotMalformed},
        {"too large", std::string(SnapshotLimits::MaxCompressedBytes + 1, 'x'), ResultCode::SnapshotTooLarge},
        {"decompression bomb", compress(std::string(SnapshotLimits::MaxUncompressedBytes + 1, '\0')),
         ResultCode::SnapshotTooLarge},
        {"zeros", compress(std::string(1'000'000, '\0')), ResultCode::SnapshotMalformed},
        {"other version", recompress([](std::string &data) { data[0] = 9; }), ResultCode::SnapshotMalformed},
        {"number beyond 2^53", recompress([](std::string &data) { data[11] = '\x7f'; }), ResultCode::SnapshotMalformed},
        {"truncated content", recompress([](std::string &data) { data.resize(data.size() / 2); }),
         ResultCode::SnapshotMalformed},
        {"bytes left over", recompress([](std::string &data) { data += "x"; }), ResultCode::SnapshotMalformed},
        {"oversized count",
         recompress([&](std::string &data) { data.replace(stateDigestAt + 32, 4, "\xff\xff\xff\x7f"); }),
         ResultCode::SnapshotMalformed},
        {"other state digest", recompress([&](std::string &data) { data[stateDigestAt] ^= 1; }),
         ResultCode::SnapshotWrongDigest},
        {"bool byte of 9", recompress([](std::string &data) { data[data.find("h1") + 2 + 2 + 4] = 9; }),
         ResultCode::SnapshotMalformed},
        {"other object", recompress([](std::string &data) { data[data.find("h1")] = 'H'; }),
         ResultCode::SnapshotWrongDigest},
    };
    for (const Case &row : cases) {
        EXPECT_EQ(codeOf([&row] { decodeSnapshot(row.bytes); }), row.code) << row.name;
    }
}

TEST(SnapshotTest, RefusesStatesWithBrokenReferences)
{
    State state = *fullChain().apply(3);
    state.endpoints.edit().erase(EndpointId("f"));
    state.stateDigest = computeStateDigest(state);
    EXPECT_EQ(codeOf([&state] { decodeSnapshot(encodeSnapshot(state, {})); }), ResultCode::SnapshotMalformed);
}

RC_GTEST_PROP(SnapshotProperty, DamagedBytesAreRefusedOrMatchTheirDigest, ())
{
    const std::string good = fullSnapshot();
    const auto place = *rc::gen::inRange<std::size_t>(0, 1'000);
    const auto value = static_cast<char>(*rc::gen::inRange(0, 256));
    const std::string bytes = recompress([&](std::string &data) { data[place % data.size()] = value; });
    try {
        const Snapshot snapshot = decodeSnapshot(bytes);
        RC_ASSERT(computeStateDigest(*snapshot.state) == snapshot.state->stateDigest);
    } catch (const ResultError &error) {
        RC_ASSERT(number(error.code()) >= 2021);
        RC_ASSERT(number(error.code()) <= 2023);
    }
}

TEST(CheckpointTest, ReadsBackCheckpointOfSeveralParts)
{
    const StatePtr state = largeState();
    const auto store = checkpointStore(*state);
    EXPECT_GT(store.size(), 2U) << "more than one part";
    CheckpointReader reader;
    readAll(reader, store);
    ASSERT_TRUE(reader.snapshot());
    EXPECT_EQ(reader.snapshot()->state->stateDigest, state->stateDigest);
    EXPECT_EQ(reader.manifest()->head, (Head {state->number, state->ticketDigest}));
}

TEST(CheckpointTest, RefusesFaultyStoredValuesWithCode)
{
    const StatePtr state = largeState();
    const auto good = checkpointStore(*state);
    const std::string first = checkpointPartKey(state->number, 1);
    const std::string second = checkpointPartKey(state->number, 2);
    const std::string latest(CheckpointManifestKey);
    using Store = std::map<std::string, std::string>;
    struct Case
    {
        const char *name;
        std::function<void(Store &)> change;
        ResultCode code;
    };
    const auto replace = [](std::string &text, const std::string &from, const std::string &to) {
        ASSERT_NE(text.find(from), std::string::npos) << from;
        text.replace(text.find(from), from.size(), to);
    };
    const std::vector<Case> cases = {
        {"intact", [](Store &) {}, ResultCode::Ok},
        {"no manifest", [&](Store &store) { store.erase(latest); }, ResultCode::CheckpointIncomplete},
        {"part missing", [&](Store &store) { store.erase(second); }, ResultCode::CheckpointIncomplete},
        {"parts swapped", [&](Store &store) { std::swap(store[first], store[second]); },
         ResultCode::CheckpointMalformed},
        {"part of another checkpoint", [&](Store &store) { replace(store[first], "\"number\":3", "\"number\":4"); },
         ResultCode::CheckpointMalformed},
        {"part too large", [&](Store &store) { store[first] += std::string(CheckpointLimits::MaxValueBytes, ' '); },
         ResultCode::CheckpointMalformed},
        {"part truncated", [&](Store &store) { store[first].resize(1'000); }, ResultCode::CheckpointMalformed},
        {"part with other data", [&](Store &store) { replace(store[second], "\"data\":\"", "\"data\":\"AAAA"); },
         ResultCode::CheckpointWrongDigest},
        {"part not Base64", [&](Store &store) { replace(store[second], "\"data\":\"", "\"data\":\"A "); },
         ResultCode::CheckpointMalformed},
        {"manifest not JSON", [&](Store &store) { store[latest] = "{"; }, ResultCode::CheckpointMalformed},
        {"manifest of 0 parts", [&](Store &store) { replace(store[latest], "\"parts\":2", "\"parts\":0"); },
         ResultCode::CheckpointMalformed},
        {"manifest of too many parts", [&](Store &store) { replace(store[latest], "\"parts\":2", "\"parts\":65"); },
         ResultCode::CheckpointMalformed},
        {"manifest of fewer parts", [&](Store &store) { replace(store[latest], "\"parts\":2", "\"parts\":1"); },
         ResultCode::CheckpointWrongDigest},
        {"manifest of another state",
         [&](Store &store) { replace(store[latest], state->stateDigest.hex(), Digest {}.hex()); },
         ResultCode::CheckpointWrongDigest},
        {"manifest repeats a key",
         [&](Store &store) { replace(store[latest], "\"parts\":2", "\"parts\":2,\"parts\":2"); },
         ResultCode::CheckpointMalformed},
    };
    for (const Case &row : cases) {
        Store store = good;
        row.change(store);
        CheckpointReader reader;
        EXPECT_EQ(codeOf([&] { readAll(reader, store); }), row.code) << row.name;
        EXPECT_EQ(reader.snapshot().has_value(), row.code == ResultCode::Ok) << row.name;
    }
}

TEST(CheckpointTest, RefusesStateBeforeFirstTicket)
{
    EXPECT_EQ(codeOf([] { makeCheckpoint(*emptyState(), {}); }), ResultCode::CheckpointIncomplete);
}

TEST(Base64Test, RoundTripsAndRefusesOtherText)
{
    for (const std::string text : {"", "a", "ab", "abc", "abcd"}) {
        EXPECT_EQ(decodeBase64(encodeBase64(text)), text);
    }
    EXPECT_EQ(encodeBase64("ab"), "YWI=");
    for (const std::string text : {"YWI", "YWI\n", "Y=I=", "YW=I", " WI=", "YWJ="}) {
        EXPECT_FALSE(decodeBase64(text)) << text;
    }
}
