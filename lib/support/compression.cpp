// Compression by zstd.
#include "jasminemast/support/compression.h"

#include <zstd.h>

namespace jasminemast
{

namespace
{

constexpr int CompressionLevel = 3;

} // namespace

std::string compress(std::string_view uncompressed)
{
    std::string compressed(ZSTD_compressBound(uncompressed.size()), '\0');
    const std::size_t size = ZSTD_compress(compressed.data(), compressed.size(), uncompressed.data(),
                                           uncompressed.size(), CompressionLevel);
    if (ZSTD_isError(size) != 0U) {
        throw ResultError(ResultCode::InternalError, ZSTD_getErrorName(size));
    }
    compressed.resize(size);
    return compressed;
}

std::string decompress(std::string_view compressed, std::size_t maxUncompressedBytes, const DecompressCodes &codes)
{
    const unsigned long long uncompressedSize = ZSTD_getFrameContentSize(compressed.data(), compressed.size());
    if (uncompressedSize == ZSTD_CONTENTSIZE_ERROR || uncompressedSize == ZSTD_CONTENTSIZE_UNKNOWN) {
        throw ResultError(codes.malformed, "not a compressed frame of known size");
    }
    if (uncompressedSize > maxUncompressedBytes) {
        throw ResultError(codes.tooLarge, "unpacks to " + std::to_string(uncompressedSize) + " bytes");
    }
    std::string uncompressed(uncompressedSize, '\0');
    const std::size_t size
        = ZSTD_decompress(uncompressed.data(), uncompressed.size(), compressed.data(), compressed.size());
    if (ZSTD_isError(size) != 0U || size != uncompressedSize) {
        throw ResultError(codes.malformed, "damaged compressed frame");
    }
    return uncompressed;
}

} // namespace jasminemast
