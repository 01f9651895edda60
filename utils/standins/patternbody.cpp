// Pattern bytes are a SplitMix64 hash of the seed and the index of each eight-byte word.
#include "patternbody.h"

#include <algorithm>
#include <array>
#include <cstring>
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace jasminemast::standin
{

namespace
{

std::uint64_t splitMix64(std::uint64_t value)
{
    value += 0x9e3779b97f4a7c15ULL;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

} // namespace

struct Checksum::State
{
    XXH3_state_t hash;
};

void fillPattern(std::uint64_t seed, std::uint64_t offset, char *buffer, std::size_t length)
{
    std::size_t done = 0;
    while (done < length) {
        const std::uint64_t position = offset + done;
        const std::uint64_t word = splitMix64(seed ^ splitMix64(position / sizeof(std::uint64_t)));
        const std::size_t skip = position % sizeof(word);
        const std::size_t count = std::min(sizeof(word) - skip, length - done);
        std::memcpy(buffer + done, reinterpret_cast<const char *>(&word) + skip, count);
        done += count;
    }
}

Checksum::Checksum()
    : m_state(std::make_unique<State>())
{
    XXH3_64bits_reset(&m_state->hash);
}

Checksum::~Checksum() = default;

void Checksum::add(std::string_view bytes)
{
    XXH3_64bits_update(&m_state->hash, bytes.data(), bytes.size());
}

std::string Checksum::hex() const
{
    static constexpr std::string_view Digits = "0123456789abcdef";
    constexpr unsigned HexDigits = 16;
    constexpr unsigned BitsPerDigit = 4;
    std::uint64_t value = XXH3_64bits_digest(&m_state->hash);
    std::string text(HexDigits, '0');
    for (auto digit = text.rbegin(); digit != text.rend(); ++digit) {
        *digit = Digits[value % HexDigits];
        value >>= BitsPerDigit;
    }
    return text;
}

std::string checksumOf(std::string_view bytes)
{
    Checksum checksum;
    checksum.add(bytes);
    return checksum.hex();
}

std::string checksumOfPattern(std::uint64_t seed, std::uint64_t length)
{
    std::array<char, 16384> block {};
    Checksum checksum;
    for (std::uint64_t offset = 0; offset < length; offset += block.size()) {
        const std::size_t count = std::min<std::uint64_t>(block.size(), length - offset);
        fillPattern(seed, offset, block.data(), count);
        checksum.add({block.data(), count});
    }
    return checksum.hex();
}

} // namespace jasminemast::standin
