// Counters and latency summaries, and their text for `/metrics` in the Prometheus exposition format.
#pragma once

#include "jasminemast/support/clock.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace jasminemast
{

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
};

} // namespace jasminemast
