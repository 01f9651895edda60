// zstd compression with a bound on the uncompressed size.
#pragma once

#include "jasminemast/support/result.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace jasminemast
{

/// Compresses into one zstd frame that contains its uncompressed size.
std::string compress(std::string_view uncompressed);

/// Result codes for the errors of decompress().
struct DecompressCodes
{
    ResultCode malformed; ///< not a complete frame, or damaged
    ResultCode tooLarge; ///< uncompressed size above the limit
};

/// Decompresses the result of compress(), allocating at most \p maxUncompressedBytes.
/// \throws ResultError with one of \p codes.
std::string decompress(std::string_view compressed, std::size_t maxUncompressedBytes, const DecompressCodes &codes);

} // namespace jasminemast
