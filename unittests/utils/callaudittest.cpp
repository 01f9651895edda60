// The problems that auditCalls() finds from callers' records and targets' run logs.
#include "harness/callaudit.h"

#include <gtest/gtest.h>

namespace jasminemast::harness
{

namespace
{

struct AuditCase
{
    const char *name;
    const char *method;
    const char *result;
    unsigned runs;
    std::string problems;
};

std::string problemsOf(const CallAudit &audit)
{
    std::string problems;
    problems += audit.lost.empty() ? "" : "lost ";
    problems += audit.duplicated.empty() ? "" : "duplicated ";
    problems += audit.falseNotRun.empty() ? "" : "falseNotRun ";
    problems += audit.wrong.empty() ? "" : "wrong ";
    return problems;
}

class CallAuditTest : public testing::TestWithParam<AuditCase>
{
};

TEST_P(CallAuditTest, ReportsProblems)
{
    const AuditCase &test = GetParam();
    const std::vector<nlohmann::json> records = {{{"id", "c-1"}, {"method", test.method}, {"result", test.result}}};
    const std::vector<nlohmann::json> runs(test.runs, {{"callId", "c-1"}});
    EXPECT_EQ(problemsOf(auditCalls(records, runs)), test.problems);
}

const std::vector<AuditCase> AuditCases = {
    {"CompletePost", "POST", "whole", 1, ""},
    {"RepeatedGet", "GET", "whole", 2, ""},
    {"DuplicatedPost", "POST", "whole", 2, "duplicated "},
    {"NotRun", "POST", "not-run", 0, ""},
    {"FalseNotRun", "POST", "not-run", 1, "falseNotRun "},
    {"UnknownExecuted", "POST", "unknown", 1, ""},
    {"UnknownDuplicated", "POST", "unknown", 2, "duplicated "},
    {"Broken", "GET", "broken", 1, "lost "},
    {"ResponseOfAnotherCall", "GET", "wrong", 1, "wrong "},
    {"ResponseWithoutRun", "GET", "whole", 0, "wrong "},
};

INSTANTIATE_TEST_SUITE_P(Calls, CallAuditTest, testing::ValuesIn(AuditCases),
                         [](const auto &each) { return std::string(each.param.name); });

} // namespace

} // namespace jasminemast::harness
