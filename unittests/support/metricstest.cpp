// Counters by result code, gauges, quantiles and the rendered text.
#include "jasminemast/support/metrics.h"

#include <gmock/gmock.h>

#include <sstream>

namespace jasminemast
{
namespace
{

using testing::HasSubstr;
using testing::Not;

TEST(Metrics, CountsEachResultCodeSeparately)
{
    const ManualClock clock;
    Metrics metrics(clock);
    metrics.count(Counter::InputRefused, ResultCode::FrameTooLarge);
    metrics.count(Counter::InputRefused, ResultCode::FrameTooLarge);
    metrics.count(Counter::InputRefused, ResultCode::BadRequest);
    EXPECT_EQ(metrics.counted(Counter::InputRefused, ResultCode::FrameTooLarge), 2U);
    EXPECT_EQ(metrics.counted(Counter::CallRetries, ResultCode::FrameTooLarge), 0U);
    EXPECT_EQ(metrics.countedTotal(Counter::InputRefused), 3U);
    const std::string text = metrics.render();
    EXPECT_THAT(text, HasSubstr("# TYPE jasminemast_input_refused_total counter\n"));
    EXPECT_THAT(text, HasSubstr("jasminemast_input_refused_total{code=\"5001\",reason=\"FrameTooLarge\"} 2\n"));
    EXPECT_THAT(text, HasSubstr("jasminemast_input_refused_total{code=\"5005\",reason=\"BadRequest\"} 1\n"));
}

TEST(Metrics, RendersLastValueOfGauge)
{
    const ManualClock clock;
    Metrics metrics(clock);
    metrics.set(Gauge::TicketInForce, 1'000'000);
    metrics.set(Gauge::TicketInForce, 1'000'001);
    EXPECT_THAT(metrics.render(), HasSubstr("\njasminemast_ticket_in_force 1000001\n"));
}

/// The value of the line that starts with \p start.
double valueOf(const std::string &text, const std::string &start)
{
    const std::size_t position = text.find(start);
    return position == std::string::npos ? -1 : std::stod(text.substr(position + start.size()));
}

TEST(Metrics, EstimatesQuantilesOfLastCompleteWindow)
{
    ManualClock clock;
    Metrics metrics(clock);
    for (int i = 0; i < 10'000; ++i) {
        metrics.observe(Summary::CallDuration, Microseconds(1 + (i * 7919) % 10'000));
    }
    clock.advance(std::chrono::seconds(61));
    metrics.observe(Summary::CallDuration, std::chrono::seconds(100));
    const std::string text = metrics.render();
    EXPECT_NEAR(valueOf(text, "jasminemast_call_seconds{quantile=\"0.5\"} "), 0.005, 0.0001);
    EXPECT_NEAR(valueOf(text, "jasminemast_call_seconds{quantile=\"0.99\"} "), 0.0099, 0.0001);
    EXPECT_NEAR(valueOf(text, "jasminemast_call_seconds{quantile=\"0.999\"} "), 0.00999, 0.0001);
    EXPECT_EQ(valueOf(text, "jasminemast_call_seconds_count "), 10'001);
}

TEST(Metrics, RendersNaNForTooFewSamples)
{
    const ManualClock clock;
    Metrics metrics(clock);
    metrics.observe(Summary::CallDuration, std::chrono::seconds(1));
    EXPECT_THAT(metrics.render(), HasSubstr("jasminemast_call_seconds{quantile=\"0.999\"} NaN\n"));
    EXPECT_THAT(metrics.render(), HasSubstr("jasminemast_call_seconds_count 1\n"));
}

} // namespace
} // namespace jasminemast
