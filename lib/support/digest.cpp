// SHA-256 by libcrypto, and its hexadecimal form.
#include "jasminemast/support/digest.h"

#include <openssl/evp.h>

#include <memory>
#include <stdexcept>

namespace jasminemast
{

namespace
{

constexpr std::size_t ShortHexDigits = 8;

using ContextPtr = std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)>;

std::optional<std::uint8_t> hexValue(char digit)
{
    if (digit >= '0' && digit <= '9') {
        return static_cast<std::uint8_t>(digit - '0');
    }
    if (digit >= 'a' && digit <= 'f') {
        return static_cast<std::uint8_t>(digit - 'a' + 10);
    }
    return std::nullopt;
}

} // namespace

std::string Digest::hex() const
{
    static constexpr std::string_view Digits = "0123456789abcdef";
    std::string text;
    text.reserve(2 * Bytes);
    for (const std::uint8_t byte : bytes) {
        text.push_back(Digits[byte >> 4U]);
        text.push_back(Digits[byte & 0xFU]);
    }
    return text;
}

std::string Digest::shortHex() const
{
    return hex().substr(0, ShortHexDigits);
}

std::optional<Digest> Digest::fromHex(std::string_view text)
{
    if (text.size() != 2 * Bytes) {
        return std::nullopt;
    }
    Digest digest;
    for (std::size_t i = 0; i < Bytes; ++i) {
        const auto high = hexValue(text[2 * i]);
        const auto low = hexValue(text[2 * i + 1]);
        if (!high || !low) {
            return std::nullopt;
        }
        digest.bytes[i] = static_cast<std::uint8_t>((*high << 4U) | *low);
    }
    return digest;
}

Digest sha256(std::string_view data)
{
    // Fetching the algorithm and creating a context costs more than hashing a small object, so both are reused.
    static const EVP_MD *const algorithm = EVP_MD_fetch(nullptr, "SHA256", nullptr);
    thread_local const ContextPtr context(EVP_MD_CTX_new(), &EVP_MD_CTX_free);
    Digest digest;
    const bool isComputed = EVP_DigestInit_ex2(context.get(), algorithm, nullptr) == 1
        && EVP_DigestUpdate(context.get(), data.data(), data.size()) == 1
        && EVP_DigestFinal_ex(context.get(), digest.bytes.data(), nullptr) == 1;
    if (!isComputed) {
        throw std::runtime_error("cannot compute a SHA-256 digest");
    }
    return digest;
}

} // namespace jasminemast
