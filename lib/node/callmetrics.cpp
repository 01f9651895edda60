// Every result code and every retry reason has its sample, also while it is zero.
#include "jasminemast/node/callmetrics.h"

namespace jasminemast
{

namespace
{

constexpr int FirstCallCode = 4000;
constexpr int LastCallCode = 5999;

void addByCode(MetricsText &text, const Counters<ResultCode> &counters)
{
    for (const ResultInfo &info : allResults()) {
        if (number(info.code) < FirstCallCode || number(info.code) > LastCallCode) {
            continue;
        }
        text.sample("code", std::to_string(number(info.code)) + "_" + std::string(info.name),
                    static_cast<double>(counters.count(info.code)));
    }
}

template<class Reason>
void addByReason(MetricsText &text, const Counters<Reason> &counters)
{
    for (int i = 0; i < static_cast<int>(Reason::Count); ++i) {
        const auto reason = static_cast<Reason>(i);
        text.sample("reason", label(reason), static_cast<double>(counters.count(reason)));
    }
}

} // namespace

std::string renderCallMetrics(const EntrySide &entry, const TargetSide &target)
{
    MetricsText text;
    text.counter("jasminemast_calls_answered_total", "Calls whose whole answer was passed on");
    text.sample(static_cast<double>(entry.answered()));
    text.counter("jasminemast_calls_failed_total", "Calls that ended without an answer, by result code");
    addByCode(text, entry.core().failures());
    text.counter("jasminemast_attempts_total", "Attempts of all calls");
    text.sample(static_cast<double>(entry.core().attempts()));
    text.counter("jasminemast_retries_total", "Further attempts, by the reason that the one before failed");
    addByReason(text, entry.core().retries());
    text.counter("jasminemast_retry_stops_total", "Failed attempts that were the last, by what forbade another");
    addByReason(text, entry.core().retryStops());
    text.counter("jasminemast_refusals_total", "Attempts refused beside the target, by result code");
    addByCode(text, target.core().refusals());
    text.gauge("jasminemast_open_calls", "Calls under way for callers of this node");
    text.sample(static_cast<double>(entry.open()));
    text.gauge("jasminemast_accepted_attempts", "Attempts that wait for the target or run");
    text.sample(static_cast<double>(target.core().accepted()));
    text.summary("jasminemast_call_seconds", "Time from a whole request to the end of its answer", entry.latencies());
    text.summary("jasminemast_queue_seconds", "Time that attempts waited for a slot", target.core().waitingTimes());
    return text.text();
}

} // namespace jasminemast
