// Estimates quantiles with Boost.Accumulators and renders metrics as text.
#include "jasminemast/support/metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <algorithm>
#include <sstream>
#include <vector>

namespace jasminemast
{

namespace
{

namespace accumulators = boost::accumulators;

constexpr std::array Quantiles = {0.5, 0.99, 0.999};
/// extended_p_square keeps two markers per quantile and three more; with fewer samples it has no estimate.
constexpr std::size_t MinSamples = 2 * Quantiles.size() + 3;
constexpr std::chrono::seconds WindowLength {60};

using Estimator = accumulators::accumulator_set<
    double, accumulators::stats<accumulators::tag::count, accumulators::tag::extended_p_square>>;

Estimator makeEstimator()
{
    return Estimator(accumulators::extended_p_square_probabilities = Quantiles);
}

std::vector<MetricInfo> makeCatalogue()
{
    const std::string prefix = "jasminemast_";
    return {
#define JASMINEMAST_COUNTER(name, rendered, text) MetricInfo {MetricKind::Counter, prefix + rendered + "_total", text},
#define JASMINEMAST_GAUGE(name, rendered, text) MetricInfo {MetricKind::Gauge, prefix + rendered, text},
#define JASMINEMAST_SUMMARY(name, rendered, text)                                                                      \
    MetricInfo {MetricKind::Summary, prefix + rendered + "_seconds", text},
#include "jasminemast/support/metrics.def"
#undef JASMINEMAST_COUNTER
#undef JASMINEMAST_GAUGE
#undef JASMINEMAST_SUMMARY
    };
}

/// The row of the metric of \p kind with the enumerator value \p index.
const MetricInfo &findInfo(MetricKind kind, std::size_t index)
{
    for (const MetricInfo &info : allMetrics()) {
        if (info.kind != kind) {
            continue;
        }
        if (index == 0) {
            return info;
        }
        --index;
    }
    return allMetrics().front();
}

void renderHeader(std::ostream &out, const MetricInfo &info, const char *type)
{
    out << "# HELP " << info.name << ' ' << info.text << "\n# TYPE " << info.name << ' ' << type << '\n';
}

} // namespace

/// Quantiles over the last complete window (the current one until the first is complete); count and sum since the
/// start.
class Metrics::Distribution
{
public:
    explicit Distribution(TimePoint now)
        : m_windowStart(now)
    {
    }

    void add(double seconds, TimePoint now)
    {
        rotate(now);
        m_current(seconds);
        ++m_count;
        m_sum += seconds;
    }

    void render(std::ostream &out, const std::string &name, TimePoint now)
    {
        rotate(now);
        const Estimator &estimator = m_hasPrevious ? m_previous : m_current;
        const bool hasEnoughSamples = accumulators::count(estimator) >= MinSamples;
        for (std::size_t i = 0; i < Quantiles.size(); ++i) {
            out << name << "{quantile=\"" << Quantiles.at(i) << "\"} ";
            if (hasEnoughSamples) {
                out << accumulators::extended_p_square(estimator)[static_cast<std::ptrdiff_t>(i)] << '\n';
            } else {
                out << "NaN\n";
            }
        }
        out << name << "_sum " << m_sum << '\n' << name << "_count " << m_count << '\n';
    }

private:
    void rotate(TimePoint now)
    {
        if (now - m_windowStart < WindowLength) {
            return;
        }
        const bool isCurrentLastComplete = now - m_windowStart < 2 * WindowLength;
        m_previous = isCurrentLastComplete ? m_current : makeEstimator();
        m_current = makeEstimator();
        m_hasPrevious = true;
        m_windowStart += WindowLength * ((now - m_windowStart) / WindowLength);
    }

    Estimator m_current = makeEstimator();
    Estimator m_previous = makeEstimator();
    bool m_hasPrevious = false;
    TimePoint m_windowStart;
    std::uint64_t m_count = 0;
    double m_sum = 0;
};

std::span<const MetricInfo> allMetrics()
{
    static const std::vector<MetricInfo> catalogue = makeCatalogue();
    return catalogue;
}

Metrics::Metrics(const Clock &clock)
    : m_clock(clock)
{
}

Metrics::~Metrics() = default;

void Metrics::count(Counter counter, ResultCode code, std::uint64_t amount)
{
    m_counters[{counter, code}] += amount;
}

void Metrics::set(Gauge gauge, double value)
{
    m_gauges[gauge] = value;
}

void Metrics::observe(Summary summary, Duration value)
{
    const TimePoint now = m_clock.now();
    auto &distribution = m_summaries[summary];
    if (!distribution) {
        distribution = std::make_unique<Distribution>(now);
    }
    distribution->add(std::chrono::duration<double>(value).count(), now);
}

std::uint64_t Metrics::counted(Counter counter, ResultCode code) const
{
    const auto found = m_counters.find({counter, code});
    return found == m_counters.end() ? 0 : found->second;
}

std::uint64_t Metrics::countedTotal(Counter counter) const
{
    std::uint64_t sum = 0;
    for (const auto &[key, value] : m_counters) {
        sum += key.first == counter ? value : 0;
    }
    return sum;
}

std::string Metrics::render() const
{
    constexpr int SignificantDigits = 12;
    std::ostringstream out;
    out.precision(SignificantDigits);
    const MetricInfo *last = nullptr;
    for (const auto &[key, value] : m_counters) {
        const MetricInfo &info = findInfo(MetricKind::Counter, static_cast<std::size_t>(key.first));
        if (last != &info) {
            renderHeader(out, info, "counter");
            last = &info;
        }
        out << info.name << "{code=\"" << number(key.second) << "\",reason=\"" << resultInfo(key.second).name << "\"} "
            << value << '\n';
    }
    for (const auto &[gauge, value] : m_gauges) {
        const MetricInfo &info = findInfo(MetricKind::Gauge, static_cast<std::size_t>(gauge));
        renderHeader(out, info, "gauge");
        out << info.name << ' ' << value << '\n';
    }
    for (const auto &[summary, distribution] : m_summaries) {
        const MetricInfo &info = findInfo(MetricKind::Summary, static_cast<std::size_t>(summary));
        renderHeader(out, info, "summary");
        distribution->render(out, info.name, m_clock.now());
    }
    return out.str();
}

} // namespace jasminemast
