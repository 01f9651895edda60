// The ticket log: the ticket number never falls, only accepted tickets are applied, all nodes reach the same state.
#include "jasminemast/config/log.h"
#include "ticketchain.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

using namespace jasminemast;

namespace
{

const WallTimePoint Now {std::chrono::hours(1)};

/// Adds the tickets that \p log asks for from \p chain until it makes no more progress.
void addWantedTickets(TicketLog &log, const TicketChain &chain)
{
    bool progress = true;
    while (progress) {
        progress = false;
        for (const WantedTicket &wanted : log.missing(8)) {
            const std::uint64_t number = wanted.number.value();
            if (number > chain.size()) {
                continue;
            }
            const AddTicketStatus status = log.addTicket(wanted.number, chain.bytes(number), Now).status;
            progress = progress || status == AddTicketStatus::Applied || status == AddTicketStatus::Stored;
        }
    }
}

/// A log that has applied ticket \p number of \p chain last.
TicketLog makeLogAt(const TicketChain &chain, std::uint64_t number)
{
    TicketLog log;
    if (number > 0) {
        log.addAcceptedHead(chain.head(number));
        addWantedTickets(log, chain);
    }
    EXPECT_EQ(log.applied(), chain.head(number));
    return log;
}

} // namespace

TEST(LogTest, FollowsHeadBackwardsAndAppliesForwards)
{
    const TicketChain chain(5);
    TicketLog log;
    EXPECT_EQ(log.addAcceptedHead(chain.head(5)), HeadStatus::Newer);
    EXPECT_EQ(log.missing(8), (std::vector<WantedTicket> {{TicketNumber(5), chain.head(5).digest}}));
    for (std::uint64_t number = 5; number > 1; --number) {
        EXPECT_EQ(log.addTicket(TicketNumber(number), chain.bytes(number), Now).status, AddTicketStatus::Stored);
        EXPECT_EQ(log.state()->number, TicketNumber(0));
    }
    const AddTicketResult last = log.addTicket(TicketNumber(1), chain.bytes(1), Now);
    EXPECT_EQ(last.status, AddTicketStatus::Applied);
    EXPECT_EQ(last.entries.size(), 5U);
    EXPECT_EQ(log.state()->stateDigest, chain.apply(5)->stateDigest);
    EXPECT_TRUE(log.isCurrent());
    EXPECT_EQ(log.logbook().entries().size(), 5U);
    EXPECT_EQ(log.logbook().find(TicketNumber(3))->inForceAt, Now);
    EXPECT_EQ(*log.recentBytes(TicketNumber(4)), chain.bytes(4));
}

TEST(LogTest, ClassifiesAcceptedHeads)
{
    const TicketChain chain(6);
    const Digest other = sha256("other");
    struct Case
    {
        const char *name;
        Head head;
        HeadStatus expected;
    };
    const std::vector<Case> cases = {
        {"next", chain.head(5), HeadStatus::Newer},
        {"far ahead", {TicketNumber(1'000'000), other}, HeadStatus::Newer},
        {"applied", chain.head(4), HeadStatus::Known},
        {"below", chain.head(3), HeadStatus::Older},
        {"none accepted", {}, HeadStatus::Older},
        {"applied number, other digest", {TicketNumber(4), other}, HeadStatus::Conflict},
        {"past number, other digest", {TicketNumber(2), other}, HeadStatus::Conflict},
    };
    for (const Case &row : cases) {
        TicketLog log = makeLogAt(chain, 4);
        EXPECT_EQ(log.addAcceptedHead(row.head), row.expected) << row.name;
        EXPECT_EQ(log.applied(), chain.head(4)) << row.name;
        EXPECT_EQ(log.counters().conflicts, row.expected == HeadStatus::Conflict ? 1U : 0U) << row.name;
        EXPECT_EQ(log.counters().olderHeads, row.expected == HeadStatus::Older ? 1U : 0U) << row.name;
    }
}

TEST(LogTest, AddsOnlyBytesWithExpectedDigest)
{
    TicketChain chain(3);
    TicketLog log = makeLogAt(chain, 1);
    log.addAcceptedHead(chain.head(3));
    EXPECT_EQ(log.expectedDigest(TicketNumber(3)), chain.head(3).digest);
    EXPECT_FALSE(log.expectedDigest(TicketNumber(2)));
    EXPECT_EQ(log.addTicket(TicketNumber(3), chain.bytes(2), Now).status, AddTicketStatus::WrongDigest);
    EXPECT_EQ(log.addTicket(TicketNumber(2), chain.bytes(2), Now).status, AddTicketStatus::NotWanted);
    EXPECT_EQ(log.addTicket(TicketNumber(1), chain.bytes(1), Now).status, AddTicketStatus::NotWanted);
    const Head notAccepted = chain.add(slotsSection(4));
    EXPECT_EQ(log.addTicket(notAccepted.number, chain.bytes(4), Now).status, AddTicketStatus::NotWanted);
    EXPECT_EQ(log.applied(), chain.head(1));
    EXPECT_EQ(log.counters().wrongDigests, 1U);
    EXPECT_EQ(log.counters().notWanted, 3U);
}

