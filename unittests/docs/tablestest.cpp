// Checks that the tables in docs/ contain exactly the results, events, metrics and settings of the code.
#include "jasminemast/settings/nodesettings.h"
#include "jasminemast/support/events.h"
#include "jasminemast/support/metrics.h"
#include "jasminemast/support/result.h"

#include <gtest/gtest.h>

#include <fstream>

namespace jasminemast
{
namespace
{

/// The rows of the table in \p page, without its header.
std::vector<std::string> tableRows(const std::string &page)
{
    std::ifstream file(std::string(DOCS_FOLDER) + "/" + page);
    std::vector<std::string> rows;
    std::string line;
    bool isPastHeader = false;
    while (std::getline(file, line)) {
        if (isPastHeader && line.starts_with("| ")) {
            rows.push_back(line);
        }
        isPastHeader = isPastHeader || line.starts_with("|---");
    }
    return rows;
}

/// Expects one row per element of \p expectedPrefixes, in this order, that starts with it and goes on with an
/// explanation.
void expectTable(const std::string &page, const std::vector<std::string> &expectedPrefixes)
{
    const auto rows = tableRows(page);
    for (std::size_t i = 0; i < expectedPrefixes.size(); ++i) {
        const std::string row = i < rows.size() ? rows[i] : "";
        EXPECT_TRUE(row.starts_with(expectedPrefixes[i])) << page << ": expected\n"
                                                          << expectedPrefixes[i] << "\ninstead of\n"
                                                          << row;
        EXPECT_GT(row.size(), expectedPrefixes[i].size() + 3) << page << ": row without an explanation: " << row;
    }
    EXPECT_EQ(rows.size(), expectedPrefixes.size()) << page;
}

std::string cells(const std::vector<std::string> &texts)
{
    std::string row;
    for (const std::string &text : texts) {
        row += "| " + text + " ";
    }
    return row;
}

const char *severityName(Severity severity)
{
    return severity == Severity::Info ? "Info" : severity == Severity::Warning ? "Warning" : "Error";
}

TEST(DocumentedTables, ResultsMatchTheCode)
{
    std::vector<std::string> expectedPrefixes;
    for (const ResultInfo &info : allResults()) {
        expectedPrefixes.push_back(cells({std::to_string(number(info.code)), std::string(info.name),
                                          std::to_string(info.exitStatus), std::string(info.text)}));
    }
    expectTable("results.md", expectedPrefixes);
}

TEST(DocumentedTables, EventsMatchTheCode)
{
    std::vector<std::string> expectedPrefixes;
    for (const EventInfo &info : allEvents()) {
        expectedPrefixes.push_back(cells({std::to_string(static_cast<int>(info.event)), std::string(info.name),
                                          severityName(info.severity), std::string(info.text)}));
    }
    expectTable("events.md", expectedPrefixes);
}

TEST(DocumentedTables, MetricsMatchTheCode)
{
    std::vector<std::string> expectedPrefixes;
    for (const MetricInfo &info : allMetrics()) {
        const char *kind = info.kind == MetricKind::Counter ? "counter"
            : info.kind == MetricKind::Gauge                ? "gauge"
                                                            : "summary";
        expectedPrefixes.push_back(cells({info.name, kind}));
        EXPECT_FALSE(info.text.empty());
    }
    expectTable("metrics.md", expectedPrefixes);
}

TEST(DocumentedTables, SettingsMatchTheCode)
{
    constexpr const char *WithOneSeed = R"({"host": "h1", "region": "r", "zone": "z", "address": "127.0.0.1",
        "callerPort": 1, "operatorPort": 2, "linkPort": 3, "configSource": "http://127.0.0.1:4",
        "hostList": "http://127.0.0.1:5", "storeRegion": "r", "targetAddress": "127.0.0.1",
        "seeds": [{"host": "h2", "region": "r", "zone": "z", "address": "127.0.0.2"}]})";
    SettingCatalogue catalogue;
    parseNodeSettings(WithOneSeed, &catalogue);
    std::vector<std::string> expectedPrefixes;
    for (const SettingInfo &info : catalogue) {
        const std::string fallback = info.path == "/targetAddress" ? "/address" : info.fallback;
        expectedPrefixes.push_back(cells({info.path, info.type, info.range, fallback}));
    }
    expectTable("settings.md", expectedPrefixes);
}

} // namespace
} // namespace jasminemast
