// Validation of the platform's index.
#include "jasminemast/node/platformindex.h"

#include <algorithm>

namespace jasminemast
{

std::optional<std::string> platformIndex(const HttpHeaders &headers)
{
    constexpr std::size_t MaxDigits = 20;
    const std::string *text = findHeader(headers, "X-Index");
    if (text == nullptr || text->empty() || text->size() > MaxDigits) {
        return std::nullopt;
    }
    const bool digits = std::all_of(text->begin(), text->end(), [](char c) { return c >= '0' && c <= '9'; });
    return digits ? std::optional(*text) : std::nullopt;
}

} // namespace jasminemast
