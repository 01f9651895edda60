// A blocking HTTP client for the harness's own requests to the processes of a fleet.
#pragma once

#include <chrono>
#include <nlohmann/json.hpp>
#include <string>

namespace jasminemast::harness
{

struct HttpResponse
{
    long status = 0; ///< 0: no complete response was received
    std::string body;
    std::string index; ///< value of the X-Index header, the revision of the key read
};

constexpr std::chrono::milliseconds DefaultHttpTimeout {5'000};

/// Makes one request on a new connection.
HttpResponse httpCall(const std::string &method, const std::string &url, const std::string &body = {},
                      std::chrono::milliseconds timeout = DefaultHttpTimeout);

/// Gets and parses a JSON document.
/// \throws std::runtime_error unless the response is 200 with valid JSON.
nlohmann::json getJson(const std::string &url);

/// Posts \p body and parses the response; a body that is not JSON yields a discarded value.
/// \throws std::runtime_error unless the response is 200.
nlohmann::json postJson(const std::string &url, const nlohmann::json &body);

} // namespace jasminemast::harness
