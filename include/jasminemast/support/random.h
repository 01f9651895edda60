// Seeded random numbers, passed in so that tests can reproduce every run.
#pragma once

#include <cstdint>
#include <random>

namespace jasminemast
{

/// Pseudo-random number generator. Not cryptographically secure.
class Random
{
public:
    explicit Random(std::uint64_t seed)
        : m_engine(seed)
    {
    }

    /// A number in [0, \p bound); 0 when \p bound is 0.
    std::uint64_t nextBelow(std::uint64_t bound)
    {
        if (bound == 0) {
            return 0;
        }
        return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(m_engine);
    }

    /// A number in [0, 1).
    double nextUnit()
    {
        return std::uniform_real_distribution<double>(0.0, 1.0)(m_engine);
    }

private:
    std::mt19937_64 m_engine;
};

} // namespace jasminemast
