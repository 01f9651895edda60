// Counters by result code, gauges and latency summaries of one process, rendered as Prometheus text.
//
// The catalogue is in metrics.def; docs/metrics.md explains each entry. Not thread-safe.
#pragma once

#include "jasminemast/support/clock.h"
#include "jasminemast/support/result.h"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace jasminemast
{

enum class Counter {
#define JASMINEMAST_COUNTER(name, rendered, text) name,
#define JASMINEMAST_GAUGE(name, rendered, text)
#define JASMINEMAST_SUMMARY(name, rendered, text)
#include "jasminemast/support/metrics.def"
#undef JASMINEMAST_COUNTER
#undef JASMINEMAST_GAUGE
#undef JASMINEMAST_SUMMARY
};

enum class Gauge {
#define JASMINEMAST_COUNTER(name, rendered, text)
#define JASMINEMAST_GAUGE(name, rendered, text) name,
#define JASMINEMAST_SUMMARY(name, rendered, text)
#include "jasminemast/support/metrics.def"
#undef JASMINEMAST_COUNTER
#undef JASMINEMAST_GAUGE
#undef JASMINEMAST_SUMMARY
};

enum class Summary {
#define JASMINEMAST_COUNTER(name, rendered, text)
#define JASMINEMAST_GAUGE(name, rendered, text)
#define JASMINEMAST_SUMMARY(name, rendered, text) name,
#include "jasminemast/support/metrics.def"
#undef JASMINEMAST_COUNTER
#undef JASMINEMAST_GAUGE
#undef JASMINEMAST_SUMMARY
};

enum class MetricKind { Counter, Gauge, Summary };

/// One row of the catalogue.
struct MetricInfo
{
    MetricKind kind;
    std::string name; ///< as rendered, with prefix and suffix
    std::string_view text;
};

/// All rows, ordered as in metrics.def.
std::span<const MetricInfo> allMetrics();

/// The metrics of one process.
class Metrics
{
public:
    explicit Metrics(const Clock &clock);
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /// Adds \p amount to the series of \p code, the reason of the event; Ok means "no particular reason".
    void count(Counter counter, ResultCode code = ResultCode::Ok, std::uint64_t amount = 1);
    void set(Gauge gauge, double value);
    void observe(Summary summary, Duration value);

    /// The value of the series of \p code.
    [[nodiscard]] std::uint64_t counted(Counter counter, ResultCode code = ResultCode::Ok) const;
    /// The sum over all codes.
    [[nodiscard]] std::uint64_t countedTotal(Counter counter) const;

    /// Prometheus text exposition format, version 0.0.4.
    [[nodiscard]] std::string render() const;

private:
    class Distribution;

    const Clock &m_clock;
    std::map<std::pair<Counter, ResultCode>, std::uint64_t> m_counters;
    std::map<Gauge, double> m_gauges;
    std::map<Summary, std::unique_ptr<Distribution>> m_summaries;
};

} // namespace jasminemast
