// Compression of bodies that cross links, with a bound on what they may unpack to.
#pragma once

#include "jasminemast/support/result.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace jasminemast
{

/// One zstd frame that states its unpacked size.
std::string compress(std::string_view plain);

/// Codes that decompress() reports faults with.
struct DecompressCodes
{
    ResultCode malformed; ///< no whole frame, or damaged
    ResultCode tooLarge; ///< would unpack to more than is allowed
};

/// Unpacks what compress() gave, taking no more memory than \p maxUncompressedBytes.
/// \throws ResultError with one of \p codes.
std::string decompress(std::string_view packed, std::size_t maxUncompressedBytes, const DecompressCodes &codes);

} // namespace jasminemast
