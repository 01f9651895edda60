// Clock interface; the core reads the time only through it, so that tests control time.
#pragma once

#include <chrono>

namespace jasminemast
{

using TimePoint = std::chrono::steady_clock::time_point;
using WallTimePoint = std::chrono::system_clock::time_point;
using Duration = std::chrono::steady_clock::duration;
using Milliseconds = std::chrono::milliseconds;
using Microseconds = std::chrono::microseconds;

/// Source of monotonic time for deadlines and of wall-clock time for display.
class Clock
{
public:
    virtual ~Clock() = default;
    [[nodiscard]] virtual TimePoint now() const = 0;
    [[nodiscard]] virtual WallTimePoint wallNow() const = 0;
};

/// The clocks of the operating system.
class SystemClock final : public Clock
{
public:
    [[nodiscard]] TimePoint now() const override
    {
        return std::chrono::steady_clock::now();
    }
    [[nodiscard]] WallTimePoint wallNow() const override
    {
        return std::chrono::system_clock::now();
    }
};

/// A clock for tests that only advance() moves.
class ManualClock final : public Clock
{
public:
    [[nodiscard]] TimePoint now() const override
    {
        return m_now;
    }
    [[nodiscard]] WallTimePoint wallNow() const override
    {
        return WallTimePoint(std::chrono::duration_cast<WallTimePoint::duration>(m_now.time_since_epoch()));
    }
    void advance(Duration step)
    {
        m_now += step;
    }

private:
    TimePoint m_now {std::chrono::hours(1)};
};

} // namespace jasminemast