TEST(LogTest, AcceptedHeadWithoutTicketDoesNotBlockLowerTickets)
{
    const TicketChain chain(6);
    TicketLog log = makeLogAt(chain, 4);
    EXPECT_EQ(log.addAcceptedHead({TicketNumber(900), sha256("never filed")}), HeadStatus::Newer);
    EXPECT_EQ(log.addAcceptedHead(chain.head(6)), HeadStatus::Older);
    addWantedTickets(log, chain);
    EXPECT_EQ(log.applied(), chain.head(6));
    EXPECT_FALSE(log.isCurrent());
}

TEST(LogTest, RefusesInvalidTicketAndAppliesLaterOnes)
{
    TicketChain chain(2);
    chain.add(R"(,"routes":{"r":{"pathPrefix":"/","service":"missing"}})");
    chain.add(slotsSection(4));
    TicketLog log;
    log.addAcceptedHead(chain.head());
    addWantedTickets(log, chain);
    EXPECT_EQ(log.applied(), chain.head(4));
    EXPECT_EQ(log.logbook().find(TicketNumber(3))->code, ResultCode::TicketRouteWithoutService);
    EXPECT_EQ(log.logbook().find(TicketNumber(3))->stateDigest, log.logbook().find(TicketNumber(2))->stateDigest);
    EXPECT_EQ(log.counters().refused, 1U);
}

TEST(LogTest, RefusesUnreadableTicketOnceTheOneBelowIsKnown)
{
    TicketChain chain(2);
    chain.addBytes("not json");
    chain.add(slotsSection(4));
    TicketLog log = makeLogAt(chain, 1);
    log.addAcceptedHead(chain.head(4));
    addWantedTickets(log, chain);
    EXPECT_EQ(log.applied(), chain.head(1)) << "the digest of ticket 2 is unknown";
    EXPECT_TRUE(log.needsSnapshot());

    EXPECT_EQ(log.addAcceptedHead(chain.head(2)), HeadStatus::Older);
    EXPECT_FALSE(log.needsSnapshot());
    addWantedTickets(log, chain);
    EXPECT_EQ(log.applied(), chain.head(4));
    EXPECT_EQ(log.logbook().find(TicketNumber(3))->code, ResultCode::TicketNotJson);
}

TEST(LogTest, RefusedTicketStillNamesDigestOfTheOneBelow)
{
    TicketChain chain(2);
    chain.add(R"(,"unknown":1)");
    chain.addBytes(R"({"previous":")" + chain.head().digest.hex() + R"(",cut)");
    TicketLog log;
    log.addAcceptedHead(chain.head());
    addWantedTickets(log, chain);
    EXPECT_EQ(log.applied(), chain.head(4));
    EXPECT_EQ(log.counters().refused, 2U);
}

TEST(LogTest, RefusesAndCountsForkBelowAppliedTicket)
{
    TicketChain ours(3);
    TicketChain theirs(2);
    theirs.add(slotsSection(77));
    theirs.add(slotsSection(78));
    TicketLog log = makeLogAt(ours, 3);
    EXPECT_EQ(log.addAcceptedHead(theirs.head(4)), HeadStatus::Newer);
    addWantedTickets(log, theirs);
    EXPECT_EQ(log.logbook().find(TicketNumber(4))->code, ResultCode::TicketWrongPrevious);
    EXPECT_EQ(log.state()->stateDigest, ours.apply(3)->stateDigest);
    EXPECT_EQ(log.counters().conflicts, 1U);
}

TEST(LogTest, AcceptedHeadTakesPrecedenceOverPreviousOfLaterTicket)
{
    TicketChain ours(3);
    TicketChain theirs(2);
    theirs.add(slotsSection(77));
    theirs.add(slotsSection(78));
    for (const bool acceptedFirst : {true, false}) {
        TicketLog log = makeLogAt(ours, 1);
        if (acceptedFirst) {
            log.addAcceptedHead(ours.head(3));
        }
        log.addAcceptedHead(theirs.head(4));
        log.addTicket(TicketNumber(4), theirs.bytes(4), Now);
        log.addTicket(TicketNumber(3), theirs.bytes(3), Now);
        if (!acceptedFirst) {
            EXPECT_EQ(log.addAcceptedHead(ours.head(3)), HeadStatus::Conflict);
        }
        addWantedTickets(log, ours);
        EXPECT_EQ(log.applied(), theirs.head(4)) << acceptedFirst;
        EXPECT_EQ(log.logbook().find(TicketNumber(3))->head, ours.head(3)) << acceptedFirst;
        EXPECT_EQ(log.state()->stateDigest, ours.apply(3)->stateDigest) << acceptedFirst;
    }
}

