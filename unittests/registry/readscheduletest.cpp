// How soon nodes that are in touch with the registry act on its changes, whatever happened to them or to others before.
#include "registryfleet.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace jasminemast;
using namespace std::chrono_literals;

namespace
{

/// From then on after a disturbance a node is bound again.
constexpr Milliseconds InTouchWindow {3'000};
/// A removed target serves for 2.5 s; calls that were sent to it before need some of that.
constexpr Milliseconds MaxRemovalDelay {2'450};

TimePoint at(Milliseconds time)
{
    return RegistryFleet::Start + time;
}

/// Removals acknowledged by the registry, checked against what the nodes use.
class RemovalAudit
{
public:
    void remove(RegistryFleet &fleet, std::size_t target)
    {
        if (fleet.isRegistered(target)) {
            fleet.removeTarget(target);
            m_removedAt[target] = fleet.now();
        }
    }

    /// A node in touch that uses a target too long after its removal.
    [[nodiscard]] std::optional<std::size_t> findViolation(const RegistryFleet &fleet) const
    {
        for (const auto &[target, removedAt] : m_removedAt) {
            if (fleet.now() <= removedAt + MaxRemovalDelay || !fleet.isStable(removedAt, InTouchWindow)) {
                continue;
            }
            for (std::size_t node = 0; node < fleet.size(); ++node) {
                if (!fleet.isLost(node) && fleet.isInTouch(node, InTouchWindow) && fleet.usesTarget(node, target)) {
                    return node;
                }
            }
        }
        return std::nullopt;
    }

private:
    std::map<std::size_t, TimePoint> m_removedAt;
};

/// The node that reads the registry for the others.
std::size_t readerOf(const RegistryFleet &fleet)
{
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        if (fleet.reads(i).upstreams().candidates().empty()) {
            return i;
        }
    }
    return 0;
}

Milliseconds anyTime(int fromMs, int untilMs)
{
    return Milliseconds(*rc::gen::inRange(fromMs / 10, untilMs / 10) * 10);
}

Period anyPeriod(int maxMs)
{
    const TimePoint from = at(anyTime(4'000, 12'000));
    return {from, from + anyTime(50, maxMs), *rc::gen::element(FailureMode::Silent, FailureMode::Reset),
            *rc::gen::element(false, true)};
}

std::string describe(const Period &period)
{
    const auto offset = [](TimePoint time) {
        return std::to_string(std::chrono::duration_cast<Milliseconds>(time - RegistryFleet::Start).count());
    };
    return offset(period.from) + " to " + offset(period.until)
        + (period.mode == FailureMode::Silent ? " silent" : " reset")
        + (period.isRegistryOnly ? " from the registry" : "");
}

/// A fleet with disturbances in its first 18 s, and changes that the registry acknowledges meanwhile.
struct Scenario
{
    Scenario()
        : fleet(*rc::gen::inRange<std::size_t>(2, 6), *rc::gen::inRange<std::size_t>(1, 3))
    {
        const auto anyNode = [this] {
            return *rc::gen::inRange<std::size_t>(0, fleet.size());
        };
        for (int i = *rc::gen::inRange(0, 4); i > 0; --i) {
            const std::size_t node = anyNode();
            const Period cut = anyPeriod(6'000);
            RC_LOG() << "node " << node << " is cut off from " << describe(cut) << "\n";
            fleet.cutOff(node, cut);
        }
        for (int i = *rc::gen::inRange(0, 2); i > 0; --i) {
            const Period outage = anyPeriod(6'000);
            RC_LOG() << "outage from " << describe(outage) << "\n";
            fleet.loseRegistry(outage);
        }
        for (int i = *rc::gen::inRange(0, 2); i > 0; --i) {
            const std::size_t node = anyNode();
            const Milliseconds time = anyTime(4'000, 12'000);
            RC_LOG() << "host " << node << " is lost at " << time.count() << "\n";
            events.emplace(time, [this, node] { fleet.loseHost(node); });
            // Its record expires.
            events.emplace(time + 4'500ms, [this, node] { fleet.removeTarget(node); });
        }
        if (*rc::gen::inRange(0, 4) == 0) {
            const Milliseconds time = anyTime(4'000, 14'000);
            RC_LOG() << "the history is discarded at " << time.count() << "\n";
            events.emplace(time, [this] { fleet.compact(); });
        }
    }

    /// Runs to the end; calls \p check after each step.
    template<class Check>
    void run(const Check &check)
    {
        while (fleet.now() < at(21s)) {
            fleet.step();
            while (!events.empty() && at(events.begin()->first) <= fleet.now()) {
                events.begin()->second();
                events.erase(events.begin());
            }
            check();
        }
    }

    RegistryFleet fleet;
    std::multimap<Milliseconds, std::function<void()>> events;
};

} // namespace

// The reader was cut off for a moment and held removals back, while it told the others that its records are fresh: they
// used a removed target for over 2.5 s (review/2).
TEST(ReadScheduleTest, ReaderThatWasCutOffForAMomentPassesRemovalsOnAtOnce)
{
    RegistryFleet fleet(4, 1);
    fleet.runUntil(at(4s));
    const std::size_t reader = readerOf(fleet);
    const std::size_t leaving = (reader + 1) % fleet.size();
    fleet.cutOff(reader, {at(6s), at(6'600ms), FailureMode::Reset, true});
    fleet.runUntil(at(6'100ms));
    RemovalAudit audit;
    audit.remove(fleet, leaving);
    while (fleet.now() < at(12s)) {
        fleet.step();
        ASSERT_FALSE(audit.findViolation(fleet)) << (fleet.now() - at(6'100ms)) / 1ms << " ms after the removal";
    }
}

// Cuts of any node, outages of the registry, lost hosts and lost history, in any order: no node in touch uses a target
// that left more than 2.5 s ago (review/2 and the drawn days in its claim).
RC_GTEST_PROP(ReadScheduleProperty, NodesInTouchDropRemovedTargetsInTime, ())
{
    Scenario scenario;
    RemovalAudit audit;
    for (int i = *rc::gen::inRange(1, 4); i > 0; --i) {
        const auto target = *rc::gen::inRange<std::size_t>(0, scenario.fleet.size());
        const Milliseconds time = anyTime(4'000, 16'000);
        RC_LOG() << "target " << target << " is removed at " << time.count() << "\n";
        scenario.events.emplace(time, [&audit, &scenario, target] { audit.remove(scenario.fleet, target); });
    }
    scenario.run([&] {
        const auto node = audit.findViolation(scenario.fleet);
        RC_LOG() << (node ? "node " + std::to_string(*node) + " at "
                             + std::to_string((scenario.fleet.now() - RegistryFleet::Start) / 1ms) + "\n"
                          : std::string());
        RC_ASSERT(!node);
    });
}
