// Checks the guarantees to callers against the record of what the targets really ran, under thousands of random
// sequences of lost, duplicated, reordered and late messages, restarts, pauses and draining targets.
#include "simulation.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace jasminemast;
using namespace jasminemast::simulation;

namespace rc
{

template<>
struct Arbitrary<Step>
{
    static Gen<Step> arbitrary()
    {
        return gen::build<Step>(gen::set(&Step::kind), gen::set(&Step::first), gen::set(&Step::second));
    }
};

} // namespace rc

namespace jasminemast::simulation
{

void showValue(const Step &step, std::ostream &out)
{
    out << "{" << int(step.kind) << "," << int(step.first) << "," << int(step.second) << "}";
}

} // namespace jasminemast::simulation

namespace
{

constexpr int StepsPerRun = 300;

std::vector<Step> randomSteps(std::uint64_t seed)
{
    Random random(seed);
    std::vector<Step> steps(StepsPerRun);
    for (Step &step : steps) {
        step = {static_cast<std::uint8_t>(random.nextBelow(256)), static_cast<std::uint8_t>(random.nextBelow(256)),
                static_cast<std::uint8_t>(random.nextBelow(256))};
    }
    return steps;
}

/// Runs seeds until one violates a guarantee; returns the violations.
std::vector<std::string> firstViolations(FaultInjection faults, std::uint64_t seeds)
{
    for (std::uint64_t seed = 0; seed < seeds; ++seed) {
        Simulation simulation(faults);
        simulation.run(randomSteps(seed));
        simulation.runToCompletion();
        if (!simulation.violations().empty()) {
            return simulation.violations();
        }
    }
    return {};
}

} // namespace

RC_GTEST_PROP(CallOrderTest, KeepsGuaranteesInShortRuns, (const std::vector<Step> &steps))
{
    Simulation simulation;
    simulation.run(steps);
    simulation.runToCompletion();
    const auto violations = simulation.violations();
    for (const std::string &violation : violations) {
        RC_LOG() << violation << "\n";
    }
    RC_ASSERT(violations.empty());
}

TEST(CallOrderTest, KeepsGuaranteesInLongRuns)
{
    constexpr std::uint64_t Seeds = 4'000;
    std::size_t answered = 0;
    std::size_t fences = 0;
    for (std::uint64_t seed = 0; seed < Seeds; ++seed) {
        // In every third run the targets' nodes store no finished attempts, so only the bounds per entry host (see
        // FenceTable) prevent a second run.
        Simulation simulation({}, seed % 3 == 0 ? 0 : 64);
        simulation.run(randomSteps(seed));
        simulation.runToCompletion();
        ASSERT_EQ(simulation.violations(), std::vector<std::string> {}) << "seed " << seed;
        answered += simulation.answeredCalls();
        fences += simulation.fenceReplies();
    }
    // The runs must contain enough responses and fences to be meaningful.
    EXPECT_GT(answered, Seeds);
    EXPECT_GT(fences, Seeds);
}

TEST(CallOrderTest, DetectsDuplicateRuns)
{
    EXPECT_FALSE(firstViolations({.renumberDuplicates = true}, 200).empty());
}

TEST(CallOrderTest, DetectsNewRunsOnLeavingTarget)
{
    EXPECT_FALSE(firstViolations({.ignoreLeaving = true}, 200).empty());
}

TEST(CallOrderTest, DetectsFalseNotRun)
{
    EXPECT_FALSE(firstViolations({.reportLostAsNotRun = true}, 200).empty());
}

TEST(CallOrderTest, DetectsFenceThatKeepsTheMinGeneration)
{
    EXPECT_FALSE(firstViolations({.keepMinGeneration = true}, 2'000).empty());
}

TEST(CallOrderTest, DetectsMisroutedResponses)
{
    EXPECT_FALSE(firstViolations({.misrouteResponses = true}, 200).empty());
}
