// Deterministic bodies, and the checksum by which a caller verifies that one arrived intact.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace jasminemast::standin
{

/// Writes \p length bytes of the infinite pattern of \p seed, starting at \p offset.
void fillPattern(std::uint64_t seed, std::uint64_t offset, char *buffer, std::size_t length);

/// An incremental XXH3 checksum.
class Checksum
{
public:
    Checksum();
    ~Checksum();
    Checksum(const Checksum &) = delete;
    Checksum &operator=(const Checksum &) = delete;

    void add(std::string_view bytes);
    /// The checksum of all bytes added so far, as 16 hexadecimal digits.
    [[nodiscard]] std::string hex() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

/// The checksum of \p bytes.
std::string checksumOf(std::string_view bytes);

/// The checksum of the first \p length bytes of the pattern of \p seed.
std::string checksumOfPattern(std::uint64_t seed, std::uint64_t length);

} // namespace jasminemast::standin
