// The rules of reads, watches, revision-checked writes and faults.
#include "standins/watchedstore.h"

#include <gtest/gtest.h>

namespace jasminemast::standin
{

namespace
{

using std::chrono::milliseconds;

WatchedStore storeWithThreeHeads()
{
    WatchedStore store;
    store.put("accepted", "one", 0);
    store.put("accepted", "two", 1);
    store.put("accepted", "three", 2);
    return store;
}

/// The kind of action, as one word, with the value that it carries.
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
    std::vector<std::string> reads; ///< what successive plain reads get
    std::string watchOfHead; ///< what a watch above the newest revision gets first
};

class FaultTable : public testing::TestWithParam<FaultCase>
{
};

TEST_P(FaultTable, decidesReadsAndWatches)
{
    WatchedStore store = storeWithThreeHeads();
    store.setFault(GetParam().fault);
    EXPECT_EQ(describe(store.read({"accepted", 3, false})), GetParam().watchOfHead);
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

TEST(WatchedStore, refusesWritesOfAnotherRevision)
{
    WatchedStore store;
    EXPECT_EQ(store.put("tickets/1", "first", 0), 1U);
    EXPECT_FALSE(store.put("tickets/1", "second", 0));
    EXPECT_FALSE(store.put("tickets/1", "second", 7));
    EXPECT_EQ(store.latest("tickets/1").value, "first");
    EXPECT_EQ(store.put("tickets/1", "second", 1), 2U);
}

TEST(WatchedStore, staleReadsMissLaterWritesAndReturnAfterwards)
{
    WatchedStore store = storeWithThreeHeads();
    store.setFault({FaultMode::Stale, milliseconds(0), 0});
    store.put("accepted", "four", 3);
    EXPECT_EQ(describe(store.read({"accepted", std::nullopt, false})), "now three");
    EXPECT_EQ(describe(store.read({"accepted", 3, false})), "wait");
    store.setFault({});
    EXPECT_EQ(describe(store.read({"accepted", 3, false})), "now four");
}

TEST(WatchedStore, endsAWatchWhenItsWaitIsOver)
{
    WatchedStore store = storeWithThreeHeads();
    EXPECT_EQ(describe(store.read({"accepted", 3, true})), "now three");
    EXPECT_EQ(describe(store.read({"missing", 0, false})), "wait");
}

} // namespace

} // namespace jasminemast::standin
