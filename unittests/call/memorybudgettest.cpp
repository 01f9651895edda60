// Shares, eviction and refusal of the memory budget, and the window of uploads.
#include "jasminemast/call/memorybudget.h"
#include "jasminemast/call/requestupload.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <set>

namespace jasminemast
{
namespace
{

constexpr MemoryLimits Limits {ByteCount(1'000), ByteCount(500), ByteCount(400)};

TEST(MemoryBudget, SharesLeaveMoreThanHalfOfTheMachine)
{
    const MemoryLimits limits = MemoryLimits::forMachine(ByteCount(88'000'000));
    EXPECT_EQ(limits.connections, ByteCount(16'500'000));
    EXPECT_EQ(limits.requests, ByteCount(11'000'000));
    EXPECT_EQ(limits.uploads, ByteCount(11'000'000));
}

TEST(MemoryBudget, UploadsTakeNothingFromRequests)
{
    MemoryBudget budget(Limits);
    EXPECT_TRUE(budget.add(MemoryUse::Uploads, ByteCount(400), false).holder);
    EXPECT_FALSE(budget.add(MemoryUse::Uploads, ByteCount(1), false).holder);
    EXPECT_TRUE(budget.add(MemoryUse::Requests, ByteCount(500), true).holder);
}

TEST(MemoryBudget, EvictsTheLongestInactiveFirst)
{
    MemoryBudget budget(Limits);
    const auto first = *budget.add(MemoryUse::Requests, ByteCount(200), true).holder;
    const auto second = *budget.add(MemoryUse::Requests, ByteCount(200), true).holder;
    budget.recordActivity(first);
    const auto addition = budget.add(MemoryUse::Requests, ByteCount(200), true);
    EXPECT_TRUE(addition.holder);
    EXPECT_EQ(addition.evicted, MemoryBudget::Evicted {second});
    EXPECT_EQ(budget.used(MemoryUse::Requests), ByteCount(400));
}

TEST(MemoryBudget, GrowingHolderDoesNotEvictItself)
{
    MemoryBudget budget(Limits);
    const auto holder = *budget.add(MemoryUse::Requests, ByteCount(400), true).holder;
    const auto other = *budget.add(MemoryUse::Requests, ByteCount(100), true).holder;
    EXPECT_FALSE(budget.resize(holder, ByteCount(501)).isGranted);
    EXPECT_EQ(budget.used(MemoryUse::Requests), ByteCount(500));
    const auto resizing = budget.resize(holder, ByteCount(500));
    EXPECT_TRUE(resizing.isGranted);
    EXPECT_EQ(resizing.evicted, MemoryBudget::Evicted {other});
}

TEST(MemoryBudget, RefusesWithoutEvictingIfThatWouldNotSuffice)
{
    MemoryBudget budget(Limits);
    const auto pinned = *budget.add(MemoryUse::Requests, ByteCount(300), false).holder;
    const auto evictable = *budget.add(MemoryUse::Requests, ByteCount(200), true).holder;
    EXPECT_FALSE(budget.add(MemoryUse::Requests, ByteCount(201), true).holder);
    EXPECT_TRUE(budget.resize(evictable, ByteCount(200)).isGranted) << "it was evicted for nothing";
    budget.setEvictable(pinned, true);
    EXPECT_TRUE(budget.add(MemoryUse::Requests, ByteCount(201), true).holder);
}

TEST(MemoryBudget, RemovedHolderIsGrantedNothing)
{
    MemoryBudget budget(Limits);
    const auto holder = *budget.add(MemoryUse::Requests, ByteCount(100), true).holder;
    budget.remove(holder);
    budget.remove(holder);
    EXPECT_FALSE(budget.resize(holder, ByteCount(1)).isGranted);
    EXPECT_EQ(budget.used(MemoryUse::Requests), ByteCount(0));
    EXPECT_EQ(budget.holders(), 0U);
}

TEST(MemoryBudget, ReservationGivesBackOnce)
{
    MemoryBudget budget(Limits);
    {
        MemoryReservation reservation(budget, *budget.add(MemoryUse::Uploads, ByteCount(100), false).holder);
        MemoryReservation moved = std::move(reservation);
        EXPECT_EQ(budget.used(MemoryUse::Uploads), ByteCount(100));
        moved.release();
        EXPECT_EQ(budget.used(MemoryUse::Uploads), ByteCount(0));
    }
    EXPECT_EQ(budget.holders(), 0U);
}

/// What the test expects of one holder.
struct ModelEntry
{
    MemoryUse use = MemoryUse::Connections;
    std::uint64_t bytes = 0;
    bool isEvictable = false;
};

RC_GTEST_PROP(MemoryBudgetProperty, KeepsItsInvariantsInAnyOrder, ())
{
    MemoryBudget budget(Limits);
    std::map<MemoryBudget::Holder, ModelEntry> model;
    const auto drop = [&](const MemoryBudget::Evicted &evicted, MemoryUse use) {
        for (const auto &holder : evicted) {
            RC_ASSERT(model.at(holder).isEvictable);
            RC_ASSERT(model.at(holder).use == use);
            model.erase(holder);
        }
    };
    const int steps = *rc::gen::inRange(1, 200);
    for (int i = 0; i < steps; ++i) {
        const int operation = *rc::gen::inRange(0, 6);
        if (operation <= 1 || model.empty()) {
            const auto use = static_cast<MemoryUse>(*rc::gen::inRange(0, 3));
            const auto bytes = static_cast<std::uint64_t>(*rc::gen::inRange(1, 300));
            const bool isEvictable = *rc::gen::arbitrary<bool>();
            const auto addition = budget.add(use, ByteCount(bytes), isEvictable);
            drop(addition.evicted, use);
            if (addition.holder) {
                model[*addition.holder] = {use, bytes, isEvictable};
            } else {
                std::uint64_t pinned = 0;
                for (const auto &[holder, entry] : model) {
                    pinned += entry.use == use && !entry.isEvictable ? entry.bytes : 0;
                }
                RC_ASSERT(pinned + bytes > Limits.of(use).value());
            }
        } else {
            auto position = model.begin();
            std::advance(position, *rc::gen::inRange<std::size_t>(0, model.size()));
            const auto holder = position->first;
            const MemoryUse use = position->second.use;
            if (operation == 2) {
                const auto bytes = static_cast<std::uint64_t>(*rc::gen::inRange(0, 400));
                const auto resizing = budget.resize(holder, ByteCount(bytes));
                RC_ASSERT(std::find(resizing.evicted.begin(), resizing.evicted.end(), holder)
                          == resizing.evicted.end());
                drop(resizing.evicted, use);
                model[holder].bytes = resizing.isGranted ? bytes : model[holder].bytes;
            } else if (operation == 3) {
                const bool isEvictable = *rc::gen::arbitrary<bool>();
                budget.setEvictable(holder, isEvictable);
                model[holder].isEvictable = isEvictable;
            } else if (operation == 4) {
                budget.recordActivity(holder);
            } else {
                budget.remove(holder);
                model.erase(holder);
            }
        }
        for (const auto use : {MemoryUse::Connections, MemoryUse::Requests, MemoryUse::Uploads}) {
            std::uint64_t sum = 0;
            for (const auto &[holder, entry] : model) {
                sum += entry.use == use ? entry.bytes : 0;
            }
            RC_ASSERT(budget.used(use) == ByteCount(sum));
            RC_ASSERT(budget.used(use) <= budget.limit(use));
        }
        RC_ASSERT(budget.holders() == model.size());
    }
}

TEST(RequestUpload, SendsNoMoreThanItsWindowAhead)
{
    RequestUpload upload(100);
    upload.begin(60);
    EXPECT_EQ(upload.allowance(), 40U);
    upload.recordSent(40);
    EXPECT_EQ(upload.allowance(), 0U);
    EXPECT_TRUE(upload.recordConsumed(30));
    EXPECT_EQ(upload.allowance(), 30U);
    EXPECT_FALSE(upload.recordConsumed(10));
}

TEST(RequestUpload, BeginsAgainOnlyUntilBytesAreConsumed)
{
    RequestUpload upload(100);
    upload.begin(60);
    upload.recordSent(40);
    upload.begin(60);
    EXPECT_TRUE(upload.canBegin());
    EXPECT_EQ(upload.allowance(), 40U);
    upload.recordConsumed(1);
    EXPECT_FALSE(upload.canBegin());
}

TEST(RequestUpload, CountsNoMoreConsumedThanSent)
{
    RequestUpload upload(100);
    EXPECT_FALSE(upload.recordConsumed(10)) << "nothing was sent";
    upload.begin(60);
    upload.recordConsumed(1'000);
    EXPECT_EQ(upload.allowance(), 100U);
}

} // namespace
} // namespace jasminemast
