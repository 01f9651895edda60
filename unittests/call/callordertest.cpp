// The promises to callers under thousands of orders of lost, doubled, reordered and late messages, restarts, pauses
// and leaving targets. The ledger of the targets is the judge.
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

/// Runs seeds until one breaks a promise; returns what was broken.
std::vector<std::string> firstViolations(Sabotage sabotage, std::uint64_t seeds)
{
    for (std::uint64_t seed = 0; seed < seeds; ++seed) {
        Simulation simulation(sabotage);
        simulation.run(randomSteps(seed));
        simulation.settle();
        if (!simulation.violations().empty()) {
            return simulation.violations();
        }
    }
    return {};
}

} // namespace

RC_GTEST_PROP(CallOrderTest, promisesHoldInShortRuns, (const std::vector<Step> &steps))
{
    Simulation simulation;
    simulation.run(steps);
    simulation.settle();
    const auto violations = simulation.violations();
    for (const std::string &violation : violations) {
        RC_LOG() << violation << "\n";
    }
    RC_ASSERT(violations.empty());
}

TEST(CallOrderTest, promisesHoldInLongRuns)
{
    constexpr std::uint64_t Seeds = 4'000;
    std::size_t answered = 0;
    std::size_t fences = 0;
    for (std::uint64_t seed = 0; seed < Seeds; ++seed) {
        // Every third target's node remembers nothing that has finished: the floors alone must do.
        Simulation simulation({}, seed % 3 == 0 ? 0 : 64);
        simulation.run(randomSteps(seed));
        simulation.settle();
        ASSERT_EQ(simulation.violations(), std::vector<std::string> {}) << "seed " << seed;
        answered += simulation.answeredCalls();
        fences += simulation.fencesAnswered();
    }
    // The runs must exercise what they judge.
    EXPECT_GT(answered, Seeds);
    EXPECT_GT(fences, Seeds);
}

TEST(CallOrderTest, judgeFindsDoubledRuns)
{
    EXPECT_FALSE(firstViolations({.doublesUnseen = true}, 200).empty());
}

TEST(CallOrderTest, judgeFindsNewWorkForLeavingTarget)
{
    EXPECT_FALSE(firstViolations({.leavingIgnored = true}, 200).empty());
}

TEST(CallOrderTest, judgeFindsFalseNotRun)
{
    EXPECT_FALSE(firstViolations({.lieAboutLost = true}, 200).empty());
}

TEST(CallOrderTest, judgeFindsFenceWithoutGenerationFloor)
{
    EXPECT_FALSE(firstViolations({.fenceOnOldGeneration = true}, 2'000).empty());
}

TEST(CallOrderTest, judgeFindsCrossedAnswers)
{
    EXPECT_FALSE(firstViolations({.crossedAnswers = true}, 200).empty());
}
