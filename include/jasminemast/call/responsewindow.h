// How much of one response a host may buffer until its receiver reads it.
#pragma once

#include <cstddef>

namespace jasminemast
{

/// Bounds of the buffered bytes. Beyond them the node stops reading from the target, which then takes longer to send
/// its response.
struct ResponseWindowLimits
{
    std::size_t maxBytes = 256 << 10; ///< per response while few bytes are queued on the host; most responses fit
    /// Per response while many bytes are queued: two frames, so that a link never waits for the target.
    std::size_t minBytes = 32 << 10;
    /// Bytes queued on the host above which windows shrink: a tenth of the smallest amount of memory that a
    /// node may have.
    std::size_t maxQueuedBytes = 8 << 20;
};

/// The response window on a host whose links have \p queuedBytes bytes of response bodies queued.
[[nodiscard]] constexpr std::size_t responseWindow(std::size_t queuedBytes, const ResponseWindowLimits &limits = {})
{
    return queuedBytes < limits.maxQueuedBytes ? limits.maxBytes : limits.minBytes;
}

} // namespace jasminemast