TEST(LogTest, AcceptedHeadErasesTicketsDerivedFromFork)
{
    const TicketChain ours(3);
    TicketChain theirs(1);
    for (const std::uint64_t slots : {72U, 73U, 74U}) {
        theirs.add(slotsSection(slots));
    }
    TicketLog log = makeLogAt(ours, 1);
    log.addAcceptedHead(theirs.head(4));
    log.addTicket(TicketNumber(4), theirs.bytes(4), Now);
    log.addTicket(TicketNumber(3), theirs.bytes(3), Now);
    EXPECT_EQ(log.addAcceptedHead(ours.head(3)), HeadStatus::Conflict);
    addWantedTickets(log, ours);
    EXPECT_EQ(log.applied(), theirs.head(4));
    EXPECT_EQ(log.state()->stateDigest, ours.apply(3)->stateDigest);
    EXPECT_EQ(log.pendingBytes(), 0U);
}

TEST(LogTest, SecondAcceptedDigestOfOneNumberIsConflict)
{
    const TicketChain chain(4);
    TicketLog log = makeLogAt(chain, 2);
    log.addAcceptedHead(chain.head(4));
    EXPECT_EQ(log.addAcceptedHead({TicketNumber(4), sha256("raced")}), HeadStatus::Conflict);
    addWantedTickets(log, chain);
    EXPECT_EQ(log.applied(), chain.head(4));
    EXPECT_EQ(log.counters().conflicts, 1U);
}

TEST(LogTest, BoundsItsMemory)
{
    const TicketChain chain(60);
    TicketLogSettings settings;
    settings.maxRecentTickets = 5;
    settings.maxPendingBytes = 400;
    settings.maxLogEntries = 10;
    TicketLog log(settings);
    log.addAcceptedHead(chain.head(60));
    for (std::uint64_t number = 60; number > 30; --number) {
        log.addTicket(TicketNumber(number), chain.bytes(number), Now);
        EXPECT_LE(log.pendingBytes(), settings.maxPendingBytes);
    }
    addWantedTickets(log, chain);
    EXPECT_EQ(log.pendingBytes(), 0U);
    EXPECT_EQ(log.applied(), chain.head(60)) << "discarded bytes are fetched again";
    EXPECT_EQ(log.recentTickets().size(), 5U);
    EXPECT_EQ(log.recentBytes(TicketNumber(55)), nullptr);
    EXPECT_EQ(log.logbook().entries().size(), 10U);
    EXPECT_EQ(log.logbook().find(TicketNumber(50)), nullptr);
}

TEST(LogTest, HeadBeyondTrackedRangeNeedsSnapshot)
{
    const TicketChain chain(40);
    TicketLogSettings settings;
    settings.maxTrackedAhead = 10;
    TicketLog log(settings);
    log.addAcceptedHead(chain.head(20));
    EXPECT_EQ(log.addAcceptedHead(chain.head(40)), HeadStatus::Newer);
    EXPECT_TRUE(log.needsSnapshot());
    EXPECT_TRUE(log.missing(8).empty());

    EXPECT_EQ(log.installSnapshot(chain.apply(35), {}, Now), InstallSnapshotResult::Installed);
    EXPECT_FALSE(log.needsSnapshot());
    addWantedTickets(log, chain);
    EXPECT_EQ(log.applied(), chain.head(40));
}

TEST(LogTest, InstallsOnlyNewerSnapshotsWithAcceptedDigest)
{
    const TicketChain chain(6);
    TicketChain fork(5);
    fork.add(slotsSection(99));
    TicketLog log = makeLogAt(chain, 4);
    EXPECT_EQ(log.installSnapshot(chain.apply(3), {}, Now), InstallSnapshotResult::Older);
    EXPECT_EQ(log.installSnapshot(chain.apply(4), {}, Now), InstallSnapshotResult::Older);
    log.addAcceptedHead(chain.head(6));
    EXPECT_EQ(log.installSnapshot(fork.apply(6), {}, Now), InstallSnapshotResult::Conflict);
    EXPECT_EQ(log.applied(), chain.head(4));

    TicketLog peer = makeLogAt(chain, 6);
    EXPECT_EQ(log.installSnapshot(peer.state(), peer.logbook().tail(10), Now), InstallSnapshotResult::Installed);
    EXPECT_TRUE(log.isCurrent());
    EXPECT_EQ(log.logbook().entries().size(), 6U);
    EXPECT_EQ(log.logbook().find(TicketNumber(5))->origin, LogEntry::Origin::History);
    EXPECT_EQ(log.logbook().find(TicketNumber(2))->inForceAt, Now);
}

