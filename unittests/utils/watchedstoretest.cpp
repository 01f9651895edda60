// Reads, watches, compare-and-set writes and faults of the store.
#include "standins/watchedstore.h"

#include <gtest/gtest.h>

namespace jasminemast::standin
{

namespace
{

using std::chrono::milliseconds;

WatchedStore makeStoreWithThreeVersions()
{
    WatchedStore store;
    store.put("accepted", "one", 0);
    store.put("accepted", "two", 1);
    store.put("accepted", "three", 2);
    return store;
}

/// The kind of action in one word, with its value or status.
std::string describe(const ReadAction &action)
{
    struct Visitor
    {
        std::string operator()(const RespondNow &now) const
        {
            return "now " + now.version.value;
        }
        std::string operator()(const RespondLater &later) const
        {
            return "later " + later.version.value;
        }
        std::string operator()(const KeepWaiting &wait) const
        {
            return wait.retryAfter ? "retry" : "wait";
        }
        std::string operator()(const NeverRespond &) const
        {
            return "never";
        }
        std::string operator()(const CloseConnection &close) const
        {
            return close.status == 0 ? "close" : "status " + std::to_string(close.status);
        }
    };
    return std::visit(Visitor {}, action);
}

struct FaultCase
{
    const char *name;
    FaultSettings fault;
    std::vector<std::string> reads; ///< actions of successive plain reads
    std::string watchAfterLatest; ///< first action of a watch after the latest revision
};

class FaultTable : public testing::TestWithParam<FaultCase>
{
};

TEST_P(FaultTable, DecidesReadsAndWatches)
{
    WatchedStore store = makeStoreWithThreeVersions();
    store.setFault(GetParam().fault);
    EXPECT_EQ(describe(store.read({"accepted", 3, false})), GetParam().watchAfterLatest);
    for (const std::string &expected : GetParam().reads) {
        EXPECT_EQ(describe(store.read({"accepted", std::nullopt, false})), expected);
    }
}

const std::vector<FaultCase> FaultCases = {
    {"ok", {FaultMode::Ok, milliseconds(0), 0}, {"now three", "now three"}, "wait"},
    {"down", {FaultMode::Down, milliseconds(0), 0}, {"close", "close"}, "close"},
    {"unavailable", {FaultMode::Down, milliseconds(0), 503}, {"status 503"}, "status 503"},
    {"stale", {FaultMode::Stale, milliseconds(0), 0}, {"now three", "now three"}, "wait"},
    {"slow", {FaultMode::Slow, milliseconds(9), 0}, {"later three", "later three"}, "wait"},
    {"frozen", {FaultMode::Frozen, milliseconds(0), 0}, {"never", "never"}, "never"},
    {"disordered", {FaultMode::Disordered, milliseconds(9), 0}, {"later three", "now three", "later three"}, "wait"},
    {"backwards",
     {FaultMode::Backwards, milliseconds(9), 0},
     {"now two", "now three", "now one", "now three"},
     "retry"},
};

INSTANTIATE_TEST_SUITE_P(Faults, FaultTable, testing::ValuesIn(FaultCases),
                         [](const auto &each) { return std::string(each.param.name); });

TEST(WatchedStore, RefusesWritesThatExpectAnotherRevision)
{
    WatchedStore store;
    EXPECT_EQ(store.put("tickets/1", "first", 0), 1U);
    EXPECT_FALSE(store.put("tickets/1", "second", 0));
    EXPECT_FALSE(store.put("tickets/1", "second", 7));
    EXPECT_EQ(store.latest("tickets/1").value, "first");
    EXPECT_EQ(store.put("tickets/1", "second", 1), 2U);
}

TEST(WatchedStore, StaleReadsMissLaterWritesUntilTheFaultIsCleared)
{
    WatchedStore store = makeStoreWithThreeVersions();
    store.setFault({FaultMode::Stale, milliseconds(0), 0});
    store.put("accepted", "four", 3);
    EXPECT_EQ(describe(store.read({"accepted", std::nullopt, false})), "now three");
    EXPECT_EQ(describe(store.read({"accepted", 3, false})), "wait");
    store.setFault({});
    EXPECT_EQ(describe(store.read({"accepted", 3, false})), "now four");
}

TEST(WatchedStore, EndsAWatchWhenItsWaitExpires)
{
    WatchedStore store = makeStoreWithThreeVersions();
    EXPECT_EQ(describe(store.read({"accepted", 3, true})), "now three");
    EXPECT_EQ(describe(store.read({"missing", 0, false})), "wait");
}

} // namespace

} // namespace jasminemast::standin
