// Base64 by libcrypto.
#include "jasminemast/support/base64.h"

#include <openssl/evp.h>

#include <algorithm>

namespace jasminemast
{

namespace
{

constexpr std::size_t GroupChars = 4; // each group of four characters holds three bytes
constexpr std::size_t GroupBytes = 3;

const unsigned char *asBytes(std::string_view text)
{
    return reinterpret_cast<const unsigned char *>(text.data());
}

} // namespace

std::string encodeBase64(std::string_view data)
{
    const std::size_t groups = (data.size() + GroupBytes - 1) / GroupBytes;
    std::string text(groups * GroupChars + 1, '\0'); // EVP_EncodeBlock() writes a terminating zero byte
    EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()), asBytes(data), static_cast<int>(data.size()));
    text.pop_back();
    return text;
}

std::optional<std::string> decodeBase64(std::string_view text)
{
    if (text.size() % GroupChars != 0) {
        return std::nullopt;
    }
    const std::size_t padding = text.ends_with("==") ? 2 : (text.ends_with("=") ? 1 : 0);
    std::string data(text.size() / GroupChars * GroupBytes, '\0');
    const int size
        = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(data.data()), asBytes(text), static_cast<int>(text.size()));
    if (size != static_cast<int>(data.size())) {
        return std::nullopt;
    }
    data.resize(data.size() - padding);
    // EVP_DecodeBlock() also accepts spaces and misplaced padding; accept only the canonical encoding.
    if (encodeBase64(data) != text) {
        return std::nullopt;
    }
    return data;
}

} // namespace jasminemast
