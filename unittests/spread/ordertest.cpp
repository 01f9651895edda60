// Random event orders on one SpreadCore, and random faults in small fleets.
#include "fakefleet.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace jasminemast;

namespace
{

constexpr std::uint64_t ChainLength = 8;

/// A SpreadCore that receives messages of a peer and responses of the service in any order.
struct SingleCore
{
    TicketChain chain {ChainLength};
    ManualClock clock;
    Random random {3};
    TicketLog log;
    TicketStore store {log, clock};
    SpreadCore core {{HostId("a"), ZoneId("z"), RegionId("r0"), Incarnation(1)}, testSettings(), store, random};
    TicketNumber published;
    std::uint64_t lastWatch = 0;

    void deliver(const SpreadEvent &event)
    {
        for (const auto &action : core.handle(event, clock.now())) {
            if (const auto *watch = std::get_if<StartWatch>(&action)) {
                lastWatch = watch->id;
            }
            const auto *publish = std::get_if<PublishState>(&action);
            if (publish == nullptr) {
                continue;
            }
            RC_ASSERT(publish->state->number > published);
            published = publish->state->number;
            RC_ASSERT(publish->state->stateDigest == chain.apply(published.value())->stateDigest);
        }
        RC_ASSERT(log.state()->number >= published);
    }

    Sender peer(std::uint64_t applied, std::uint64_t accepted)
    {
        Sender sender;
        sender.host = HostId("b");
        sender.incarnation = Incarnation(5);
        sender.applied = {TicketNumber(applied), chain.head(applied).digest, chain.apply(applied)->stateDigest};
        sender.accepted = chain.head(std::max(applied, accepted));
        return sender;
    }

    PullReply pullReply(std::uint64_t id, std::uint64_t from, std::uint64_t to)
    {
        PullReply result;
        result.id = id;
        result.sender = peer(to, to);
        for (auto number = from; number <= to; ++number) {
            result.tickets.push_back({TicketNumber(number), chain.bytes(number)});
        }
        return result;
    }

    SpreadEvent event(unsigned kind, std::uint64_t a, std::uint64_t b)
    {
        switch (kind) {
        case 0:
            return WatchCompleted {lastWatch, chain.head(a)};
        case 1:
            return TicketFetched {TicketNumber(a), chain.bytes(std::max<std::uint64_t>(a, 1))};
        case 2:
            return TicketFetched {TicketNumber(a), "not the accepted bytes"};
        case 3:
            return PullReplyReceived {pullReply(b, std::min(std::max<std::uint64_t>(a, 1), b), b)};
        case 4: {
            ControlMessage message;
            message.sender = peer(a, b);
            message.body = Announce {};
            return MessageReceived {message};
        }
        case 5:
            return PullFailed {a};
        case 6:
            return TicketFetchFailed {TicketNumber(a)};
        case 7:
            return WatchFailed {lastWatch};
        case 8:
            return NewerTicketSeen {HostId("b"), TicketNumber(a)};
        default:
            return Tick {};
        }
    }
};

} // namespace

TEST(EventOrder, AppliedNumberNeverDecreases)
{
    const bool passed = rc::check("the applied number never decreases", [] {
        SingleCore test;
        test.deliver(HostListReceived {HostList({{HostId("a"), RegionId("r0"), ZoneId("z"), "a", false},
                                                 {HostId("b"), RegionId("r0"), ZoneId("z"), "b", false}})});
        const auto steps
            = *rc::gen::container<std::vector<std::tuple<unsigned, std::uint64_t, std::uint64_t, unsigned>>>(
                rc::gen::tuple(rc::gen::inRange(0U, 11U), rc::gen::inRange<std::uint64_t>(0, ChainLength + 1),
                               rc::gen::inRange<std::uint64_t>(1, ChainLength + 1), rc::gen::inRange(0U, 400U)));
        for (const auto &[kind, a, b, wait] : steps) {
            // Some waits exceed the pause threshold.
            test.clock.advance(Milliseconds(wait < 390 ? wait : 5000));
            test.deliver(test.event(kind, a, b));
        }
        // A push of all tickets must bring the core up to date.
        test.deliver(PullReplyReceived {test.pullReply(0, 1, ChainLength)});
        RC_ASSERT(test.log.state()->number == TicketNumber(ChainLength));
    });
    EXPECT_TRUE(passed);
}

TEST(EventOrder, SmallFleetsConvergeAfterAnyFaults)
{
    constexpr std::size_t Nodes = 8;
    const bool passed = rc::check("a small fleet converges", [] {
        FakeFleet fleet({.regions = 2,
                         .zonesPerRegion = 2,
                         .nodesPerZone = 2,
                         .settings = testSettings(),
                         .seed = *rc::gen::inRange<std::uint64_t>(1, 1000)});
        auto last = fleet.accept();
        const auto steps = *rc::gen::container<std::vector<std::pair<unsigned, unsigned>>>(
            rc::gen::pair(rc::gen::inRange(0U, 9U), rc::gen::inRange(0U, 3000U)));
        for (const auto &[kind, value] : steps) {
            const auto node = value % Nodes;
            switch (kind) {
            case 0:
                fleet.kill(node);
                break;
            case 1:
                fleet.restart(node);
                break;
            case 2:
                fleet.pause(node);
                break;
            case 3:
                fleet.resume(node);
                break;
            case 4:
                fleet.setServiceDown(value % 2 == 0);
                break;
            case 5:
                fleet.dropInFlightMessages();
                break;
            case 6:
                fleet.setLoss(0.3);
                break;
            case 7:
                last = fleet.accept();
                break;
            default:
                fleet.run(Milliseconds(value));
            }
        }
        fleet.setServiceDown(false);
        fleet.setLoss(0);
        for (std::size_t node = 0; node < Nodes; ++node) {
            fleet.resume(node);
        }
        RC_ASSERT(fleet.runUntilApplied(last, fleet.liveNodes(), Milliseconds(6000)));
        RC_ASSERT(fleet.violations().empty());
    });
    EXPECT_TRUE(passed);
}
