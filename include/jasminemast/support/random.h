// Seeded randomness, passed in so that every choice can be replayed.
#pragma once

#include <cstdint>
#include <random>

namespace jasminemast
{

/// Pseudo-random numbers from one seed. Not for secrets.
class Random
{
public:
    explicit Random(std::uint64_t seed)
        : m_engine(seed)
    {
    }

    /// A number from 0 up to, not including, \p bound; 0 when \p bound is 0.
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
