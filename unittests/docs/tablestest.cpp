// The tables in docs/ against the code: every entry is there, word for word, and nothing else.
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

/// The rows of the table in a page, without its head.
std::vector<std::string> tableRows(const std::string &page)
{
    std::ifstream file(std::string(DOCS_FOLDER) + "/" + page);
    std::vector<std::string> rows;
    std::string line;
    bool isPastHead = false;
    while (std::getline(file, line)) {
        if (isPastHead && line.starts_with("| ")) {
            rows.push_back(line);
        }
        isPastHead = isPastHead || line.starts_with("|---");
    }
    return rows;
}

/// Expects one row to start with each of \p starts, in this order, and to say something more.
void expectTable(const std::string &page, const std::vector<std::string> &starts)
{
    const auto rows = tableRows(page);
    for (std::size_t i = 0; i < starts.size(); ++i) {
        const std::string row = i < rows.size() ? rows[i] : "";
        EXPECT_TRUE(row.starts_with(starts[i])) << page << ": expected\n" << starts[i] << "\ninstead of\n" << row;
        EXPECT_GT(row.size(), starts[i].size() + 3) << page << ": a row without an explanation: " << row;
    }
    EXPECT_EQ(rows.size(), starts.size()) << page;
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
    std::vector<std::string> starts;
    for (const ResultInfo &info : allResults()) {
        starts.push_back(cells({std::to_string(number(info.code)), std::string(info.name),
                                std::to_string(info.exitStatus), std::string(info.text)}));
    }
    expectTable("results.md", starts);
}

TEST(DocumentedTables, EventsMatchTheCode)
{
    std::vector<std::string> starts;
    for (const EventInfo &info : allEvents()) {
        starts.push_back(cells({std::to_string(static_cast<int>(info.event)), std::string(info.name),
                                severityName(info.severity), std::string(info.text)}));
    }
    expectTable("events.md", starts);
}

TEST(DocumentedTables, MetricsMatchTheCode)
{
    std::vector<std::string> starts;
    for (const MetricInfo &info : allMetrics()) {
        const char *kind = info.kind == MetricKind::Counter ? "counter"
            : info.kind == MetricKind::Gauge                ? "gauge"
                                                            : "summary";
        starts.push_back(cells({info.name, kind}));
        EXPECT_FALSE(info.text.empty());
    }
    expectTable("metrics.md", starts);
}

TEST(DocumentedTables, SettingsMatchTheCode)
{
    constexpr const char *WithOneSeed = R"({"host": "h1", "region": "r", "zone": "z", "address": "127.0.0.1",
        "callerPort": 1, "operatorPort": 2, "linkPort": 3, "configSource": "http://127.0.0.1:4",
        "hostList": "http://127.0.0.1:5", "storeRegion": "r", "targetAddress": "127.0.0.1",
        "seeds": [{"host": "h2", "region": "r", "zone": "z", "address": "127.0.0.2"}]})";
    SettingCatalogue catalogue;
    parseNodeSettings(WithOneSeed, &catalogue);
    std::vector<std::string> starts;
    for (const SettingInfo &info : catalogue) {
        const std::string fallback = info.path == "/targetAddress" ? "/address" : info.fallback;
        starts.push_back(cells({info.path, info.type, info.range, fallback}));
    }
    expectTable("settings.md", starts);
}

} // namespace
} // namespace jasminemast
