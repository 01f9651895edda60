// The header in which a target describes its load.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace jasminemast
{

/// Numbers of requests and slots of a target, as it counts them.
struct TargetLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    double pace = 1; ///< how long work takes at this moment, relative to what is usual; 1 if it does not say
};

/// Parses "RUNNING,WAITING,SLOTS" or "RUNNING,WAITING,SLOTS,PERCENT", whole numbers; nothing for anything else.
std::optional<TargetLoad> parseTargetLoad(std::string_view text);

} // namespace jasminemast
