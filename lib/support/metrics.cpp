// Latency quantiles by Boost.Accumulators and the Prometheus text format.
#include "jasminemast/support/metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <cstddef>
#include <cstdio>

namespace jasminemast
{

namespace
{

namespace acc = boost::accumulators;

constexpr std::array Probabilities {0.5, 0.9, 0.99, 0.999};

using Set
    = acc::accumulator_set<double,
                           acc::stats<acc::tag::count, acc::tag::sum, acc::tag::max, acc::tag::extended_p_square>>;

Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

std::string formatValue(double value)
{
    std::array<char, 32> buffer {};
    const int length = std::snprintf(buffer.data(), buffer.size(), "%.9g", value);
    return {buffer.data(), static_cast<std::size_t>(length)};
}

std::string escapeLabel(std::string_view value)
{
    std::string escaped;
    for (const char c : value) {
        if (c == '\n') {
            escaped += "\\n";
            continue;
        }
        if (c == '\\' || c == '"') {
            escaped.push_back('\\');
        }
        escaped.push_back(c);
    }
    return escaped;
}

} // namespace

struct LatencySummary::Accumulators
{
    Set set {acc::extended_p_square_probabilities = Probabilities};

    /// The estimate for the probability at \p index of Probabilities; rough for the first few values.
    [[nodiscard]] Duration quantile(std::size_t index) const
    {
        if (acc::count(set) == 0) {
            return Duration::zero();
        }
        return fromSeconds(acc::extended_p_square(set)[static_cast<std::ptrdiff_t>(index)]);
    }
};

LatencySummary::LatencySummary()
    : m_accumulators(std::make_unique<Accumulators>())
{
}

LatencySummary::~LatencySummary() = default;
LatencySummary::LatencySummary(LatencySummary &&) noexcept = default;
LatencySummary &LatencySummary::operator=(LatencySummary &&) noexcept = default;

void LatencySummary::add(Duration duration)
{
    m_accumulators->set(toSeconds(duration));
}

std::uint64_t LatencySummary::count() const
{
    return acc::count(m_accumulators->set);
}

Duration LatencySummary::sum() const
{
    return fromSeconds(acc::sum(m_accumulators->set));
}

Duration LatencySummary::max() const
{
    return count() == 0 ? Duration::zero() : fromSeconds(acc::max(m_accumulators->set));
}

Duration LatencySummary::p50() const
{
    return m_accumulators->quantile(0);
}

Duration LatencySummary::p99() const
{
    return m_accumulators->quantile(2);
}

Duration LatencySummary::p999() const
{
    return m_accumulators->quantile(3);
}

void MetricsText::begin(std::string_view name, std::string_view help, std::string_view type)
{
    m_family = name;
    m_text += "# HELP " + m_family + " " + std::string(help) + "\n";
    m_text += "# TYPE " + m_family + " " + std::string(type) + "\n";
}

void MetricsText::counter(std::string_view name, std::string_view help)
{
    begin(name, help, "counter");
}

void MetricsText::gauge(std::string_view name, std::string_view help)
{
    begin(name, help, "gauge");
}

void MetricsText::sample(double value)
{
    m_text += m_family + " " + formatValue(value) + "\n";
}

void MetricsText::sample(std::string_view labelName, std::string_view labelValue, double value)
{
    m_text += m_family + "{" + std::string(labelName) + "=\"" + escapeLabel(labelValue) + "\"} " + formatValue(value)
        + "\n";
}

void MetricsText::summary(std::string_view name, std::string_view help, const LatencySummary &latency)
{
    begin(name, help, "summary");
    sample("quantile", "0.5", toSeconds(latency.p50()));
    sample("quantile", "0.99", toSeconds(latency.p99()));
    sample("quantile", "0.999", toSeconds(latency.p999()));
    m_text += m_family + "_sum " + formatValue(toSeconds(latency.sum())) + "\n";
    m_text += m_family + "_count " + formatValue(static_cast<double>(latency.count())) + "\n";
}

} // namespace jasminemast
