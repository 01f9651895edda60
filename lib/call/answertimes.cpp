// Exponential smoothing.
#include "jasminemast/call/answertimes.h"

namespace jasminemast
{

namespace
{

constexpr int MeanParts = 8; // RFC 6298: alpha is 1/8
constexpr int DeviationParts = 4; // RFC 6298: beta is 1/4
constexpr int DeviationsOfPatience = 4; // RFC 6298: K is 4

} // namespace

void AnswerTimes::observe(Duration time)
{
    ++m_count;
    if (m_count == 1) {
        m_mean = time;
        m_deviation = time / 2;
        return;
    }
    const Duration difference = time > m_mean ? time - m_mean : m_mean - time;
    m_deviation += (difference - m_deviation) / DeviationParts;
    m_mean += (time - m_mean) / MeanParts;
}

std::optional<Duration> AnswerTimes::patience() const
{
    if (m_count < LeastAnswers) {
        return std::nullopt;
    }
    return m_mean + m_deviation * DeviationsOfPatience;
}

} // namespace jasminemast
