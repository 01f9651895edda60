// One blocking HTTP call, for the harness's own questions and commands.
#pragma once

#include <chrono>
#include <nlohmann/json.hpp>
#include <string>

namespace jasminemast::harness
{

struct HttpAnswer
{
    long status = 0; ///< 0: no whole answer
    std::string body;
    std::string index; ///< the X-Index header
};

constexpr std::chrono::milliseconds DefaultHttpTimeout {5'000};

/// Makes one request on a fresh connection.
HttpAnswer httpCall(const std::string &method, const std::string &url, const std::string &body = {},
                    std::chrono::milliseconds timeout = DefaultHttpTimeout);

/// GETs a JSON page.
/// \throws std::runtime_error unless the answer is 200 with JSON.
nlohmann::json getJson(const std::string &url);

/// Sends JSON by POST.
/// \throws std::runtime_error unless the answer is 200.
nlohmann::json postJson(const std::string &url, const nlohmann::json &body);

} // namespace jasminemast::harness
