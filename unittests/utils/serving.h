// Runs blocking client code beside an event loop, for tests of the stand-ins over real sockets.
#pragma once

#include "standins/eventloop.h"

#include <chrono>
#include <functional>
#include <future>
#include <stdexcept>

namespace jasminemast::standin
{

/// Runs \p client in its own thread while \p loop serves; returns what it returns.
template<class Function>
auto whileServing(EventLoop &loop, Function client)
{
    constexpr std::chrono::seconds Limit {30};
    constexpr std::chrono::milliseconds Step {5};
    auto result = std::async(std::launch::async, std::move(client));
    const auto finished = [&result] {
        return result.wait_for(std::chrono::seconds(0)) == std::future_status::ready;
    };
    const auto end = std::chrono::steady_clock::now() + Limit;
    while (!finished()) {
        if (std::chrono::steady_clock::now() > end) {
            std::abort();
        }
        loop.runUntil(finished, Step);
    }
    return result.get();
}

/// Serves for \p time without a client.
inline void serveFor(EventLoop &loop, std::chrono::milliseconds time)
{
    loop.runUntil([] { return false; }, time);
}

} // namespace jasminemast::standin
