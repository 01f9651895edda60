// The table of attempts on a target's node: late, duplicate and forgotten attempts, cached responses, size limits.
#include "jasminemast/call/fence.h"

#include <gtest/gtest.h>

using namespace jasminemast;

namespace
{

constexpr Incarnation Self {7};

class FenceTest : public testing::Test
{
protected:
    static AttemptId attempt(std::uint64_t sequence, std::uint32_t number = 1, std::uint64_t incarnation = 1)
    {
        return {CallId {HostId("h"), Incarnation(incarnation), sequence}, number};
    }
    OpenResult open(const AttemptId &id, std::uint64_t generation = 1, Incarnation target = Self)
    {
        const OpenRequest request {id, EndpointId("e"), target, LinkGeneration(generation), {}, {}, false};
        return m_table.open(request, m_now + std::chrono::seconds(1), m_now);
    }
    FenceStatus fence(const AttemptId &id, std::uint64_t generation = 2, Incarnation target = Self)
    {
        return m_table.fence({id, target, LinkGeneration(generation)}, m_now).status;
    }
    void complete(const AttemptId &id, std::size_t bytes)
    {
        m_table.markCompleted(id, std::make_shared<CachedResponse>(CachedResponse {200, "", std::string(bytes, 'x')}),
                              m_now);
    }

    TimePoint m_now {std::chrono::hours(1)};
    /// Stores 4 attempts, 100 bytes of responses of at most 60 bytes each, and 2 entry hosts.
    FenceTable m_table {Self, FenceLimits {4, 100, 60, 2}};
};

} // namespace

TEST_F(FenceTest, FenceOfUnknownAttemptRefusesItsLateArrival)
{
    EXPECT_EQ(fence(attempt(1)), FenceStatus::NotRun);
    EXPECT_EQ(open(attempt(1)), OpenResult::Fenced);
    EXPECT_EQ(fence(attempt(1), 3), FenceStatus::NotRun);
}

TEST_F(FenceTest, RefusesLateArrivalsOfAnyAge)
{
    fence(attempt(1));
    m_now += std::chrono::hours(10);
    m_table.expire(m_now);
    EXPECT_EQ(open(attempt(1)), OpenResult::Fenced);
}

TEST_F(FenceTest, AcceptsTheNextAttemptOnTheNewLink)
{
    fence(attempt(1), 2);
    EXPECT_EQ(open(attempt(1, 2), 2), OpenResult::Fresh);
}

TEST_F(FenceTest, RunsDuplicatedAttemptOnce)
{
    EXPECT_EQ(open(attempt(1)), OpenResult::Fresh);
    EXPECT_EQ(open(attempt(1)), OpenResult::Duplicate);
    m_table.markStarted(attempt(1));
    EXPECT_EQ(open(attempt(1)), OpenResult::Duplicate);
    EXPECT_EQ(fence(attempt(1)), FenceStatus::Running);
    complete(attempt(1), 10);
    EXPECT_EQ(open(attempt(1)), OpenResult::Duplicate);
}

TEST_F(FenceTest, RefusalIsFinal)
{
    open(attempt(1));
    m_table.markRefused(attempt(1), ResultCode::SlotsFull, m_now);
    EXPECT_EQ(open(attempt(1)), OpenResult::Refused);
    EXPECT_EQ(m_table.refusalOf(attempt(1)), ResultCode::SlotsFull);
    EXPECT_EQ(fence(attempt(1)), FenceStatus::NotRun);
}

TEST_F(FenceTest, ReturnsTheCachedResponseToAFence)
{
    open(attempt(1));
    m_table.markStarted(attempt(1));
    complete(attempt(1), 10);
    const FenceResult reply = m_table.fence({attempt(1), Self, LinkGeneration(2)}, m_now);
    ASSERT_EQ(reply.status, FenceStatus::Done);
    EXPECT_EQ(reply.response->body.size(), 10U);
}

TEST_F(FenceTest, ReportsUnknownForLargeAndEvictedResponses)
{
    for (std::uint64_t sequence = 1; sequence <= 4; ++sequence) {
        open(attempt(sequence));
        m_table.markStarted(attempt(sequence));
    }
    complete(attempt(1), 61);
    EXPECT_EQ(fence(attempt(1)), FenceStatus::Unknown) << "exceeds maxCachedResponseBytes";
    complete(attempt(2), 50);
    complete(attempt(3), 50);
    complete(attempt(4), 50);
    EXPECT_EQ(m_table.cachedBytes(), 100U);
    EXPECT_EQ(fence(attempt(2)), FenceStatus::Unknown) << "evicted for later responses";
    EXPECT_EQ(fence(attempt(4)), FenceStatus::Done);
}

TEST_F(FenceTest, ReportsUnknownForLostResponse)
{
    open(attempt(1));
    m_table.markStarted(attempt(1));
    m_table.markLost(attempt(1), m_now);
    EXPECT_EQ(fence(attempt(1)), FenceStatus::Unknown);
}

TEST_F(FenceTest, NeitherRunsForgottenAttemptNorReportsItNotRun)
{
    open(attempt(5));
    m_table.markStarted(attempt(5));
    complete(attempt(5), 1);
    m_now += std::chrono::minutes(1);
    m_table.expire(m_now);
    ASSERT_EQ(m_table.size(), 0U);
    EXPECT_EQ(open(attempt(5)), OpenResult::Unknown);
    EXPECT_EQ(fence(attempt(5)), FenceStatus::Unknown);
    EXPECT_EQ(fence(attempt(4)), FenceStatus::Unknown) << "may have been forgotten as well";
    EXPECT_EQ(fence(attempt(6)), FenceStatus::NotRun);
}

TEST_F(FenceTest, LimitsTheNumberOfFinishedAttempts)
{
    for (std::uint64_t sequence = 1; sequence <= 50; ++sequence) {
        open(attempt(sequence));
        m_table.markRefused(attempt(sequence), ResultCode::SlotsFull, m_now);
    }
    EXPECT_EQ(m_table.size(), 4U);
    EXPECT_EQ(open(attempt(1)), OpenResult::Unknown);
}

TEST_F(FenceTest, ReportsUnknownForRequestsToAnotherIncarnation)
{
    EXPECT_EQ(open(attempt(1), 1, Incarnation(6)), OpenResult::Unknown);
    EXPECT_EQ(fence(attempt(1), 2, Incarnation(6)), FenceStatus::Unknown);
}

TEST_F(FenceTest, DoesNotRunAttemptsOfAReplacedSender)
{
    EXPECT_EQ(open(attempt(1, 1, 2)), OpenResult::Fresh);
    EXPECT_EQ(open(attempt(9, 1, 1)), OpenResult::Unknown);
}

TEST_F(FenceTest, DoesNotServeSendersBeyondMaxPeers)
{
    for (const char *host : {"a", "b"}) {
        EXPECT_EQ(open({CallId {HostId(host), Incarnation(1), 1}, 1}), OpenResult::Fresh);
    }
    const AttemptId third {CallId {HostId("c"), Incarnation(1), 1}, 1};
    EXPECT_EQ(open(third), OpenResult::Unknown);
    EXPECT_EQ(fence(third), FenceStatus::Unknown);
    m_now += std::chrono::hours(25);
    EXPECT_EQ(open(third), OpenResult::Fresh);
}
