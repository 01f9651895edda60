// Parses the load header.
#include "jasminemast/call/targetload.h"

#include <array>
#include <charconv>
#include <cstddef>

namespace jasminemast
{

namespace
{

constexpr std::uint32_t MaxRequests = 1'000'000;
constexpr std::uint32_t MaxPercent = 10'000; ///< a hundred times as long as usual
constexpr double Percent = 100;

} // namespace

std::optional<TargetLoad> parseTargetLoad(std::string_view text)
{
    std::array<std::uint32_t, 4> numbers {0, 0, 0, 0};
    std::size_t count = 0;
    const char *position = text.data();
    const char *last = text.data() + text.size();
    while (count < numbers.size()) {
        const auto [end, error] = std::from_chars(position, last, numbers.at(count));
        if (error != std::errc() || numbers.at(count) > MaxRequests) {
            return std::nullopt;
        }
        ++count;
        position = end;
        if (position == last) {
            break;
        }
        if (*position != ',') {
            return std::nullopt;
        }
        ++position;
    }
    const bool hasPace = count == numbers.size();
    if (position != last || count + 1 < numbers.size() || numbers[2] == 0) {
        return std::nullopt;
    }
    if (hasPace && (numbers[3] == 0 || numbers[3] > MaxPercent)) {
        return std::nullopt;
    }
    return TargetLoad {numbers[0], numbers[1], numbers[2], hasPace ? numbers[3] / Percent : 1};
}

} // namespace jasminemast
