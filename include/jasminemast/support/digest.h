// SHA-256 digests.
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jasminemast
{

/// A SHA-256 digest; all zero means "none".
struct Digest
{
    static constexpr std::size_t Bytes = 32;

    std::array<std::uint8_t, Bytes> bytes {};

    auto operator<=>(const Digest &) const = default;

    /// 64 lower-case hexadecimal digits.
    [[nodiscard]] std::string hex() const;
    /// The first eight hexadecimal digits, for display.
    [[nodiscard]] std::string shortHex() const;
    /// Parses the result of hex(); std::nullopt for any other text.
    static std::optional<Digest> fromHex(std::string_view text);

    template<class Archive>
    void serialize(Archive &archive)
    {
        for (auto &byte : bytes) {
            archive(byte);
        }
    }
};

/// The SHA-256 digest of \p data.
Digest sha256(std::string_view data);

} // namespace jasminemast
