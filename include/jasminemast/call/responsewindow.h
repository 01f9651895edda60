// How much of one answer may wait on a host for its reader.
#pragma once

#include <cstddef>

namespace jasminemast
{

/// Bounds of what waits. Beyond them the target is not read from and is busy with its answer for longer.
struct ResponseWindowLimits
{
    std::size_t maxBytes = 256 << 10; ///< bytes of one answer while the host holds little; most answers fit
    /// The same while it holds much: two frames, so that a link never waits for the target.
    std::size_t minBytes = 32 << 10;
    /// What the host may hold before windows shrink: a tenth of the smallest memory that nodes run in.
    std::size_t maxQueuedBytes = 8 << 20;
};

/// The window of each answer on a host whose links hold \p held bytes of bodies.
[[nodiscard]] constexpr std::size_t responseWindow(std::size_t held, const ResponseWindowLimits &limits = {})
{
    return held < limits.maxQueuedBytes ? limits.maxBytes : limits.minBytes;
}

} // namespace jasminemast
