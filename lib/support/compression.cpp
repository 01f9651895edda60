// Compression through zstd.
#include "jasminemast/support/compression.h"

#include <zstd.h>

namespace jasminemast
{

namespace
{

constexpr int CompressionLevel = 3;

} // namespace

std::string compress(std::string_view plain)
{
    std::string packed(ZSTD_compressBound(plain.size()), '\0');
    const std::size_t size = ZSTD_compress(packed.data(), packed.size(), plain.data(), plain.size(), CompressionLevel);
    if (ZSTD_isError(size) != 0U) {
        throw ResultError(ResultCode::InternalError, ZSTD_getErrorName(size));
    }
    packed.resize(size);
    return packed;
}

std::string decompress(std::string_view packed, std::size_t maxUncompressedBytes, const DecompressCodes &codes)
{
    const unsigned long long plainSize = ZSTD_getFrameContentSize(packed.data(), packed.size());
    if (plainSize == ZSTD_CONTENTSIZE_ERROR || plainSize == ZSTD_CONTENTSIZE_UNKNOWN) {
        throw ResultError(codes.malformed, "not a compressed frame of known size");
    }
    if (plainSize > maxUncompressedBytes) {
        throw ResultError(codes.tooLarge, "unpacks to " + std::to_string(plainSize) + " bytes");
    }
    std::string plain(plainSize, '\0');
    const std::size_t size = ZSTD_decompress(plain.data(), plain.size(), packed.data(), packed.size());
    if (ZSTD_isError(size) != 0U || size != plainSize) {
        throw ResultError(codes.malformed, "damaged compressed frame");
    }
    return plain;
}

} // namespace jasminemast
