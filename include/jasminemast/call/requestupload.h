// Flow control of a request body that is passed on while it arrives.
#pragma once

#include <algorithm>
#include <cstddef>

namespace jasminemast
{

/// Bounds of uploads.
struct UploadLimits
{
    /// Larger bodies are passed on while they arrive; smaller ones are collected whole before the call begins.
    static constexpr std::size_t CollectedBytes = 256 << 10;
    /// Bytes that may be on the way to the target: what was collected, and one piece that arrived with it.
    static constexpr std::size_t WindowBytes = 320 << 10;
};

/// Counts the bytes of one upload that its current attempt has sent, and those of them that the target has taken.
///
/// Invariant: consumed <= sent; after the first consumption, no attempt begins.
class RequestUpload
{
public:
    explicit RequestUpload(std::size_t windowBytes = UploadLimits::WindowBytes)
        : m_windowBytes(windowBytes)
    {
    }

    /// An attempt begins by sending the \p collectedBytes bytes that are still held.
    void begin(std::size_t collectedBytes)
    {
        m_sent = collectedBytes;
    }
    /// False once the target of an attempt has taken bytes, which are not held any longer.
    [[nodiscard]] bool canBegin() const
    {
        return m_consumed == 0;
    }
    /// Bytes that may be sent now.
    [[nodiscard]] std::size_t allowance() const
    {
        return m_windowBytes - std::min(m_windowBytes, m_sent - m_consumed);
    }
    void recordSent(std::size_t bytes)
    {
        m_sent += bytes;
    }
    /// Returns true for the first bytes. More than was sent is not counted.
    bool recordConsumed(std::size_t bytes)
    {
        const bool isFirst = m_consumed == 0 && bytes > 0 && m_sent > 0;
        m_consumed = std::min(m_consumed + bytes, m_sent);
        return isFirst;
    }

private:
    std::size_t m_windowBytes;
    std::size_t m_sent = 0;
    std::size_t m_consumed = 0;
};

} // namespace jasminemast
