// Quantiles by Boost.Accumulators and the text form of metrics.
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

constexpr std::array Probabilities = {0.5, 0.99, 0.999};
/// The estimator keeps two markers for each probability and three more; with fewer samples it has no estimate.
constexpr std::size_t FewestSamples = 2 * Probabilities.size() + 3;
constexpr std::chrono::seconds WindowLength {60};

using Estimator = accumulators::accumulator_set<
    double, accumulators::stats<accumulators::tag::count, accumulators::tag::extended_p_square>>;

Estimator makeEstimator()
{
    return Estimator(accumulators::extended_p_square_probabilities = Probabilities);
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

/// The row of the \p index-th metric of one kind.
const MetricInfo &infoOf(MetricKind kind, std::size_t index)
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

void renderHead(std::ostream &out, const MetricInfo &info, const char *type)
{
    out << "# HELP " << info.name << ' ' << info.text << "\n# TYPE " << info.name << ' ' << type << '\n';
}

} // namespace

/// Quantiles of the last whole window, or of the first one while it lasts; count and sum since the start.
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
        const bool enough = accumulators::count(estimator) >= FewestSamples;
        for (std::size_t i = 0; i < Probabilities.size(); ++i) {
            out << name << "{quantile=\"" << Probabilities.at(i) << "\"} ";
            if (enough) {
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
        const bool currentIsLast = now - m_windowStart < 2 * WindowLength;
        m_previous = currentIsLast ? m_current : makeEstimator();
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

std::uint64_t Metrics::countedInAll(Counter counter) const
{
    std::uint64_t sum = 0;
    for (const auto &[key, value] : m_counters) {
        sum += key.first == counter ? value : 0;
    }
    return sum;
}

std::string Metrics::render() const
{
    constexpr int Digits = 12;
    std::ostringstream out;
    out.precision(Digits);
    const MetricInfo *last = nullptr;
    for (const auto &[key, value] : m_counters) {
        const MetricInfo &info = infoOf(MetricKind::Counter, static_cast<std::size_t>(key.first));
        if (last != &info) {
            renderHead(out, info, "counter");
            last = &info;
        }
        out << info.name << "{code=\"" << number(key.second) << "\",reason=\"" << resultInfo(key.second).name << "\"} "
            << value << '\n';
    }
    for (const auto &[gauge, value] : m_gauges) {
        const MetricInfo &info = infoOf(MetricKind::Gauge, static_cast<std::size_t>(gauge));
        renderHead(out, info, "gauge");
        out << info.name << ' ' << value << '\n';
    }
    for (const auto &[summary, distribution] : m_summaries) {
        const MetricInfo &info = infoOf(MetricKind::Summary, static_cast<std::size_t>(summary));
        renderHead(out, info, "summary");
        distribution->render(out, info.name, m_clock.now());
    }
    return out.str();
}

} // namespace jasminemast