TEST(LogTest, AppendsEntriesOfTicketsAppliedOnTopOfSnapshot)
{
    const TicketChain chain(4);
    TicketLog log;
    log.addAcceptedHead(chain.head(4));
    log.addTicket(TicketNumber(4), chain.bytes(4), Now);
    std::vector<LogEntry> entries(1);
    EXPECT_EQ(log.installSnapshot(chain.apply(3), {}, Now, &entries), InstallSnapshotResult::Installed);
    ASSERT_EQ(entries.size(), 2U);
    EXPECT_EQ(entries[1].head, chain.head(4));
    EXPECT_EQ(log.applied(), chain.head(4));
}

TEST(LogTest, CountsDivergedPeers)
{
    const TicketChain chain(3);
    TicketLog log = makeLogAt(chain, 3);
    EXPECT_TRUE(log.matchesPeerState(chain.head(3), chain.apply(3)->stateDigest));
    EXPECT_TRUE(log.matchesPeerState(chain.head(2), chain.apply(2)->stateDigest));
    EXPECT_TRUE(log.matchesPeerState({TicketNumber(9), sha256("ahead")}, Digest {}));
    EXPECT_FALSE(log.matchesPeerState(chain.head(3), chain.apply(2)->stateDigest));
    EXPECT_FALSE(log.matchesPeerState(chain.head(2), chain.apply(3)->stateDigest));
    EXPECT_EQ(log.counters().conflicts, 2U);
}

namespace
{

/// Adds one random input to \p log: an accepted head, ticket bytes of the right or another number, or a snapshot.
void addRandomInput(TicketLog &log, const TicketChain &chain)
{
    const auto number = *rc::gen::inRange<std::uint64_t>(0, chain.size() + 1);
    const auto other = *rc::gen::inRange<std::uint64_t>(1, chain.size() + 1);
    switch (*rc::gen::inRange(0, 8)) {
    case 0:
        log.addAcceptedHead(chain.head(number));
        break;
    case 1:
        log.addAcceptedHead({TicketNumber(number), sha256("conflict" + std::to_string(other % 2))});
        break;
    case 2:
        log.installSnapshot(chain.apply(number), {}, Now);
        break;
    case 3:
        log.addTicket(TicketNumber(number), chain.bytes(other), Now);
        break;
    default:
        for (const WantedTicket &wanted : log.missing(2)) {
            log.addTicket(wanted.number, chain.bytes(std::min(wanted.number.value(), chain.size())), Now);
        }
    }
}

} // namespace

RC_GTEST_PROP(LogProperty, NumberNeverFallsAndEveryStateIsOneOfTheChain, ())
{
    TicketChain chain(4);
    chain.addBytes("\"unreadable\"");
    chain.add(R"(,"services":{"s":{"endpoints":["missing"]}})");
    chain.add(slotsSection(7));
    TicketLogSettings settings;
    settings.maxPendingBytes = 300;
    TicketLog log(settings);
    for (int step = 0; step < 40; ++step) {
        const TicketNumber before = log.state()->number;
        addRandomInput(log, chain);
        RC_ASSERT(log.state()->number >= before);
        RC_ASSERT(log.highestAcceptedHead().number >= log.state()->number);
        const Head applied = log.applied();
        if (applied == chain.head(applied.number.value())) {
            RC_ASSERT(log.state()->stateDigest == chain.apply(applied.number.value())->stateDigest);
        }
    }
}

RC_GTEST_PROP(LogProperty, FinalStateIsIndependentOfOrderOfHeads, ())
{
    TicketChain chain(3);
    chain.add(R"(,"bad":{})");
    chain.add(slotsSection(5));
    TicketLog log;
    const auto heads = *rc::gen::container<std::vector<std::uint64_t>>(rc::gen::inRange<std::uint64_t>(0, 6));
    for (const std::uint64_t number : heads) {
        log.addAcceptedHead(chain.head(number));
        if (*rc::gen::arbitrary<bool>()) {
            addWantedTickets(log, chain);
        }
    }
    log.addAcceptedHead(chain.head(5));
    addWantedTickets(log, chain);
    RC_ASSERT(log.applied() == chain.head(5));
    RC_ASSERT(log.state()->stateDigest == chain.apply(5)->stateDigest);
    RC_ASSERT(log.counters().conflicts == 0U);
}
