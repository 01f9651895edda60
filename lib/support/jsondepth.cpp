// Counts the levels of JSON text without parsing it.
#include "jasminemast/support/jsondepth.h"

namespace jasminemast
{

namespace
{

/// The position of the quote that ends the string whose first byte is at \p start; past the end if there is none.
std::size_t endOfString(std::string_view text, std::size_t start)
{
    std::size_t position = start;
    while (position < text.size() && text[position] != '"') {
        position += text[position] == '\\' ? 2 : 1;
    }
    return position;
}

} // namespace

bool isNestedDeeper(std::string_view text, std::size_t maxLevels)
{
    std::size_t levels = 0;
    for (std::size_t position = 0; position < text.size(); ++position) {
        const char c = text[position];
        if (c == '"') {
            position = endOfString(text, position + 1);
        } else if (c == '[' || c == '{') {
            ++levels;
        } else if ((c == ']' || c == '}') && levels > 0) {
            --levels;
        }
        if (levels > maxLevels) {
            return true;
        }
    }
    return false;
}

} // namespace jasminemast
