// An amount of memory or data.
#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>

namespace jasminemast
{

/// A number of bytes.
class ByteCount
{
public:
    constexpr ByteCount() = default;
    constexpr explicit ByteCount(std::uint64_t value)
        : m_value(value)
    {
    }

    [[nodiscard]] constexpr std::uint64_t value() const
    {
        return m_value;
    }

    auto operator<=>(const ByteCount &) const = default;

    constexpr ByteCount &operator+=(ByteCount other)
    {
        m_value += other.m_value;
        return *this;
    }
    /// Never below zero.
    constexpr ByteCount &operator-=(ByteCount other)
    {
        m_value -= std::min(m_value, other.m_value);
        return *this;
    }

    friend constexpr ByteCount operator+(ByteCount left, ByteCount right)
    {
        return left += right;
    }
    friend constexpr ByteCount operator-(ByteCount left, ByteCount right)
    {
        return left -= right;
    }
    friend constexpr ByteCount operator*(ByteCount bytes, std::uint64_t factor)
    {
        return ByteCount(bytes.m_value * factor);
    }
    friend constexpr ByteCount operator/(ByteCount bytes, std::uint64_t divisor)
    {
        return ByteCount(bytes.m_value / divisor);
    }

private:
    std::uint64_t m_value = 0;
};

/// Millions of bytes, as platforms count memory; not negative.
constexpr ByteCount megabytes(double count)
{
    constexpr double BytesPerMegabyte = 1'000'000;
    return ByteCount(static_cast<std::uint64_t>(count * BytesPerMegabyte));
}

constexpr ByteCount kibibytes(std::uint64_t count)
{
    return ByteCount(count << 10U);
}

} // namespace jasminemast
