<<<<<<< HEAD
// Counters and latency summaries, and their text for `/metrics` in the Prometheus exposition format.
#pragma once

#include "jasminemast/support/clock.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
=======
// Counters by reason, gauges and latency summaries of one process, rendered as Prometheus text.
//
// The catalogue is in metrics.def; docs/metrics.md explains each entry. One thread owns the object.
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
>>>>>>> main

namespace jasminemast
{

<<<<<<< HEAD
/// Counts events by a key, such as a result code.
template<class Key>
class Counters
{
public:
    void add(const Key &key, std::uint64_t count = 1)
    {
        m_counts[key] += count;
    }
    [[nodiscard]] std::uint64_t count(const Key &key) const
    {
        const auto found = m_counts.find(key);
        return found == m_counts.end() ? 0 : found->second;
    }
    [[nodiscard]] std::uint64_t total() const
    {
        std::uint64_t sum = 0;
        for (const auto &[key, count] : m_counts) {
            sum += count;
        }
        return sum;
    }
    [[nodiscard]] const std::map<Key, std::uint64_t> &all() const
    {
        return m_counts;
    }

private:
    std::map<Key, std::uint64_t> m_counts;
};

/// Running quantiles of durations; estimated in constant memory.
class LatencySummary
{
public:
    LatencySummary();
    ~LatencySummary();
    LatencySummary(LatencySummary &&) noexcept;
    LatencySummary &operator=(LatencySummary &&) noexcept;

    void add(Duration duration);

    [[nodiscard]] std::uint64_t count() const;
    [[nodiscard]] Duration sum() const;
    [[nodiscard]] Duration max() const;
    [[nodiscard]] Duration p50() const;
    [[nodiscard]] Duration p99() const;
    [[nodiscard]] Duration p999() const;

private:
    struct Accumulators;
    std::unique_ptr<Accumulators> m_accumulators;
};

/// Builds the text of a `/metrics` page.
class MetricsText
{
public:
    /// Begins a counter family. \p name ends in `_total`.
    void counter(std::string_view name, std::string_view help);
    void gauge(std::string_view name, std::string_view help);
    /// One sample of the family begun last, without a label.
    void sample(double value);
    /// One sample of the family begun last, with one label.
    void sample(std::string_view labelName, std::string_view labelValue, double value);
    /// A whole summary family, in seconds. \p name ends in `_seconds`.
    void summary(std::string_view name, std::string_view help, const LatencySummary &latency);

    [[nodiscard]] const std::string &text() const
    {
        return m_text;
    }

private:
    void begin(std::string_view name, std::string_view help, std::string_view type);

    std::string m_family; ///< name of the family begun last
    std::string m_text;
=======
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

    /// Adds \p amount under the reason \p code; Ok stands for "no particular reason".
    void count(Counter counter, ResultCode code = ResultCode::Ok, std::uint64_t amount = 1);
    void set(Gauge gauge, double value);
    void observe(Summary summary, Duration value);

    /// The value counted under \p code.
    [[nodiscard]] std::uint64_t counted(Counter counter, ResultCode code = ResultCode::Ok) const;
    /// The value counted under all codes.
    [[nodiscard]] std::uint64_t countedInAll(Counter counter) const;

    /// Prometheus text exposition format, version 0.0.4.
    [[nodiscard]] std::string render() const;

private:
    class Distribution;

    const Clock &m_clock;
    std::map<std::pair<Counter, ResultCode>, std::uint64_t> m_counters;
    std::map<Gauge, double> m_gauges;
    std::map<Summary, std::unique_ptr<Distribution>> m_summaries;
>>>>>>> main
};

} // namespace jasminemast
