// The verdict on calls, from the caller's records and the targets' ledgers.
#include "harness/judge.h"

#include <gtest/gtest.h>

namespace jasminemast::harness
{

namespace
{

struct JudgeCase
{
    const char *name;
    const char *method;
    const char *result;
    unsigned runs;
    std::string verdict;
};

std::string verdictOn(const Judgement &judgement)
{
    std::string verdict;
    verdict += judgement.lost.empty() ? "" : "lost ";
    verdict += judgement.doubled.empty() ? "" : "doubled ";
    verdict += judgement.falseNotRun.empty() ? "" : "falseNotRun ";
    verdict += judgement.wrong.empty() ? "" : "wrong ";
    return verdict;
}

class JudgeTable : public testing::TestWithParam<JudgeCase>
{
};

TEST_P(JudgeTable, findsWhatWentWrong)
{
    const JudgeCase &test = GetParam();
    const std::vector<nlohmann::json> records = {{{"id", "c-1"}, {"method", test.method}, {"result", test.result}}};
    const std::vector<nlohmann::json> runs(test.runs, {{"callId", "c-1"}});
    EXPECT_EQ(verdictOn(judgeCalls(records, runs)), test.verdict);
}

const std::vector<JudgeCase> JudgeCases = {
    {"wholePost", "POST", "whole", 1, ""},
    {"repeatedGet", "GET", "whole", 2, ""},
    {"doubledPost", "POST", "whole", 2, "doubled "},
    {"trueNotRun", "POST", "not-run", 0, ""},
    {"falseNotRun", "POST", "not-run", 1, "falseNotRun "},
    {"unknownRan", "POST", "unknown", 1, ""},
    {"unknownDoubled", "POST", "unknown", 2, "doubled "},
    {"broken", "GET", "broken", 1, "lost "},
    {"crossed", "GET", "wrong", 1, "wrong "},
    {"inventedAnswer", "GET", "whole", 0, "wrong "},
};

INSTANTIATE_TEST_SUITE_P(Calls, JudgeTable, testing::ValuesIn(JudgeCases),
                         [](const auto &each) { return std::string(each.param.name); });

} // namespace

} // namespace jasminemast::harness
