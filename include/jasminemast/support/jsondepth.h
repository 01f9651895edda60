// Depth of JSON text, checked before it is parsed: a parsed level takes eighty times the memory of its bracket.
#pragma once

#include <cstddef>
#include <string_view>

namespace jasminemast
{

/// True if objects and arrays may nest more than \p maxLevels deep in \p text, which need not be valid JSON. Never
/// false if a parser would find more. Allocates nothing.
bool isNestedDeeper(std::string_view text, std::size_t maxLevels);

} // namespace jasminemast
