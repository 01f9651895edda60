// The target's run log, slots and health page, and a caller that never retries a request by itself.
#include "standins/target.h"

#include "harness/httpcall.h"
#include "serving.h"
#include "standins/caller.h"
#include "standins/socketaddress.h"

#include <gtest/gtest.h>

namespace jasminemast::standin
{

namespace
{

class TargetTest : public testing::Test
{
protected:
    CallerSettings callerFor(unsigned count, unsigned concurrency) const
    {
        CallerSettings settings;
        settings.baseUrls = {"http://127.0.0.1:" + std::to_string(m_target.port())};
        settings.getPaths = {"/listings/anvil"};
        settings.postPaths = {"/reservations/anvil"};
        settings.count = count;
        settings.concurrency = concurrency;
        return settings;
    }

    std::vector<CallRecord> call(const CallerSettings &settings)
    {
        return whileServing(m_loop, [settings] { return runCalls(settings); });
    }

    std::size_t countRuns(RunEnd end) const
    {
        const auto &runs = m_target.runLog().runs();
        return std::count_if(runs.begin(), runs.end(), [end](const standin::Run &run) { return run.end == end; });
    }

    static std::size_t countOutcomes(const std::vector<CallRecord> &records, CallOutcome outcome)
    {
        return std::count_if(records.begin(), records.end(),
                             [outcome](const CallRecord &record) { return record.outcome == outcome; });
    }

    EventLoop m_loop;
    Target m_target {m_loop, parseSocketAddress("127.0.0.1:0"), {"t1", 4, Milliseconds(2), Milliseconds(0)}};
};

TEST_F(TargetTest, RespondsCompletelyToEachCallAndLogsOneRun)
{
    CallerSettings settings = callerFor(40, 4);
    settings.postShare = 0.5;
    const std::vector<CallRecord> records = call(settings);
    EXPECT_EQ(countOutcomes(records, CallOutcome::Whole), 40U);
    EXPECT_EQ(countRuns(RunEnd::Answered), 40U);
}

TEST_F(TargetTest, ShedsCallsAboveItsSlotsWithoutRunningThem)
{
    m_target.setMode(TargetMode::Slow);
    const std::vector<CallRecord> records = call(callerFor(12, 12));
    const std::size_t shed = countOutcomes(records, CallOutcome::Failed);
    EXPECT_GT(shed, 0U);
    EXPECT_EQ(countRuns(RunEnd::Answered) + shed, 12U);
}

TEST_F(TargetTest, CallerNeverRetriesAPostWhenAReusedConnectionClosesAfterTheRun)
{
    constexpr std::size_t CallsBeforeFault = 6;
    // libcurl would retry by itself on a connection that has already delivered a response.
    Timer fault(m_loop, [this, &fault] {
        if (m_target.runLog().runs().size() >= CallsBeforeFault) {
            m_target.setMode(TargetMode::CloseAfterRun);
            return;
        }
        fault.start(Milliseconds(1));
    });
    fault.start(Milliseconds(1));
    CallerSettings settings = callerFor(2 * CallsBeforeFault, 1);
    settings.postShare = 1;
    const std::vector<CallRecord> records = call(settings);
    EXPECT_GT(countOutcomes(records, CallOutcome::Whole), 0U);
    EXPECT_GT(countOutcomes(records, CallOutcome::Broken), 0U);
    EXPECT_EQ(m_target.runLog().runs().size(), records.size());
}

TEST_F(TargetTest, LogsACancelledRunWhenTheClientDisconnects)
{
    m_target.setMode(TargetMode::Frozen);
    CallerSettings settings = callerFor(1, 1);
    settings.timeoutMs = 50;
    EXPECT_EQ(countOutcomes(call(settings), CallOutcome::Broken), 1U);
    m_loop.runUntil([this] { return countRuns(RunEnd::Cancelled) == 1; }, std::chrono::seconds(10));
    EXPECT_EQ(countRuns(RunEnd::Cancelled), 1U);
}

TEST_F(TargetTest, EndsTheRunAtTheDeadline)
{
    CallerSettings settings = callerFor(1, 1);
    settings.deadlineMs = 1;
    EXPECT_EQ(call(settings).at(0).status, 504);
    EXPECT_EQ(countRuns(RunEnd::Expired), 1U);
}

TEST_F(TargetTest, StreamsABodyThatArrivesIntact)
{
    CallerSettings settings = callerFor(2, 2);
    settings.getPaths = {"/drawings/blob?bytes=300000&seed=5&chunkBytes=50000&chunkDelayMs=1"};
    const std::vector<CallRecord> records = call(settings);
    EXPECT_EQ(countOutcomes(records, CallOutcome::Whole), 2U);
    EXPECT_EQ(records.at(0).bytes, 300'000U);
}

struct HealthCase
{
    const char *name;
    TargetMode mode;
    const char *state;
};

class TargetHealth : public TargetTest, public testing::WithParamInterface<HealthCase>
{
};

TEST_P(TargetHealth, ReportsTheStateOfItsMode)
{
    m_target.setMode(GetParam().mode);
    const std::string url = callerFor(1, 1).baseUrls.front() + "/health";
    const auto json = whileServing(m_loop, [url] { return harness::getJson(url); });
    EXPECT_EQ(json.at("state"), GetParam().state);
}

const std::vector<HealthCase> HealthCases = {
    {"ok", TargetMode::Ok, "ok"},
    {"cold", TargetMode::Cold, "cold"},
    {"draining", TargetMode::Draining, "draining"},
    {"lying", TargetMode::LyingHealth, "ok"},
};

INSTANTIATE_TEST_SUITE_P(States, TargetHealth, testing::ValuesIn(HealthCases),
                         [](const auto &each) { return std::string(each.param.name); });

} // namespace

} // namespace jasminemast::standin
