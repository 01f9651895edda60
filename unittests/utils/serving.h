// Runs blocking client code concurrently with an event loop, for tests of the stand-ins over real sockets.
#pragma once

#include "standins/eventloop.h"

#include <chrono>
#include <functional>
#include <future>
#include <stdexcept>

namespace jasminemast::standin
{

/// Runs \p client in a separate thread while \p loop runs; returns its result. Aborts the process after 30 s.
template<class Function>
auto whileServing(EventLoop &loop, Function client)
{
    constexpr std::chrono::seconds Timeout {30};
    constexpr std::chrono::milliseconds PollInterval {5};
    auto result = std::async(std::launch::async, std::move(client));
    const auto finished = [&result] {
        return result.wait_for(std::chrono::seconds(0)) == std::future_status::ready;
    };
    const auto end = std::chrono::steady_clock::now() + Timeout;
    while (!finished()) {
        if (std::chrono::steady_clock::now() > end) {
            std::abort();
        }
        loop.runUntil(finished, PollInterval);
    }
    return result.get();
}

/// Runs \p loop for \p time without a client.
inline void serveFor(EventLoop &loop, std::chrono::milliseconds time)
{
    loop.runUntil([] { return false; }, time);
}

} // namespace jasminemast::standin
